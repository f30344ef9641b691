//! Makes the pieces of one stage service.
//!
//! Requests hand pieces in with [`Batcher::make`]; the queue of
//! `hollowsail-stages` says which pieces share a call to which target;
//! [`super::call`] makes the call and hands results back. A result is a
//! [`HeldResult`], which gives it up at its maker when dropped.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::deployment::StagePool;
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_platform::targets::Incarnation;
use hollowsail_stages::{BatchQueue, PieceKey, PieceOrder, PoolRules, WorkerKey};
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::call;
use crate::targets::Target;
use crate::traffic::Traffic;

/// Between two looks for pieces and calls whose time is over, while there are
/// any.
const TICK: Duration = Duration::from_millis(25);
/// Results given up within this time share a call.
const FREE_AFTER: Duration = Duration::from_millis(8);

/// What a request gets for a piece.
pub type PieceEnd = Result<HeldResult, PieceFailure>;

/// A piece that waits or is being made.
pub(super) struct Job {
    pub piece: Piece,
    /// Times that it was given back.
    pub failures: u32,
    pub reply: oneshot::Sender<PieceEnd>,
}

/// One stage service.
pub struct Batcher {
    cx: Weak<Traffic>,
    pub(super) service: String,
    pub(super) queue: RefCell<BatchQueue<Job>>,
    workers: RefCell<Workers>,
    /// Handles to give up, by the worker that made them.
    spent: RefCell<HashMap<WorkerKey, Vec<String>>>,
    will_pump: Cell<bool>,
    is_ticking: Cell<bool>,
    is_freeing: Cell<bool>,
}

#[derive(Default)]
struct Workers {
    by_incarnation: HashMap<Incarnation, WorkerKey>,
    targets: SecondaryMap<WorkerKey, Rc<Target>>,
}

/// A result at its maker; given up when dropped.
pub struct HeldResult {
    batcher: Rc<Batcher>,
    worker: WorkerKey,
    pub handle: String,
    bytes: u64,
}

impl Drop for HeldResult {
    fn drop(&mut self) {
        let handle = std::mem::take(&mut self.handle);
        self.batcher.give_up(self.worker, handle, self.bytes);
    }
}

impl HeldResult {
    /// Data hall of its maker.
    pub fn hall(&self) -> Option<String> {
        let workers = self.batcher.workers.borrow();
        workers
            .targets
            .get(self.worker)
            .map(|target| target.record.hall.clone())
    }

    /// About its size.
    pub fn bytes(&self) -> u64 {
        self.bytes
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
    pub fn new(cx: &Rc<Traffic>, service: &str, pool: &StagePool) -> Rc<Self> {
        Rc::new(Batcher {
            cx: Rc::downgrade(cx),
            service: service.to_string(),
            queue: RefCell::new(BatchQueue::new(rules_of(pool))),
            workers: RefCell::default(),
            spent: RefCell::default(),
            will_pump: Cell::new(false),
            is_ticking: Cell::new(false),
            is_freeing: Cell::new(false),
        })
    }

    /// Takes new rules for calls to come.
    pub fn set_rules(&self, pool: &StagePool) {
        self.queue.borrow_mut().set_rules(rules_of(pool));
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
                let key = queue.add_worker();
                workers
                    .by_incarnation
                    .insert(target.incarnation().clone(), key);
                workers.targets.insert(key, target.clone());
            }
        }
        drop((workers, queue));
        self.pump();
    }

    /// Makes a piece. Dropping the future gives the piece up.
    pub async fn make(self: &Rc<Self>, piece: Piece, order: PieceOrder) -> PieceEnd {
        let (reply, result) = oneshot::channel();
        let job = Job {
            piece,
            failures: 0,
            reply,
        };
        let key = self.queue.borrow_mut().push(order, job);
        let _submitted = Submitted {
            batcher: self,
            piece: key,
        };
        self.pump_soon();
        result.await.unwrap_or(Err(PieceFailure::Failed))
    }

    /// About how long a piece handed in now would take, in milliseconds;
    /// `None` when no target is usable.
    pub fn estimate_ms(&self, pieces: usize) -> Option<f64> {
        let now = self.cx.upgrade()?.clock.now();
        let queue = self.queue.borrow();
        let workers = queue.usable_workers(now);
        if workers == 0 {
            return None;
        }
        let rules = queue.rules();
        let ahead = (queue.waiting() + pieces) as f64;
        let rounds = (ahead / (rules.batch * workers) as f64).ceil();
        let busy = queue.running() >= workers * rules.running;
        let until_free = if busy {
            rules.expected_ms(rules.batch) / 2.0
        } else {
            0.0
        };
        Some(until_free + rounds * rules.expected_ms(rules.batch.min(ahead as usize)))
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
        queue.waiting() == 0 && queue.running() == 0
    }

    fn tick(self: &Rc<Self>, cx: &Rc<Traffic>) {
        let now = cx.clock.now();
        let expired = self.queue.borrow().expired(now);
        for piece in expired {
            self.end_piece(piece, Err(PieceFailure::Late));
        }
        let slow = self.queue.borrow_mut().take_overdue(now);
        for worker in slow {
            if let Some(target) = self.workers.borrow().targets.get(worker) {
                let fields = format_args!(
                    "service={} target={} why=call_overdue",
                    self.service, target.record.incarnation.0
                );
                cx.log.line(events::TARGET_EJECTED, fields);
            }
        }
        self.pump();
    }

    /// Ends a piece. A result that nobody waits for is given up.
    pub(super) fn end_piece(&self, piece: PieceKey, end: PieceEnd) {
        let job = self.queue.borrow_mut().finish(piece);
        // Without a taker the result is dropped here, which gives it up.
        if let Some(job) = job {
            drop(job.reply.send(end));
        }
    }

    /// A result that a worker made.
    pub(super) fn held(
        self: &Rc<Self>,
        worker: WorkerKey,
        handle: String,
        bytes: u64,
    ) -> HeldResult {
        HeldResult {
            batcher: self.clone(),
            worker,
            handle,
            bytes,
        }
    }

    fn give_up(self: &Rc<Self>, worker: WorkerKey, handle: String, bytes: u64) {
        self.queue.borrow_mut().free(worker, bytes);
        self.spent
            .borrow_mut()
            .entry(worker)
            .or_default()
            .push(handle);
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
