//! The ways from this host to the targets.
//!
//! All connections to targets are opened here. One is opened directly where that works; where it
//! doesn't, a peer relays it ([`open`], [`relays`]), so that a host that is cut off from targets
//! serves its callers as before. All decisions on a request stay here: a relay passes bytes on
//! ([`accept`]). [`probe`] asks other targets when connects fail or targets fall silent, and finds
//! out when a cut from all targets begins and ends.

mod accept;
mod messages;
mod open;
mod probe;
mod relays;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::FutureExt;
use hollowsail_connect::{DialError, Dialer, Dialled, Liveness, ProcessState, Way};
use hollowsail_observe::{events, LogThrottle};
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::{Millis, Reachability};
use hollowsail_targets::TargetTable;
use tokio::sync::Notify;

use crate::metrics;
use crate::peers::PeerId;
use crate::traffic::Traffic;

pub use accept::{accept, RELAY_PATH};
pub use probe::watch;

/// How long a target that no relay reached is connected to directly only, in milliseconds.
const RELAYS_FAILED_MS: Millis = 1_000;
/// How long a host waits, after no peer could relay to the targets of a hall, before it asks them
/// again, in milliseconds.
const ISOLATED_MS: Millis = 250;

/// Least time between log lines on the same hall, in milliseconds.
const NO_RELAY_LOG_INTERVAL_MS: Millis = 1_000;

/// What this host knows of its ways to the targets.
#[derive(Default)]
pub struct Reach {
    state: RefCell<Reachability<SocketAddr>>,
    /// Notified when the host is cut off from all targets.
    cut_off_began: Notify,
    /// Observes the direct connections to all targets.
    liveness: Rc<Liveness>,
    /// When relays last failed to reach a target.
    relays_failed: RefCell<HashMap<SocketAddr, Millis>>,
    /// When no peer could relay to the targets of a hall, unless one has since. Data may not pass
    /// every peer, so a relay to one hall says nothing of another.
    no_relay_at: RefCell<HashMap<String, Millis>>,
    /// Limits the lines on halls to whose targets no peer relays.
    no_relay_log: RefCell<NoRelayLog>,
    /// Until when peers that couldn't relay are asked last.
    unable_until: RefCell<HashMap<PeerId, Millis>>,
    /// Connections that this entry relays for peers.
    relayed: Rc<Cell<usize>>,
}

/// Limits the lines on each hall to whose targets no peer relays.
struct NoRelayLog(LogThrottle<String>);

impl Default for NoRelayLog {
    fn default() -> Self {
        NoRelayLog(LogThrottle::new(NO_RELAY_LOG_INTERVAL_MS))
    }
}

/// A target as far as its connections are concerned.
#[derive(Debug, Clone)]
struct Endpoint {
    incarnation: Incarnation,
    addr: SocketAddr,
    hall: String,
}

impl Endpoint {
    fn of(record: &TargetRecord) -> Self {
        Endpoint {
            incarnation: record.incarnation.clone(),
            addr: record.addr,
            hall: record.hall.clone(),
        }
    }
}

/// A table whose targets are connected to as this module says.
pub fn target_table(cx: &Weak<Traffic>) -> TargetTable {
    let cx = cx.clone();
    TargetTable::new(Box::new(move |record| dialer_for(&cx, record)))
}

fn dialer_for(cx: &Weak<Traffic>, record: &TargetRecord) -> Dialer {
    let endpoint = Rc::new(Endpoint::of(record));
    let with_cx = move || (cx.clone(), endpoint.clone());
    let (dial_cx, dial_to) = with_cx();
    let (reuse_cx, reuse_to) = with_cx();
    let (confirm_cx, confirm_at) = with_cx();
    Dialer {
        dial: Box::new(move |timeout| {
            let (cx, endpoint) = (dial_cx.upgrade(), dial_to.clone());
            async move { dial(cx, &endpoint, timeout).await }.boxed_local()
        }),
        may_reuse: Box::new(move |way| {
            let cx = reuse_cx.upgrade();
            cx.is_some_and(|cx| cx.reach.may_reuse(&cx, reuse_to.addr, way))
        }),
        confirm_state: Box::new(move |unreached| {
            let (cx, endpoint) = (confirm_cx.upgrade(), confirm_at.clone());
            async move {
                match cx {
                    Some(cx) => relays::confirm_state(&cx, &endpoint, unreached).await,
                    None => ProcessState::Unknown,
                }
            }
            .boxed_local()
        }),
    }
}

async fn dial(cx: Option<Rc<Traffic>>, endpoint: &Endpoint, timeout: Duration) -> Dialled {
    match cx {
        Some(cx) => open::open(&cx, endpoint, timeout).await,
        // The traffic thread is ending.
        None => Err(DialError::Unreachable {
            addr: endpoint.addr,
        }),
    }
}

impl Reach {
    /// True while this host reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.state.borrow().is_cut_off()
    }

    /// Waits until this host reaches no target.
    pub async fn wait_cut_off(&self) {
        while !self.is_cut_off() {
            self.cut_off_began.notified().await;
        }
    }

    /// True if a link of this host may hold what was sent directly at `sent_at` and has no answer.
    pub fn may_hold(&self, sent_at: Millis) -> bool {
        self.state.borrow().was_cut_off_since(sent_at)
    }

    /// When a request that is refused since this host is isolated may be sent again.
    pub fn isolation_retry_after(&self) -> Duration {
        Duration::from_millis(ISOLATED_MS)
    }

    /// False while this host reaches no target, and no peer can relay to those in a hall.
    pub fn has_way_to(&self, hall: &str) -> bool {
        !self.is_cut_off() || !self.no_relay_at.borrow().contains_key(hall)
    }

    /// True while this host reaches no target, and no peer can relay to any.
    pub fn is_isolated(&self, cx: &Traffic) -> bool {
        let targets = cx.targets();
        let mut halls = targets.all().map(|target| &target.record.hall).peekable();
        self.is_cut_off() && halls.peek().is_some() && !halls.any(|hall| self.has_way_to(hall))
    }

    /// True while peers can't relay to the targets of some hall.
    fn lacks_relays(&self) -> bool {
        !self.no_relay_at.borrow().is_empty()
    }

    /// Records whether peers could relay to the targets of a hall.
    fn record_relay(&self, now: Millis, hall: &str, is_possible: bool) {
        let mut no_relay_at = self.no_relay_at.borrow_mut();
        match is_possible {
            true => drop(no_relay_at.remove(hall)),
            false => drop(no_relay_at.insert(hall.to_string(), now)),
        }
    }

    /// Number of connections that this entry relays for peers.
    pub fn relayed(&self) -> usize {
        self.relayed.get()
    }

    /// False for connections that may hang, and for relayed ones that are no longer needed.
    fn may_reuse(&self, cx: &Traffic, target: SocketAddr, way: Way) -> bool {
        match way {
            Way::Direct => !self.is_failing(cx, target),
            Way::Relay(way) => self.is_failing(cx, target) && cx.peers.is_live(PeerId(way.relay)),
        }
    }

    /// True while direct connects to a target fail.
    fn is_failing(&self, cx: &Traffic, target: SocketAddr) -> bool {
        let state = self.state.borrow();
        state.is_cut_off() || state.is_failing(cx.clock.now(), target)
    }

    fn record_cut_off(&self, cx: &Traffic) {
        for target in cx.targets().all() {
            target.stall.borrow_mut().record_links_lost();
        }
        self.cut_off_began.notify_waiters();
    }

    fn record_reached(&self, cx: &Traffic, addr: SocketAddr) {
        let cut_off_ms = self.state.borrow_mut().record_reached(cx.clock.now(), addr);
        let Some(cut_off_ms) = cut_off_ms else {
            return;
        };
        metrics::set_cut_off(false);
        let fields = format_args!("target_addr={addr} cut_off_ms={cut_off_ms}");
        cx.log.line(events::TARGETS_REACHABLE, fields);
        self.no_relay_at.borrow_mut().clear();
        self.relays_failed.borrow_mut().clear();
        cx.prune_connections();
    }

    fn record_failed(&self, cx: &Traffic, addr: SocketAddr) {
        self.state.borrow_mut().record_failed(cx.clock.now(), addr);
    }

    /// True when relays failed to reach a target not long ago.
    fn have_relays_failed(&self, now: Millis, target: SocketAddr) -> bool {
        let failed = self.relays_failed.borrow();
        let failed_at = failed.get(&target);
        failed_at.is_some_and(|at| *at + RELAYS_FAILED_MS > now)
    }

    fn record_relays_failed(&self, now: Millis, target: SocketAddr) {
        let mut failed = self.relays_failed.borrow_mut();
        failed.retain(|_, at| *at + RELAYS_FAILED_MS > now);
        failed.insert(target, now);
    }
}
