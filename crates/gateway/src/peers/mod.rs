//! The other entries: who they are, who owns what, and messages to them.
//!
//! Every entry keeps a record of itself in the platform's store under a lease;
//! control follows them and puts them into the view. Rendezvous hashing over
//! the live ones of the larger hosts gives each queue of a stage service one
//! owner without any agreement; two views may name two owners for a while,
//! which costs time and nothing else. An owner that doesn't answer is passed
//! over.

mod link;
mod listen;
mod messages;
mod record;
mod state;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use hollowsail_fleet::ownership::{self, Candidate};
use hollowsail_fleet::LiveRuns;
use hollowsail_observe::events;
use hollowsail_routing::Millis;

use crate::target_words;
use crate::traffic::Traffic;

pub use link::Link;
pub use listen::start;
pub use messages::{
    request, Made, MakePiece, Message, PieceEnd, PieceId, PlaceAnswer, PlacementId, PlacementStep,
    RunAgo, SpentResult, ToldLimit, ToldStanding, WorkerAtHandOver,
};
pub use record::{capacity_of, PeerId, PeerRecord, PREFIX};
pub use state::{RecordAt, RecordsAsk, RecordsAt, StateAnswer, StateAsk, RECORDS_PATH, STATE_PATH};

/// How long a peer that didn't answer is passed over at first, in milliseconds. Long
/// enough that a frozen process costs few requests, short against a restart.
const SUSPECT_MS: Millis = 1_500;
/// The same at most, in milliseconds: the time doubles as long as the peer doesn't
/// answer, since the record of one that is gone for good stays for a while.
const MOST_SUSPECT_MS: Millis = 6_000;

/// How long after its first list of entries this entry decides on owners, in
/// milliseconds. In a fleet that starts together, those on the list are the few that
/// were faster; at the second look most are there. Without it a queue has dozens of owners
/// in the first second, whose calls hold up each other's.
const SETTLE_MS: Millis = 200;
/// The same without a list, after the start: the store may be away. Where hundreds start
/// together a list takes half a second, and those that wait no longer own what others own.
const SETTLE_UNLISTED_MS: Millis = 1_500;

/// Who owns something.
pub enum Owner {
    /// This entry.
    Me,
    Peer(Rc<Link>),
}

/// How long a peer that says it is slow owns nothing, from when it last said so, in
/// milliseconds.
const SLOW_MS: Millis = 3_000;

/// A peer that didn't answer.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// It owns nothing before this.
    until: Millis,
    /// How long that is, from when it was last found silent.
    lasts: Millis,
}

impl Suspicion {
    /// What follows a silence at `now`, after what is remembered of the ones before.
    fn after(before: Option<Suspicion>, now: Millis) -> Self {
        let lasts = match before {
            // Several messages may find the same silence.
            Some(before) if now < before.until => before.lasts,
            Some(before) if now < before.until + MOST_SUSPECT_MS => {
                (before.lasts * 2).min(MOST_SUSPECT_MS)
            }
            _ => SUSPECT_MS,
        };
        Suspicion {
            until: now + lasts,
            lasts,
        }
    }

    /// True once the next silence counts as the first.
    fn is_forgotten(&self, now: Millis) -> bool {
        now >= self.until + MOST_SUSPECT_MS
    }
}

/// Entries that are live now and weren't before.
fn new_peers<'a>(before: &[PeerRecord], live: &'a [PeerRecord]) -> Vec<&'a PeerRecord> {
    let known: HashSet<PeerId> = before.iter().map(|peer| peer.id).collect();
    let new = live.iter().filter(|peer| !known.contains(&peer.id));
    new.collect()
}

/// Live peers and the links to them.
pub struct Peers {
    /// Every live entry, this one included.
    live: RefCell<Vec<PeerRecord>>,
    runs: RefCell<LiveRuns<PeerId, PeerRecord>>,
    links: RefCell<HashMap<PeerId, Rc<Link>>>,
    suspects: RefCell<HashMap<PeerId, Suspicion>>,
    /// Until when peers that said so count as slow.
    slow: RefCell<HashMap<PeerId, Millis>>,
    /// When the first list of entries came.
    first_listed: Cell<Option<Millis>>,
    /// Since when what decides on owners is as it is, by what is known now.
    unchanged_since: Cell<Millis>,
}

impl Default for Peers {
    fn default() -> Self {
        Peers {
            live: RefCell::default(),
            runs: RefCell::new(LiveRuns::new(|peer: &PeerRecord| peer.id)),
            links: RefCell::default(),
            suspects: RefCell::default(),
            slow: RefCell::default(),
            first_listed: Cell::new(None),
            unchanged_since: Cell::new(0),
        }
    }
}

impl Peers {
    /// Takes the live entries of a new view.
    pub fn take(&self, cx: &Rc<Traffic>, listed: &[PeerRecord]) {
        if self.first_listed.get().is_none() && !listed.is_empty() {
            self.first_listed.set(Some(cx.clock.now()));
        }
        self.runs.borrow_mut().take_listed(listed.to_vec());
        self.take_live(cx);
    }

    /// Takes the live runs as they are known now. An entry that isn't live any more may
    /// be about to stop and still answer for what it was asked: its link goes once
    /// nothing is awaited there, or when it doesn't answer. A new run at a host means
    /// that the run before is dead.
    fn take_live(&self, cx: &Rc<Traffic>) {
        let live = self.runs.borrow().live();
        let before = std::mem::replace(&mut *self.live.borrow_mut(), live.clone());
        let now = cx.clock.now();
        let mut suspects = self.suspects.borrow_mut();
        suspects.retain(|_, suspicion| !suspicion.is_forgotten(now));
        drop(suspects);
        let new_peers = new_peers(&before, &live);
        if before.len() != live.len() || !new_peers.is_empty() {
            self.changes_at(now);
        }
        let ids: HashSet<PeerId> = live.iter().map(|peer| peer.id).collect();
        let is_live = |id: &PeerId| ids.contains(id);
        let is_over = |link: &Link| !is_live(&link.peer.id) && link.is_idle();
        self.links.borrow_mut().retain(|_, link| !is_over(link));
        let hosts: HashSet<&str> = new_peers.iter().map(|peer| peer.host.as_str()).collect();
        for old in before {
            // Each host has one live run.
            if !is_live(&old.id) && hosts.contains(old.host.as_str()) {
                let link = self.links.borrow_mut().remove(&old.id);
                link.into_iter().for_each(|link| link.close());
                cx.pools.requester_lost(old.id);
                cx.placements.requester_lost(cx, old.id);
            }
        }
        target_words::tell_new_peers(cx, &new_peers);
    }

    /// What decides on owners changes now, or at a moment to come.
    fn changes_at(&self, at: Millis) {
        let known = self.unchanged_since.get();
        self.unchanged_since.set(known.max(at));
    }

    /// Since when what decides on owners is as it is now; a moment to come where a change
    /// of it is known already.
    pub fn unchanged_since(&self) -> Millis {
        self.unchanged_since.get()
    }

    /// An entry was heard. A run of a host that is known by the run before takes
    /// that one's place at once; what was asked of it goes to the new run.
    pub fn heard(&self, cx: &Rc<Traffic>, peer: &PeerRecord) {
        let Some(old) = self.run_before(peer) else {
            return;
        };
        cx.log.line(
            events::MEMBER,
            format_args!(
                "peer={} addr={} hall={} state=live why=heard",
                peer.host, peer.addr, peer.hall
            ),
        );
        self.runs.borrow_mut().heard(old, peer.clone());
        self.take_live(cx);
    }

    /// The run that a peer's host is known by, if it is another one.
    fn run_before(&self, peer: &PeerRecord) -> Option<PeerId> {
        let live = self.live.borrow();
        let known = live.iter().find(|known| known.host == peer.host)?;
        (known.id != peer.id).then_some(known.id)
    }

    /// True once a list of entries came.
    pub fn is_listed(&self) -> bool {
        self.first_listed.get().is_some()
    }

    /// Live entries, this one included; at least 1.
    pub fn count(&self) -> usize {
        self.live.borrow().len().max(1)
    }

    /// Every other live entry.
    pub fn others(&self, cx: &Traffic) -> Vec<PeerId> {
        let live = self.live.borrow();
        let others = live.iter().map(|peer| peer.id);
        others.filter(|id| *id != cx.me.id).collect()
    }

    /// Where this entry stands among all, from 0 to 1, in an order that all share;
    /// `None` before it knows the others.
    pub fn place(&self, cx: &Traffic) -> Option<f64> {
        self.first_listed.get()?;
        let live = self.live.borrow();
        let before = live.iter().filter(|peer| peer.id < cx.me.id).count();
        Some(before as f64 / live.len().max(1) as f64)
    }

    /// Waits until enough entries are known to decide on owners; only an entry that
    /// has just started waits.
    pub async fn settled(&self, cx: &Traffic) {
        let listed = self.first_listed.get();
        let at = listed.map_or(SETTLE_UNLISTED_MS, |listed| listed + SETTLE_MS);
        if cx.clock.now() < at {
            tokio::time::sleep_until(cx.clock.timer(at).into()).await;
        }
    }

    /// The owner of `what` among the entries that aren't under suspicion.
    pub fn owner_of(&self, cx: &Rc<Traffic>, what: &str) -> Owner {
        self.with_owner(cx, what, &[], |owner| match owner {
            Some(peer) if peer.id != cx.me.id => Owner::Peer(self.link_to(cx, peer)),
            _ => Owner::Me,
        })
    }

    /// True when this entry would be the owner of `what` without some others.
    pub fn is_mine_without(&self, cx: &Traffic, what: &str, others: &[PeerId]) -> bool {
        self.with_owner(cx, what, others, |owner| {
            owner.is_some_and(|peer| peer.id == cx.me.id)
        })
    }

    /// Looks at the owner of `what` among the entries that aren't under suspicion, and not
    /// among some others; `None` where no entry is left.
    fn with_owner<T>(
        &self,
        cx: &Traffic,
        what: &str,
        without: &[PeerId],
        look: impl FnOnce(Option<&PeerRecord>) -> T,
    ) -> T {
        let now = cx.clock.now();
        let suspects = self.suspects.borrow();
        let live = self.live.borrow();
        let usable: Vec<&PeerRecord> = live
            .iter()
            .filter(|peer| suspects.get(&peer.id).is_none_or(|s| s.until <= now))
            .filter(|peer| !without.contains(&peer.id))
            .collect();
        let slow = self.slow.borrow();
        let is_slow = |peer: &PeerRecord| match peer.id == cx.me.id {
            true => cx.pace.get().is_slow(),
            false => slow.get(&peer.id).is_some_and(|until| *until > now),
        };
        let candidates = usable.iter().map(|peer| Candidate {
            host: &peer.host,
            capacity: peer.capacity,
            is_slow: is_slow(peer),
        });
        look(ownership::owner(what, candidates).map(|at| usable[at]))
    }

    /// The link to a peer, made when there is none.
    pub fn link_to(&self, cx: &Rc<Traffic>, peer: &PeerRecord) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(peer.id)
            .or_insert_with(|| Link::new(cx, peer.clone()));
        link.clone()
    }

    /// A link to each other live entry.
    pub fn links_to_all(&self, cx: &Rc<Traffic>) -> Vec<Rc<Link>> {
        let live = self.live.borrow();
        let others = live.iter().filter(|peer| peer.id != cx.me.id);
        others.map(|peer| self.link_to(cx, peer)).collect()
    }

    /// A peer says whether it keeps up with its work.
    pub fn told_pace(&self, cx: &Rc<Traffic>, peer: PeerId, is_slow: bool) {
        let mut slow = self.slow.borrow_mut();
        let was_slow = match is_slow {
            true => slow.insert(peer, cx.clock.now() + SLOW_MS).is_some(),
            false => slow.remove(&peer).is_some(),
        };
        drop(slow);
        if was_slow != is_slow {
            self.changes_at(cx.clock.now());
            cx.pools.hand_over(cx);
        }
    }

    /// A peer took a message: what was suspected of it is over.
    pub fn answered(&self, peer: PeerId) {
        self.suspects.borrow_mut().remove(&peer);
    }

    /// A peer didn't answer: it owns nothing for a while.
    pub fn suspect(&self, cx: &Rc<Traffic>, peer: &PeerRecord, why: &str) {
        let before = self.suspects.borrow().get(&peer.id).copied();
        let suspicion = Suspicion::after(before, cx.clock.now());
        self.changes_at(suspicion.until);
        self.suspects.borrow_mut().insert(peer.id, suspicion);
        self.links.borrow_mut().remove(&peer.id);
        cx.log.line(
            events::MEMBER,
            format_args!(
                "peer={} state=suspect for_ms={} why=\"{why}\"",
                peer.host, suspicion.lasts
            ),
        );
        cx.pools.requester_lost(peer.id);
        cx.placements.requester_lost(cx, peer.id);
    }
}
