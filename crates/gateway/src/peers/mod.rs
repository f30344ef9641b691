//! Membership of the fleet of entries, ownership, and messages between entries.
//!
//! Every entry keeps a record of itself in the platform's store under a lease; the control
//! thread follows the records and publishes them in the view. Rendezvous hashing over the live
//! entries on the larger hosts gives each queue one owner without coordination. Views may
//! disagree on an owner for a short time, which costs latency but not correctness. Owners that
//! do not respond are skipped.

mod dropped_pieces;
mod heard;
mod link;
mod listen;
mod messages;
mod record;
mod started_pieces;
mod state;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use futures_util::future::join_all;
use hollowsail_fleet::ownership::{self, Candidate};
use hollowsail_fleet::LiveRuns;
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_routing::repeats::TrackedSend;
use hollowsail_routing::Millis;
use hollowsail_streams::holders::{self, HolderCandidate};
use hollowsail_streams::StreamKey;

use self::dropped_pieces::LostSends;
use self::link::PeerEnd;
use crate::stream_origins::Holder;
use crate::target_reports;
use crate::traffic::Traffic;

pub use heard::HeardPeers;
pub use link::{Link, LinkLost, RemoteOutcome};
pub use listen::{read, start};
pub use messages::{
    CompletedPiece, CrashedRunReport, LimitNotice, Message, PassedPiece, PieceId, PieceOutcome,
    PlacementId, PlacementReply, PlacementStep, ProducePieceRequest, TargetReportMessage,
    UnneededResult, VerdictNotice, WorkerHandover,
};
pub use record::{capacity_of, PeerId, PeerRecord, PREFIX};
pub use state::{
    DrainingRequest, PositionedRecord, RecordsRequest, RecordsSnapshot, RetiredRequest,
    RetiredTargets, StateRequest, StateResponse, TargetList, TargetListRequest, DRAINING_PATH,
    RECORDS_PATH, RETIRED_PATH, STATE_PATH, TARGETS_PATH,
};

/// How long a peer that did not respond owns nothing after its first failure, in milliseconds. Long
/// enough that a frozen process delays few requests, short compared with a restart.
const SUSPECT_MS: Millis = 1_500;
/// Upper bound of the suspicion time, in milliseconds. The time doubles with each further
/// failure, since the record of a dead peer expires only with its lease.
const MAX_SUSPECT_MS: Millis = 6_000;

/// How long after its first list of entries this entry starts to use owners, in milliseconds.
/// When a fleet starts together the first list is incomplete, and queues would have many
/// owners at once.
const SETTLE_MS: Millis = 200;
/// The same when no list was received, counted from the start, in milliseconds. The store may be
/// unreachable. Where hundreds of entries start together, a list takes half a second.
const SETTLE_UNLISTED_MS: Millis = 1_500;

/// Maximum number of entries considered as holders of a stream's record: some may run a build that
/// doesn't hold any.
const MAX_RECORD_HOLDERS: usize = 8;

/// Owner of a key.
pub enum Owner {
    /// This entry.
    Me,
    Peer(Rc<Link>),
}

/// Peers that are told at the same time that this entry may own keys again.
const MAX_NOTICES: usize = 16;

/// How long a peer that declines ownership owns nothing, in milliseconds.
const LAGGING_MS: Millis = 3_000;

/// A peer that did not respond.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// End of the time in which it owns nothing.
    until: Millis,
    /// Length of that time, from the last failure, in milliseconds.
    duration_ms: Millis,
}

impl Suspicion {
    /// The suspicion after a failure at `now`, given the previous one.
    fn after(before: Option<Suspicion>, now: Millis) -> Self {
        let duration_ms = match before {
            // Several messages may detect the same failure.
            Some(before) if now < before.until => before.duration_ms,
            Some(before) if now < before.until + MAX_SUSPECT_MS => {
                (before.duration_ms * 2).min(MAX_SUSPECT_MS)
            }
            _ => SUSPECT_MS,
        };
        Suspicion {
            until: now + duration_ms,
            duration_ms,
        }
    }

    /// True when the next failure counts as the first.
    fn is_expired(&self, now: Millis) -> bool {
        now >= self.until + MAX_SUSPECT_MS
    }
}

/// Entries in `live` that are not in `before`.
fn new_peers<'a>(before: &[PeerRecord], live: &'a [PeerRecord]) -> Vec<&'a PeerRecord> {
    let known: HashSet<PeerId> = before.iter().map(|peer| peer.id).collect();
    let new = live.iter().filter(|peer| !known.contains(&peer.id));
    new.collect()
}

/// Live peers and the links to them.
pub struct Peers {
    /// Every live entry, including this one.
    live: RefCell<Vec<PeerRecord>>,
    runs: RefCell<LiveRuns<PeerId, PeerRecord>>,
    links: RefCell<HashMap<PeerId, Rc<Link>>>,
    suspects: RefCell<HashMap<PeerId, Suspicion>>,
    /// Pieces that peers may have sent, and don't send for this entry any more.
    lost_sends: LostSends,
    /// Peers that lag or have no configuration, by their own report, and until when that applies.
    lagging: RefCell<HashMap<PeerId, Millis>>,
    /// When the first list of entries was received.
    first_listed: Cell<Option<Millis>>,
    /// When the inputs of the ownership decision last changed, or will next change.
    ownership_stable_since: Cell<Millis>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            live: RefCell::default(),
            runs: RefCell::new(LiveRuns::new(|peer: &PeerRecord| peer.id)),
            links: RefCell::default(),
            suspects: RefCell::default(),
            lost_sends: LostSends::default(),
            lagging: RefCell::default(),
            first_listed: Cell::new(None),
            ownership_stable_since: Cell::new(0),
        }
    }
}

impl Peers {
    /// Updates the live entries from a new view.
    pub fn update(&self, cx: &Rc<Traffic>, listed: &[PeerRecord]) {
        if self.first_listed.get().is_none() && !listed.is_empty() {
            self.first_listed.set(Some(cx.clock.now()));
        }
        self.runs.borrow_mut().set_listed(listed.to_vec());
        self.update_live(cx);
    }

    /// Updates the live entries and closes links that are no longer needed. An entry that is
    /// not live may still answer pending requests, so its link stays until it is idle. A new
    /// run on a host means that the previous run is dead.
    fn update_live(&self, cx: &Rc<Traffic>) {
        let live = self.runs.borrow().live();
        let before = std::mem::replace(&mut *self.live.borrow_mut(), live.clone());
        let now = cx.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, suspicion| !suspicion.is_expired(now));
        drop(suspects);
        let new_peers = new_peers(&before, &live);
        if before.len() != live.len() || !new_peers.is_empty() {
            self.ownership_changes_at(now);
        }
        let ids: HashSet<PeerId> = live.iter().map(|peer| peer.id).collect();
        let is_live = |id: &PeerId| ids.contains(id);
        let is_unneeded = |link: &Link| !is_live(&link.peer.id) && link.is_idle();
        self.links.borrow_mut().retain(|_, link| !is_unneeded(link));
        let hosts: HashSet<&str> = new_peers.iter().map(|peer| peer.host.as_str()).collect();
        for old in before {
            // Each host has one live run.
            if !is_live(&old.id) && hosts.contains(old.host.as_str()) {
                let link = self.links.borrow_mut().remove(&old.id);
                link.into_iter().for_each(|link| link.close(PeerEnd::Ended));
                cx.pools.requester_lost(old.id);
                cx.placements.requester_lost(cx, old.id);
            }
        }
        target_reports::send_limits_to_new_peers(cx, &new_peers);
        cx.prune_connections();
    }

    /// Records that the inputs of the ownership decision change at `at`.
    fn ownership_changes_at(&self, at: Millis) {
        let known = self.ownership_stable_since.get();
        self.ownership_stable_since.set(known.max(at));
    }

    /// Time of the last known change of the inputs of the ownership decision; in the future
    /// when a change is scheduled, such as the end of a suspicion.
    pub fn ownership_stable_since(&self) -> Millis {
        self.ownership_stable_since.get()
    }

    /// A message from an entry was received. A new run of a known host replaces the previous
    /// run at once, but none replaces this one.
    pub fn observed(&self, cx: &Rc<Traffic>, peer: &PeerRecord) {
        let previous = self.previous_run(peer);
        let Some(old) = previous.filter(|old| *old != cx.me.id) else {
            return;
        };
        cx.log.line(
            events::MEMBER,
            format_args!(
                "peer={} addr={} hall={} state=live why=heard",
                Field(&peer.host),
                peer.addr,
                Field(&peer.hall)
            ),
        );
        self.runs.borrow_mut().observed(old, peer.clone());
        self.update_live(cx);
    }

    /// The known run on the peer's host, if it is another run.
    fn previous_run(&self, peer: &PeerRecord) -> Option<PeerId> {
        let live = self.live.borrow();
        let known = live.iter().find(|known| known.host == peer.host)?;
        (known.id != peer.id).then_some(known.id)
    }

    /// True once a list of entries was received.
    pub fn is_listed(&self) -> bool {
        self.first_listed.get().is_some()
    }

    /// Number of live entries, including this one; at least 1.
    pub fn count(&self) -> usize {
        self.live.borrow().len().max(1)
    }

    pub fn others(&self, cx: &Traffic) -> Vec<PeerId> {
        let live = self.live.borrow();
        let others = live.iter().map(|peer| peer.id);
        others.filter(|id| *id != cx.me.id).collect()
    }

    /// True when a run is live.
    pub fn is_live(&self, peer: PeerId) -> bool {
        self.live.borrow().iter().any(|live| live.id == peer)
    }

    /// The records of the other live entries.
    pub fn other_records(&self, cx: &Traffic) -> Vec<PeerRecord> {
        let live = self.live.borrow();
        let others = live.iter().filter(|peer| peer.id != cx.me.id);
        others.cloned().collect()
    }

    /// True while a peer is suspected.
    pub fn is_suspected(&self, cx: &Traffic, peer: PeerId) -> bool {
        let suspects = self.suspects.borrow();
        let suspicion = suspects.get(&peer);
        suspicion.is_some_and(|suspicion| suspicion.until > cx.clock.now())
    }

    /// The entries that hold copies of the record of a stream, in their order; without this one and
    /// those that are suspected.
    pub fn record_holders(&self, cx: &Traffic, key: StreamKey) -> Vec<Holder> {
        let now = cx.clock.now();
        let suspects = self.suspects.borrow();
        let live = self.live.borrow();
        let others = live.iter().filter(|peer| peer.id != cx.me.id);
        let responsive: Vec<&PeerRecord> = others
            .filter(|peer| suspects.get(&peer.id).is_none_or(|s| s.until <= now))
            .collect();
        let candidates = responsive.iter().map(|peer| HolderCandidate {
            host: &peer.host,
            hall: &peer.hall,
        });
        let candidates: Vec<HolderCandidate<'_>> = candidates.collect();
        let order = holders::order(key, &candidates).into_iter();
        let order = order.map(|index| responsive[index]).map(|peer| Holder {
            run: peer.id.0,
            addr: peer.addr,
        });
        order.take(MAX_RECORD_HOLDERS).collect()
    }

    /// Position of this entry among all entries, from 0 to 1, in an order that all share;
    /// `None` before the first list of entries.
    pub fn position(&self, cx: &Traffic) -> Option<f64> {
        self.first_listed.get()?;
        let live = self.live.borrow();
        let before = live.iter().filter(|peer| peer.id < cx.me.id).count();
        Some(before as f64 / live.len().max(1) as f64)
    }

    /// When enough entries are known to decide on owners and shares.
    fn settled_at(&self) -> Millis {
        let listed = self.first_listed.get();
        listed.map_or(SETTLE_UNLISTED_MS, |listed| listed + SETTLE_MS)
    }

    /// False shortly after the start, when not all entries may be known.
    pub fn is_settled(&self, cx: &Traffic) -> bool {
        cx.clock.now() >= self.settled_at()
    }

    /// Waits until enough entries are known to decide on owners. Returns at once except
    /// shortly after the start.
    pub async fn wait_until_settled(&self, cx: &Traffic) {
        let settled_at = self.settled_at();
        if cx.clock.now() < settled_at {
            tokio::time::sleep_until(cx.clock.timer(settled_at).into()).await;
        }
    }

    /// The owner of a key among the entries that are not suspected.
    pub fn owner_of(&self, cx: &Rc<Traffic>, key: &str) -> Owner {
        self.with_owner_of(cx, key, &[], |owner| match owner {
            Some(peer) if peer.id != cx.me.id => Owner::Peer(self.link_to(cx, peer)),
            _ => Owner::Me,
        })
    }

    /// True when this entry would own the key if `others` did not exist.
    pub fn is_mine_without(&self, cx: &Traffic, key: &str, others: &[PeerId]) -> bool {
        self.with_owner_of(cx, key, others, |owner| {
            owner.is_some_and(|peer| peer.id == cx.me.id)
        })
    }

    /// Passes the owner of a key to `read`. Suspected entries and those in `without` are
    /// skipped; `None` when no entry is left.
    fn with_owner_of<T>(
        &self,
        cx: &Traffic,
        key: &str,
        without: &[PeerId],
        read: impl FnOnce(Option<&PeerRecord>) -> T,
    ) -> T {
        let now = cx.clock.now();
        let suspects = self.suspects.borrow();
        let live = self.live.borrow();
        let usable: Vec<&PeerRecord> = live
            .iter()
            .filter(|peer| suspects.get(&peer.id).is_none_or(|s| s.until <= now))
            .filter(|peer| !without.contains(&peer.id))
            .collect();
        let lagging = self.lagging.borrow();
        let is_lagging = |peer: &PeerRecord| match peer.id == cx.me.id {
            true => cx.declines_ownership(),
            false => lagging.get(&peer.id).is_some_and(|until| *until > now),
        };
        let candidates = usable.iter().map(|peer| Candidate {
            host: &peer.host,
            capacity: peer.capacity,
            is_lagging: is_lagging(peer),
        });
        read(ownership::owner(key, candidates).map(|index| usable[index]))
    }

    /// The link to a peer, created when there is none.
    pub fn link_to(&self, cx: &Rc<Traffic>, peer: &PeerRecord) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(peer.id)
            .or_insert_with(|| Link::new(cx, peer.clone()));
        link.clone()
    }

    /// The link to a peer, if there is one.
    fn known_link(&self, peer: PeerId) -> Option<Rc<Link>> {
        self.links.borrow().get(&peer).cloned()
    }

    /// Links to all other live entries.
    pub fn links_to_all(&self, cx: &Rc<Traffic>) -> Vec<Rc<Link>> {
        let live = self.live.borrow();
        let others = live.iter().filter(|peer| peer.id != cx.me.id);
        others.map(|peer| self.link_to(cx, peer)).collect()
    }

    /// Records a peer's report on whether it lags, or has no configuration.
    pub fn set_lagging(&self, cx: &Rc<Traffic>, peer: PeerId, is_lagging: bool) {
        let mut lagging = self.lagging.borrow_mut();
        let was_lagging = match is_lagging {
            true => lagging.insert(peer, cx.clock.now() + LAGGING_MS).is_some(),
            false => lagging.remove(&peer).is_some(),
        };
        drop(lagging);
        if was_lagging != is_lagging {
            self.ownership_changes_at(cx.clock.now());
            cx.pools.hand_over(cx);
        }
    }

    /// Tells all peers that were told otherwise that this entry may own keys again. Peers that learn it
    /// only from the next message for them would go on with another owner until then.
    pub fn end_declining(&self, cx: &Rc<Traffic>) {
        let links: Vec<Rc<Link>> = self.links.borrow().values().cloned().collect();
        let cx = cx.clone();
        actix_rt::spawn(async move {
            for links in links.chunks(MAX_NOTICES) {
                if cx.declines_ownership() {
                    return;
                }
                join_all(links.iter().map(Link::end_declining)).await;
            }
        });
    }

    /// A peer accepted a message: clears its suspicion, and asks about pieces that it may have sent.
    pub fn record_in_touch(&self, cx: &Rc<Traffic>, link: &Rc<Link>) {
        self.suspects.borrow_mut().remove(&link.peer.id);
        dropped_pieces::ask(cx, link);
    }

    /// Records that a piece isn't awaited any more of which a peer may have made sends.
    pub fn record_lost_send(
        &self,
        cx: &Rc<Traffic>,
        link: &Rc<Link>,
        id: PieceId,
        send: TrackedSend,
    ) {
        self.lost_sends.add(cx.clock.now(), link.peer.id, id, send);
        dropped_pieces::ask(cx, link);
    }

    /// A peer did not respond: it owns nothing until the suspicion ends.
    pub fn suspect(&self, cx: &Rc<Traffic>, peer: &PeerRecord, why: &str) {
        let before = self.suspects.borrow().get(&peer.id).copied();
        let suspicion = Suspicion::after(before, cx.clock.now());
        self.ownership_changes_at(suspicion.until);
        self.suspects.borrow_mut().insert(peer.id, suspicion);
        self.links.borrow_mut().remove(&peer.id);
        cx.log.line(
            events::MEMBER,
            format_args!(
                "peer={} state=suspect for_ms={} why={}",
                Field(&peer.host),
                suspicion.duration_ms,
                Quoted(&why)
            ),
        );
        cx.pools.requester_lost(peer.id);
        cx.placements.requester_lost(cx, peer.id);
    }
}
