//! Reservations of capacity in contended stage services.
//!
//! Before anything of a request runs, the entry asks the owners of the queues that its stages
//! use ([`entry`], over [`crate::batched_calls`] with [`messages`]). An owner decides with the state of its
//! queue ([`owner`]) and finds the reservation of a piece by request id and stage when the
//! piece arrives. Queues without a reply are left to the forecast. [`contention`] has the
//! services that need this, and [`times`] the times that both sides use.

mod contention;
mod entry;
mod messages;
mod owner;
pub mod times;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use hollowsail_observe::LogThrottle;
use hollowsail_platform::deployment::{Deployment, ServiceKey};
use hollowsail_routing::Millis;
use hollowsail_stages::QueueOrder;

use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

pub use contention::contended_services;
pub use entry::{organisation_hash, reserve, ReservedRoom, NO_ORGANISATION};
pub use messages::{
    cause_label, ReservationCall, ReservationCalls, ReservationReply, Reserve, RoomRefused,
    RESERVATIONS_PATH,
};
pub use owner::handle_call;

/// Interval between log lines on one organisation's weight, in milliseconds.
const WEIGHT_LOG_INTERVAL_MS: Millis = 60_000;

/// What is derived from a configuration.
struct Derived {
    of: Arc<Deployment>,
    contended: HashSet<ServiceKey>,
    /// Names of organisations by [`organisation_hash`].
    organisations: HashMap<u64, String>,
}

impl Derived {
    fn new(deployment: &Arc<Deployment>) -> Rc<Self> {
        let names = deployment.organisations.iter().map(|org| &org.name);
        Rc::new(Derived {
            of: deployment.clone(),
            contended: contended_services(deployment),
            organisations: names
                .map(|name| (organisation_hash(name), name.clone()))
                .collect(),
        })
    }
}

/// State of the traffic thread for reservations.
pub struct Reservations {
    /// Of the configuration that was used last.
    derived: RefCell<Option<Rc<Derived>>>,
    /// Throttles log lines on weights, by organisation.
    weight_log: RefCell<LogThrottle<u64>>,
}

impl Default for Reservations {
    fn default() -> Self {
        Reservations {
            derived: RefCell::default(),
            weight_log: RefCell::new(LogThrottle::new(WEIGHT_LOG_INTERVAL_MS)),
        }
    }
}

impl Reservations {
    /// True when requests compete for the service by the configuration, and it has enough
    /// workers for an estimate of its capacity.
    pub fn is_contended(
        &self,
        cx: &Traffic,
        deployment: &Arc<Deployment>,
        service: ServiceKey,
    ) -> bool {
        let workers = || cx.target_count(&deployment.service(service).name);
        self.derived(deployment).contended.contains(&service)
            && workers() >= cx.settings().reservation_workers
    }

    /// Order of the pieces in a queue of the service.
    pub fn queue_order(
        &self,
        cx: &Traffic,
        deployment: &Arc<Deployment>,
        service: ServiceKey,
    ) -> QueueOrder {
        match cx.has(Mechanism::Reservations) && self.is_contended(cx, deployment, service) {
            true => QueueOrder::Deadline,
            false => QueueOrder::Priority,
        }
    }

    /// What is derived from a configuration, computed once for each.
    fn derived(&self, deployment: &Arc<Deployment>) -> Rc<Derived> {
        let mut known = self.derived.borrow_mut();
        match known.as_ref() {
            Some(derived) if Arc::ptr_eq(&derived.of, deployment) => derived.clone(),
            _ => known.insert(Derived::new(deployment)).clone(),
        }
    }

    /// Name of an organisation for logs: its hash if the configuration has none with it, or
    /// "none".
    pub fn organisation_name(&self, cx: &Traffic, hash: u64) -> String {
        if hash == NO_ORGANISATION {
            return "none".to_string();
        }
        let derived = cx.deployment_in_use().map(|known| self.derived(&known));
        let name = derived.and_then(|derived| derived.organisations.get(&hash).cloned());
        name.unwrap_or_else(|| format!("{hash:016x}"))
    }

    fn is_weight_log_due(&self, cx: &Traffic, organisation: u64) -> bool {
        let now = cx.clock.now();
        self.weight_log.borrow_mut().is_due(now, organisation)
    }
}
