//! The control thread: one actor that owns all control state.
//!
//! Keeps the fleet's membership ([`gossip`]), the configuration in force
//! ([`config_sync`]), host status ([`host_list`]), target health ([`health`]) and
//! the removal of expired claims ([`claim_expiry`]), and publishes a [`View`]
//! whenever one of them changes. Traffic threads send it
//! [`AttemptReport`](crate::attempt_report::AttemptReport)s over a bounded mailbox.

pub mod claim_expiry;
pub mod config_sync;
pub mod gossip;
pub mod health;
pub mod host_list;
pub mod messages;

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use awc::Client;
use hollowsail_clients::{http, HostListClient, StoreClient};
use hollowsail_fleet::{Connectivity, ConnectivityRule, Fleet, Member};
use rand::rngs::SmallRng;

use crate::configuration::Configuration;
use crate::context::Entry;
use crate::events;
use crate::metrics;
use crate::view::View;

pub use messages::{Adopt, AnnounceLeft, BeginStop, Drain, ReceivedExchange, Status, StatusReport};

/// Maximum number of messages queued for the control thread.
const MAILBOX_CAPACITY: usize = 4096;
/// Interval between two evaluations of target health.
const HEALTH_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two evictions of expired records and claims.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(1000);

/// The control actor.
pub struct Control {
    pub(crate) entry: Arc<Entry>,
    pub(crate) fleet: Fleet,
    pub(crate) tick: Duration,
    pub(crate) rng: SmallRng,
    pub(crate) client: Client,
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// When that configuration came into force here, in milliseconds of [`Entry::now`].
    pub(crate) in_force_since: Option<u64>,
    pub(crate) config_sync: config_sync::ConfigSync,
    pub(crate) health: health::HealthState,
    pub(crate) hosts: host_list::HostListState,
    pub(crate) claims: claim_expiry::ExpiredClaims,
    connectivity_rule: ConnectivityRule,
    connectivity: Connectivity,
    logged_members: Vec<Member>,
}

impl Control {
    /// Must be called on the control thread: the `awc` clients are thread-local.
    pub fn new(entry: Arc<Entry>, fleet: Fleet, tick: Duration, rng: SmallRng) -> Self {
        let settings = &entry.settings;
        let connectivity_rule = ConnectivityRule {
            isolation_ms: settings.limits.isolation_ms,
            is_standalone: settings.store.is_none() && settings.seeds.is_empty(),
        };
        Control {
            fleet,
            tick,
            rng,
            client: http::pooled_client(),
            configuration: None,
            in_force_since: None,
            config_sync: config_sync::ConfigSync::new(settings.store.map(StoreClient::new)),
            health: health::HealthState::default(),
            claims: claim_expiry::ExpiredClaims::default(),
            hosts: host_list::HostListState::new(settings.host_list.map(HostListClient::new)),
            connectivity_rule,
            connectivity: Connectivity::Starting,
            logged_members: Vec::new(),
            entry,
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.entry.now()
    }

    /// Publishes a snapshot for the traffic threads.
    pub(crate) fn publish(&mut self) {
        self.update_connectivity();
        let view = View {
            configuration: self.configuration.clone(),
            targets: self.health.target_views(self.now(), &self.fleet.hosts),
            services: self.health.service_views(),
            stages: self.health.expectations(),
            own: self.fleet.own().clone(),
            members: self.fleet.others().into_iter().cloned().collect(),
            joined: self.fleet.has_joined(),
            connectivity: self.connectivity,
        };
        self.entry.publish(view);
    }

    fn update_connectivity(&mut self) {
        let connectivity = self.connectivity_rule.evaluate(
            self.now(),
            self.configuration.is_some(),
            self.config_sync.last_store_answer,
            self.fleet.last_contact(),
        );
        if connectivity != self.connectivity {
            self.connectivity = connectivity;
            self.entry
                .log(events::STANDING, format_args!("standing={connectivity:?}"));
        }
    }

    /// Puts a configuration in force if it is newer than the current one; returns
    /// whether it did. `source` is logged.
    pub(crate) fn adopt(&mut self, configuration: Arc<Configuration>, source: &str) -> bool {
        let revision = configuration.revision();
        let current = self.configuration.as_ref().map_or(0, |c| c.revision());
        if revision <= current {
            return false;
        }
        self.health.rebuild(&configuration);
        self.configuration = Some(configuration);
        self.in_force_since = Some(self.now());
        self.fleet.set_revision(revision);
        self.entry.log(
            events::CONFIGURATION_IN_FORCE,
            format_args!("revision={revision} before={current} source={source}"),
        );
        self.publish();
        true
    }

    fn run_housekeeping(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let (records, expired_claims) = {
            let mut once = self.entry.once.lock().expect("no panic while held");
            let expired_claims = once.evict_expired(now);
            (once.record_count(), expired_claims)
        };
        self.expire_claims(expired_claims, cx);
        let revision = self.configuration.as_ref().map_or(0, |c| c.revision());
        let members = self.fleet.others().len() + 1;
        metrics::set_control_gauges(&self.entry.settings.name, revision, members, records);
        self.log_member_changes();
    }

    fn log_member_changes(&mut self) {
        let members: Vec<Member> = self.fleet.others().into_iter().cloned().collect();
        for member in &members {
            let previous = self
                .logged_members
                .iter()
                .find(|known| known.incarnation == member.incarnation);
            let changed = previous.is_none_or(|known| {
                (known.health, known.stopping) != (member.health, member.stopping)
            });
            if changed {
                self.entry.log(
                    events::MEMBER,
                    format_args!(
                        "member={} incarnation={:x} health={:?} stopping={:?}",
                        member.name, member.incarnation, member.health, member.stopping
                    ),
                );
            }
        }
        self.logged_members = members;
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.publish();
        self.start_gossip(cx);
        self.start_config_sync(cx);
        self.start_host_list(cx);
        cx.run_interval(HEALTH_INTERVAL, |control, _| {
            control.eject_unhealthy_targets();
            control.publish();
            control.wake_waiters();
        });
        cx.run_interval(HOUSEKEEPING_INTERVAL, |control, cx| {
            control.run_housekeeping(cx)
        });
    }
}
