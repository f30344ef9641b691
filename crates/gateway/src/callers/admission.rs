//! Accepts callers as far as this host can serve them in time.
//!
//! A full host stops listening while its peers have room, so that callers are refused before they send
//! anything and connect to another host at once; callers with an open connection are told to close it.
//! Peers are asked only while this host is full.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_connect::Dialer;
use hollowsail_observe::{events, LogThrottle};
use hollowsail_routing::{CallerAdmission, HostState, LinkBudget, Millis};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::mechanisms::Mechanism;
use crate::metrics;
use crate::peer_call;
use crate::peers::PeerRecord;
use crate::traffic::{Stopping, Traffic};

/// Path that accepts a [`RoomRequest`] and returns a [`RoomReply`]. An older build answers 404.
pub const ROOM_PATH: &str = "/hollowsail/room";

/// Number of peers that are asked at a time.
const PEERS_ASKED: usize = 4;
/// Interval between questions while this host is full.
const ASK_INTERVAL_MS: Millis = 400;
/// How long their answers hold, in milliseconds; longer than a question may take after an interval.
const REPLY_VALID_MS: Millis = 1_000;
/// Interval between log lines on refused callers, in milliseconds.
const LOG_INTERVAL_MS: Millis = 1_000;
/// Timeout of a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks whether a host can serve callers of others.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RoomRequest {}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RoomReply {
    pub has_room: bool,
}

/// Limits the lines on refused callers.
struct RefusalLog(LogThrottle<()>);

impl Default for RefusalLog {
    fn default() -> Self {
        RefusalLog(LogThrottle::new(LOG_INTERVAL_MS))
    }
}

/// What decides on new connections of callers.
#[derive(Default)]
pub struct Admission {
    admission: Cell<CallerAdmission>,
    budget: Cell<Option<LinkBudget>>,
    /// Limits the lines on refused callers.
    log: RefCell<RefusalLog>,
    /// Until when what peers said of their room holds.
    peers_have_room_until: Cell<Millis>,
    next_question: Cell<Millis>,
}

impl Admission {
    /// What this host carries now.
    pub fn host_state(&self, cx: &Traffic) -> HostState {
        let now = cx.clock.now();
        let mbps = cx.settings().limits.link_mbps;
        let mut budget = self.budget.get().unwrap_or(LinkBudget::new(now));
        budget.update(now, mbps, cx.load.carried());
        self.budget.set(Some(budget));
        HostState {
            budget_left: budget.left(mbps),
            link_used: budget.used_share(mbps),
            lag_ms: cx.lag.get().lag_ms(),
        }
    }

    /// True if connections of callers are accepted now.
    pub fn is_open(&self, cx: &Rc<Traffic>) -> bool {
        let host = self.host_state(cx);
        self.ask_if_full(cx, &host);
        let now = cx.clock.now();
        let peers_have_room = self.may_refuse(cx);
        let mut admission = self.admission.get();
        let was_open = !admission.is_closed();
        let is_open = admission.is_open(now, &host, peers_have_room);
        self.admission.set(admission);
        if was_open && !is_open {
            self.log_refusing(cx, &host);
        }
        is_open
    }

    fn log_refusing(&self, cx: &Traffic, host: &HostState) {
        metrics::count_refusing_callers();
        if !self.log.borrow_mut().0.is_due(cx.clock.now(), ()) {
            return;
        }
        let fields = format_args!(
            "budget_left={:.2} link_used={:.2} lag_ms={:.1} in_flight={} connections={}",
            host.budget_left,
            host.link_used,
            host.lag_ms,
            cx.in_flight.get(),
            cx.connections.get()
        );
        cx.log.line(events::CALLERS_REFUSED, fields);
    }

    /// True if callers are to close their connections after an answer.
    pub fn sheds_connections(&self, cx: &Rc<Traffic>) -> bool {
        let host = self.host_state(cx);
        self.ask_if_full(cx, &host);
        host.is_full() && self.may_refuse(cx)
    }

    /// True while callers that are refused are served elsewhere.
    fn may_refuse(&self, cx: &Traffic) -> bool {
        cx.has(Mechanism::CallerAdmission)
            && cx.stopping.get() == Stopping::No
            && cx.clock.now() < self.peers_have_room_until.get()
    }

    /// Records a connection that was accepted.
    pub fn record_accepted(&self, cx: &Traffic) {
        let mut admission = self.admission.get();
        admission.record_accepted();
        self.admission.set(admission);
        let mbps = cx.settings().limits.link_mbps;
        if let Some(mut budget) = self.budget.get() {
            budget.reserve(mbps);
            self.budget.set(Some(budget));
        }
    }

    /// Asks peers for room now and then while this host is full.
    fn ask_if_full(&self, cx: &Rc<Traffic>, host: &HostState) {
        let now = cx.clock.now();
        if !host.is_full() || now < self.next_question.get() {
            return;
        }
        self.next_question.set(now + ASK_INTERVAL_MS);
        let cx = cx.clone();
        actix_rt::spawn(async move {
            let has_room = ask_peers(&cx).await;
            let until = cx.clock.now() + REPLY_VALID_MS;
            cx.admission
                .peers_have_room_until
                .set(if has_room { until } else { 0 });
        });
    }
}

/// True if at least half of the peers that answer have room; false if none answers.
async fn ask_peers(cx: &Rc<Traffic>) -> bool {
    let asked = choose_peers(cx);
    let replies = asked.iter().map(|peer| ask(cx, peer));
    let replies: Vec<RoomReply> = join_all(replies).await.into_iter().flatten().collect();
    let with_room = replies.iter().filter(|reply| reply.has_room).count();
    !replies.is_empty() && 2 * with_room >= replies.len()
}

/// Random peers of this hall, where the balancer leads callers that are refused.
fn choose_peers(cx: &Traffic) -> Vec<PeerRecord> {
    let mut peers = cx.peers.other_records(cx);
    peers.retain(|peer| peer.hall == cx.me.hall);
    let chosen = peers.choose_multiple(&mut rand::rng(), PEERS_ASKED);
    chosen.cloned().collect()
}

async fn ask(cx: &Rc<Traffic>, peer: &PeerRecord) -> Option<RoomReply> {
    let dialer = Dialer::counted(peer.addr, cx.load.peers.clone());
    let pool = peer_call::single_use_pool(peer.addr, dialer, ASK_TIMEOUT);
    let reply = peer_call::query(&pool, ROOM_PATH, &RoomRequest {}, ASK_TIMEOUT).await;
    match reply {
        Ok(reply) => Some(reply),
        Err(err) => {
            log::debug!("peer {} didn't say if it has room: {err}", peer.addr);
            None
        }
    }
}

/// Answers a peer's question.
pub fn reply(cx: &Traffic) -> RoomReply {
    let has_room = cx.admission.host_state(cx).has_room();
    RoomReply {
        has_room: has_room && cx.stopping.get() == Stopping::No,
    }
}
