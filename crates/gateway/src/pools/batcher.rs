//! Makes the pieces of one queue.
//!
//! Requests and peers hand pieces in; the queue of `hollowsail-stages` says
//! which pieces share a call to which target; [`super::call`] makes the call.
//! Results are remembered until they are given up, or until their maker drops
//! them by itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hollowsail_fleet::rendezvous;
use hollowsail_observe::events;
use hollowsail_platform::deployment::StagePool;
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;
use hollowsail_stages::{
    BatchQueue, GroupKey, HallKey, PieceKey, PieceOrder, PoolRules, StartedCall, WorkerKey,
};
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::held::HeldResult;
use super::{call, Requester, Wanted};
use crate::peers::{self, Link, Made, Message, PeerId, PieceId, WorkerAtHandOver};
use crate::targets::Target;
use crate::traffic::Traffic;

/// Between two looks for pieces and calls whose time is over, while there are
/// any.
const TICK: Duration = Duration::from_millis(25);
/// Between two words to a requester on what a queue has to do, in milliseconds;
/// they go with results, so an idle queue tells nothing.
const TELL_LOAD_MS: Millis = 60;
/// How long results that the owner before had made are taken to stay, in
/// milliseconds: about two calls of the stages after.
const FOREIGN_RESULT_MS: Millis = 800;
/// Results given up within this time share a call.
const FREE_AFTER: Duration = Duration::from_millis(8);

/// A piece that waits or is being made.
pub(super) struct Job {
    pub piece: Piece,
    /// Times that it was given back.
    pub failures: u32,
    reply: Reply,
}

/// Who waits for a piece.
enum Reply {
    Here(oneshot::Sender<LocalEnd>),
    Peer(Requester),
}

/// How a piece ended for a request of this entry.
pub(super) enum LocalEnd {
    Made(HeldResult),
    Failed(PieceFailure),
    /// Not begun; the queue has another owner now.
    Moved,
}

/// A result that lies at its maker.
struct Kept {
    worker: WorkerKey,
    bytes: u64,
    /// When its maker drops it by itself.
    until: Millis,
    /// The peer that has it, if one does.
    at_peer: Option<(PeerId, PieceId)>,
}

/// One queue.
pub struct Batcher {
    cx: Weak<Traffic>,
    name: String,
    pub(super) queue: RefCell<BatchQueue<Job>>,
    workers: RefCell<Workers>,
    results: RefCell<HashMap<String, Kept>>,
    /// Pieces that peers wait for.
    of_peers: RefCell<HashMap<(PeerId, PieceId), PieceKey>>,
    /// Handles to give up, by the worker that made them.
    spent: RefCell<HashMap<WorkerKey, Vec<String>>>,
    /// When each requester was last told what this queue has to do.
    load_told: RefCell<HashMap<PeerId, Millis>>,
    /// How long a maker keeps a result, in milliseconds.
    kept_ms: Cell<Millis>,
    will_pump: Cell<bool>,
    is_ticking: Cell<bool>,
    is_freeing: Cell<bool>,
}

#[derive(Default)]
struct Workers {
    by_incarnation: HashMap<Incarnation, WorkerKey>,
    targets: SecondaryMap<WorkerKey, Rc<Target>>,
    halls: Vec<String>,
}

impl Workers {
    /// The number of a hall.
    fn hall(&mut self, name: &str) -> HallKey {
        let known = self.halls.iter().position(|hall| hall == name);
        let at = known.unwrap_or_else(|| {
            self.halls.push(name.to_string());
            self.halls.len() - 1
        });
        HallKey(at as u16)
    }
}

/// Takes a piece out of the queue when its request no longer waits.
struct Submitted<'a> {
    batcher: &'a Batcher,
    piece: PieceKey,
}

impl Drop for Submitted<'_> {
    fn drop(&mut self) {
        self.batcher.queue.borrow_mut().finish(self.piece);
    }
}

/// The pieces of one stage of one request.
fn group_of(piece: &Piece) -> GroupKey {
    GroupKey(rendezvous::score(&piece.request_id, piece.stage))
}

fn rules_of(pool: &StagePool) -> PoolRules {
    PoolRules {
        running: pool.running as usize,
        batch: pool.batch,
        call_ms: pool.call.as_secs_f64() * 1000.0,
        piece_ms: pool.piece.as_secs_f64() * 1000.0,
        result_bytes: pool.result_bytes,
    }
}

impl Batcher {
    /// A batcher without targets.
    pub fn new(cx: &Rc<Traffic>, name: &str, pool: &StagePool) -> Rc<Self> {
        Rc::new(Batcher {
            cx: Rc::downgrade(cx),
            name: name.to_string(),
            queue: RefCell::new(BatchQueue::new(rules_of(pool))),
            workers: RefCell::default(),
            results: RefCell::default(),
            of_peers: RefCell::default(),
            spent: RefCell::default(),
            load_told: RefCell::default(),
            kept_ms: Cell::new(pool.kept_for.as_millis() as Millis),
            will_pump: Cell::new(false),
            is_ticking: Cell::new(false),
            is_freeing: Cell::new(false),
        })
    }

    /// Name of its queue.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Takes new rules for calls to come.
    pub fn set_rules(&self, pool: &StagePool) {
        self.queue.borrow_mut().set_rules(rules_of(pool));
        self.kept_ms.set(pool.kept_for.as_millis() as Millis);
    }

    /// Takes the targets that may get new work.
    pub fn take_targets(self: &Rc<Self>, targets: &[Rc<Target>]) {
        let mut workers = self.workers.borrow_mut();
        let mut queue = self.queue.borrow_mut();
        let is_there = |id: &Incarnation| targets.iter().any(|t| t.incarnation() == id);
        workers.by_incarnation.retain(|id, key| {
            let stays = is_there(id);
            if !stays {
                queue.remove_worker(*key);
            }
            stays
        });
        for target in targets {
            if !workers.by_incarnation.contains_key(target.incarnation()) {
                let hall = workers.hall(&target.record.hall);
                let key = queue.add_worker(hall);
                workers
                    .by_incarnation
                    .insert(target.incarnation().clone(), key);
                workers.targets.insert(key, target.clone());
            }
        }
        drop((workers, queue));
        self.pump_soon();
    }

    /// Makes a piece. Dropping the future gives the piece up.
    pub(super) async fn make(self: &Rc<Self>, wanted: Wanted) -> LocalEnd {
        let (tx, result) = oneshot::channel();
        let key = self.push(wanted, Reply::Here(tx));
        let _submitted = Submitted {
            batcher: self,
            piece: key,
        };
        result
            .await
            .unwrap_or(LocalEnd::Failed(PieceFailure::Failed))
    }

    /// Makes a piece for a peer.
    pub fn take_from_peer(self: &Rc<Self>, link: Rc<Link>, id: PieceId, wanted: Wanted) {
        let peer = link.peer.id;
        let key = self.push(wanted, Reply::Peer(Requester { link, id }));
        self.of_peers.borrow_mut().insert((peer, id), key);
    }

    fn push(self: &Rc<Self>, wanted: Wanted, reply: Reply) -> PieceKey {
        let now = self.cx.upgrade().map_or(0, |cx| cx.clock.now());
        let hall = wanted
            .hall
            .map(|hall| self.workers.borrow_mut().hall(&hall));
        let order = PieceOrder {
            priority: wanted.priority,
            due: wanted.due,
            expires: wanted.expires,
            result_bytes: wanted.result_bytes,
            group: group_of(&wanted.piece),
            hall,
        };
        let job = Job {
            piece: wanted.piece,
            failures: 0,
            reply,
        };
        let key = self.queue.borrow_mut().push(order, job, now);
        self.pump_soon();
        key
    }

    /// A peer waits for a piece no longer, or left its result.
    pub fn give_up_piece(self: &Rc<Self>, from: PeerId, id: PieceId) {
        if let Some(key) = self.of_peers.borrow_mut().remove(&(from, id)) {
            self.queue.borrow_mut().finish(key);
            return;
        }
        let left = self
            .results
            .borrow()
            .iter()
            .find(|(_, result)| result.at_peer == Some((from, id)))
            .map(|(handle, _)| handle.clone());
        if let Some(handle) = left {
            self.give_up(&handle);
        }
    }

    /// A peer is lost: its pieces and results are given up.
    pub fn requester_lost(self: &Rc<Self>, peer: PeerId) {
        self.load_told.borrow_mut().remove(&peer);
        self.of_peers.borrow_mut().retain(|(of, _), key| {
            let stays = *of != peer;
            if !stays {
                self.queue.borrow_mut().finish(*key);
            }
            stays
        });
        let is_its = |result: &Kept| result.at_peer.is_some_and(|(at, _)| at == peer);
        let left: Vec<String> = self
            .results
            .borrow()
            .iter()
            .filter(|(_, result)| is_its(result))
            .map(|(handle, _)| handle.clone())
            .collect();
        left.iter().for_each(|handle| self.give_up(handle));
    }

    /// Makes calls once the tasks that run now have run: pieces that a request
    /// hands in together go into one call.
    fn pump_soon(self: &Rc<Self>) {
        if self.will_pump.replace(true) {
            return;
        }
        let batcher = self.clone();
        actix_rt::spawn(async move {
            batcher.will_pump.set(false);
            batcher.pump();
        });
    }

    /// Makes every call that can be made now.
    pub(super) fn pump(self: &Rc<Self>) {
        let Some(cx) = self.cx.upgrade() else {
            return;
        };
        loop {
            let next = self.queue.borrow_mut().next_call(cx.clock.now());
            let Some(started) = next else { break };
            let target = self.workers.borrow().targets.get(started.worker).cloned();
            if let Some(target) = target {
                actix_rt::spawn(call::run(cx.clone(), self.clone(), started, target));
            }
        }
        self.tick_while_busy(&cx);
    }

    /// Looks for what is over, as long as anything is under way.
    fn tick_while_busy(self: &Rc<Self>, cx: &Rc<Traffic>) {
        if self.is_ticking.get() || self.is_idle() {
            return;
        }
        self.is_ticking.set(true);
        let (batcher, cx) = (self.clone(), cx.clone());
        actix_rt::spawn(async move {
            while !batcher.is_idle() {
                tokio::time::sleep(TICK).await;
                batcher.tick(&cx);
            }
            batcher.is_ticking.set(false);
        });
    }

    fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.waiting() == 0 && queue.running() == 0 && self.results.borrow().is_empty()
    }

    fn tick(self: &Rc<Self>, cx: &Rc<Traffic>) {
        let now = cx.clock.now();
        let expired = self.queue.borrow().expired(now);
        for piece in expired {
            self.failed(piece, PieceFailure::Late);
        }
        self.forget_dropped(now);
        let slow = self.queue.borrow_mut().take_overdue(now);
        for worker in slow {
            if let Some(target) = self.workers.borrow().targets.get(worker) {
                let fields = format_args!(
                    "queue={} target={} why=call_overdue",
                    self.name, target.record.incarnation.0
                );
                cx.log.line(events::TARGET_EJECTED, fields);
            }
        }
        self.pump();
    }

    /// Results that their makers dropped by themselves.
    fn forget_dropped(&self, now: Millis) {
        self.results.borrow_mut().retain(|_, result| {
            let is_kept = result.until > now;
            if !is_kept {
                self.queue.borrow_mut().free(result.worker, result.bytes);
            }
            is_kept
        });
    }

    /// A piece wasn't made.
    pub(super) fn failed(&self, piece: PieceKey, failure: PieceFailure) {
        let job = self.queue.borrow_mut().finish(piece);
        match job.map(|job| job.reply) {
            // A requester that left needs no answer.
            Some(Reply::Here(tx)) => drop(tx.send(LocalEnd::Failed(failure))),
            Some(Reply::Peer(requester)) => {
                self.forget_piece(&requester);
                self.tell_load(&requester.link);
                let end = peers::PieceEnd::Failed(failure);
                requester.link.send(Message::Ended(requester.id, end));
            }
            None => {}
        }
    }

    /// A worker made a result. One that nobody waits for is given up at once.
    pub(super) fn made(
        self: &Rc<Self>,
        piece: PieceKey,
        worker: WorkerKey,
        target: &Target,
        handle: String,
        bytes: u64,
    ) {
        let made = Made {
            handle: handle.clone(),
            target: target.incarnation().clone(),
            addr: target.record.addr,
            hall: target.record.hall.clone(),
        };
        let job = self.queue.borrow_mut().finish(piece);
        let reply = job.map(|job| job.reply);
        let at_peer = match &reply {
            Some(Reply::Peer(requester)) => Some((requester.link.peer.id, requester.id)),
            _ => None,
        };
        let now = self.cx.upgrade().map_or(0, |cx| cx.clock.now());
        let result = Kept {
            worker,
            bytes,
            until: now + self.kept_ms.get(),
            at_peer,
        };
        self.results.borrow_mut().insert(handle.clone(), result);
        match reply {
            // A request that left drops the result, which gives it up.
            Some(Reply::Here(tx)) => {
                drop(tx.send(LocalEnd::Made(HeldResult::here(self.clone(), made, bytes))))
            }
            Some(Reply::Peer(requester)) => {
                self.forget_piece(&requester);
                self.tell_load(&requester.link);
                let end = peers::PieceEnd::Made(made);
                requester.link.send(Message::Ended(requester.id, end));
            }
            None => self.give_up(&handle),
        }
    }

    /// Tells a requester what this queue has to do, now and then.
    fn tell_load(&self, link: &Rc<Link>) {
        let Some(cx) = self.cx.upgrade() else {
            return;
        };
        let now = cx.clock.now();
        let mut told = self.load_told.borrow_mut();
        let last = told.entry(link.peer.id).or_insert(0);
        if now < *last + TELL_LOAD_MS {
            return;
        }
        *last = now;
        link.send(Message::Load {
            queue: self.name.clone(),
            load: self.queue.borrow().load(now),
        });
    }

    /// A call got no answer: its results may lie at the worker until that drops
    /// them by itself.
    pub(super) fn keep_unknown(&self, started: &StartedCall) {
        let now = self.cx.upgrade().map_or(0, |cx| cx.clock.now());
        let bytes = started.pieces.iter().map(|piece| piece.result_bytes).sum();
        let result = Kept {
            worker: started.worker,
            bytes,
            until: now + self.kept_ms.get(),
            at_peer: None,
        };
        // No handle is known; the call's own key never is one.
        let name = format!("unanswered/{:?}", started.call);
        self.results.borrow_mut().insert(name, result);
    }

    /// The queue has another owner now: what isn't begun goes there, and what is
    /// known of the workers. Calls under way end here.
    pub fn hand_over(&self, to: &Rc<Link>) {
        let waiting = self.queue.borrow_mut().take_waiting();
        if waiting.is_empty() && self.queue.borrow().running() == 0 {
            return;
        }
        to.send(Message::TakeOver {
            queue: self.name.clone(),
            workers: self.workers_at_hand_over(),
        });
        for piece in waiting {
            let job = self.queue.borrow_mut().finish(piece);
            match job.map(|job| job.reply) {
                // A requester that left needs no answer.
                Some(Reply::Here(tx)) => drop(tx.send(LocalEnd::Moved)),
                Some(Reply::Peer(requester)) => {
                    self.forget_piece(&requester);
                    let moved = Message::Ended(requester.id, peers::PieceEnd::Moved);
                    requester.link.send(moved);
                }
                None => {}
            }
        }
    }

    fn workers_at_hand_over(&self) -> Vec<WorkerAtHandOver> {
        let now = self.cx.upgrade().map_or(0, |cx| cx.clock.now());
        let queue = self.queue.borrow();
        let workers = self.workers.borrow();
        let states = workers.by_incarnation.iter().map(|(target, key)| {
            let (held_bytes, busy_ms) = queue.worker_state(*key, now);
            WorkerAtHandOver {
                target: target.clone(),
                held_bytes,
                busy_ms,
            }
        });
        states.collect()
    }

    /// The queue passed to this entry: its workers have calls and results that
    /// this entry knows nothing else of.
    pub fn take_over(self: &Rc<Self>, workers: &[WorkerAtHandOver]) {
        let now = self.cx.upgrade().map_or(0, |cx| cx.clock.now());
        for state in workers {
            let key = self
                .workers
                .borrow()
                .by_incarnation
                .get(&state.target)
                .copied();
            let Some(worker) = key else { continue };
            let busy_until = now + state.busy_ms;
            self.queue
                .borrow_mut()
                .take_over(worker, state.held_bytes, busy_until);
            let name = format!("taken over/{}/{now}", state.target.0);
            let result = Kept {
                worker,
                bytes: state.held_bytes,
                until: now + FOREIGN_RESULT_MS,
                at_peer: None,
            };
            self.results.borrow_mut().insert(name, result);
        }
        self.pump_soon();
    }

    fn forget_piece(&self, requester: &Requester) {
        let at = (requester.link.peer.id, requester.id);
        self.of_peers.borrow_mut().remove(&at);
    }

    /// A result is needed no longer.
    pub fn give_up(self: &Rc<Self>, handle: &str) {
        let Some(result) = self.results.borrow_mut().remove(handle) else {
            return;
        };
        self.queue.borrow_mut().free(result.worker, result.bytes);
        self.free_soon(result.worker, handle);
    }

    /// The same for a result that another owner of this queue may have had
    /// made.
    pub fn free(self: &Rc<Self>, target: &Incarnation, handle: &str) {
        if self.results.borrow().contains_key(handle) {
            return self.give_up(handle);
        }
        let worker = self.workers.borrow().by_incarnation.get(target).copied();
        if let Some(worker) = worker {
            self.free_soon(worker, handle);
        }
    }

    fn free_soon(self: &Rc<Self>, worker: WorkerKey, handle: &str) {
        let mut spent = self.spent.borrow_mut();
        spent.entry(worker).or_default().push(handle.to_string());
        if self.is_freeing.replace(true) {
            return;
        }
        let batcher = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(FREE_AFTER).await;
            batcher.is_freeing.set(false);
            batcher.free_spent();
        });
    }

    fn free_spent(self: &Rc<Self>) {
        let spent = std::mem::take(&mut *self.spent.borrow_mut());
        for (worker, handles) in spent {
            let target = self.workers.borrow().targets.get(worker).cloned();
            if let Some(target) = target {
                actix_rt::spawn(call::free(target, handles));
            }
        }
        self.pump();
    }
}
