//! Workers of one stage service, and the queues before them.
//!
//! A worker takes one call at a time and lets a few wait. Results fill its
//! memory from the start of their call until they are given up; a piece whose
//! result has no room isn't made.

use std::collections::VecDeque;

use hollowsail_stages::{
    BatchQueue, CallEnd, HallKey, PieceKey, PieceOrder, PoolRules, QueueLoad, StartedCall,
    StartedPiece, WorkerKey,
};

use super::model::{DayModel, PoolModel, Trouble, TroubleKind};
use super::policy::{DayPolicy, Queues};

/// Calls that may wait at a worker.
const MOST_WAITING: usize = 2;
/// Time until a call to a worker that is down fails, in milliseconds.
const FAILS_AFTER_MS: u64 = 3;

/// A call at a worker.
#[derive(Debug)]
struct Call {
    queue: usize,
    started: StartedCall,
    /// Pieces whose results have room.
    with_room: Vec<bool>,
    fails: bool,
}

#[derive(Debug, Default)]
struct Worker {
    running: Option<Call>,
    waiting: VecDeque<(usize, StartedCall)>,
    held_bytes: u64,
}

/// A worker started a call that ends then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallBegun {
    pub worker: usize,
    pub ends_at: u64,
}

/// A piece that was made, and where its result lies.
#[derive(Debug)]
pub struct MadePiece<T> {
    pub job: T,
    pub queue: usize,
    pub worker: usize,
    pub bytes: u64,
}

/// The pool.
pub struct Pool<T> {
    /// Position among the day's pools, by which troubles name it.
    at: usize,
    model: PoolModel,
    troubles: Vec<Trouble>,
    queues: Vec<BatchQueue<T>>,
    /// Keys of the workers in each queue.
    keys: Vec<Vec<WorkerKey>>,
    workers: Vec<Worker>,
    /// Work of a piece over the pool's, as its job tells.
    work_of: fn(&T) -> f64,
}

impl<T> Pool<T> {
    /// Idle workers of one of the day's pools, spread over the halls.
    pub fn new(at: usize, day: &DayModel, policy: &DayPolicy, work_of: fn(&T) -> f64) -> Self {
        let model = &day.pools[at];
        let rules = PoolRules {
            running: 1,
            batch: model.batch,
            call_ms: model.call_ms,
            piece_ms: model.piece_ms,
            result_bytes: model.result_bytes,
        };
        let count = match policy.queues {
            Queues::Shared => 1,
            Queues::PerEntry => day.entries,
        };
        let mut queues: Vec<BatchQueue<T>> = (0..count).map(|_| BatchQueue::new(rules)).collect();
        let hall = |worker: usize| HallKey((worker % day.halls) as u16);
        let keys = queues
            .iter_mut()
            .map(|queue| {
                (0..model.workers)
                    .map(|at| queue.add_worker(hall(at)))
                    .collect()
            })
            .collect();
        Pool {
            at,
            model: model.clone(),
            troubles: day.troubles.clone(),
            queues,
            keys,
            workers: (0..model.workers).map(|_| Worker::default()).collect(),
            work_of,
        }
    }

    /// The queue that an entry hands its pieces to.
    pub fn queue_of(&self, entry: usize) -> usize {
        entry % self.queues.len()
    }

    /// A piece waits from now on.
    pub fn push(&mut self, queue: usize, order: PieceOrder, job: T, now: u64) -> PieceKey {
        self.queues[queue].push(order, job, now)
    }

    /// Takes a piece out that nobody waits for.
    pub fn drop_piece(&mut self, queue: usize, piece: PieceKey) {
        self.queues[queue].finish(piece);
    }

    /// What a piece that comes now finds.
    pub fn load(&self, queue: usize, now: u64) -> QueueLoad {
        self.queues[queue].load(now)
    }

    /// A result is given up.
    pub fn free(&mut self, queue: usize, worker: usize, bytes: u64) {
        self.queues[queue].free(self.keys[queue][worker], bytes);
        let held = &mut self.workers[worker].held_bytes;
        *held = held.saturating_sub(bytes);
    }

    /// Makes every call that can be made now.
    pub fn start_calls(&mut self, now: u64) -> Vec<CallBegun> {
        let mut begun = Vec::new();
        for queue in 0..self.queues.len() {
            while let Some(call) = self.queues[queue].next_call(now) {
                let worker = self.worker_of(queue, call.worker);
                let state = &mut self.workers[worker];
                if state.running.is_none() {
                    begun.push(self.begin(worker, queue, call, now));
                } else if state.waiting.len() < MOST_WAITING {
                    state.waiting.push_back((queue, call));
                } else {
                    self.give_back(queue, &call, CallEnd::Refused, now);
                }
            }
        }
        begun
    }

    /// Position of a worker that a queue names by its own key.
    fn worker_of(&self, queue: usize, key: WorkerKey) -> usize {
        let found = self.keys[queue].iter().position(|known| *known == key);
        found.expect("the queue knows its own workers only")
    }

    /// Ends a call at its queue; pieces that it left unmade wait again.
    fn give_back(&mut self, queue: usize, started: &StartedCall, end: CallEnd, now: u64) {
        let queue = &mut self.queues[queue];
        let left = queue.end_call(started.call, end, now);
        left.into_iter().for_each(|piece| queue.requeue(piece));
    }

    /// A worker begins a call.
    fn begin(&mut self, worker: usize, queue: usize, started: StartedCall, now: u64) -> CallBegun {
        let (slow, fails) = self.troubles_of(worker, now);
        let ms = match fails {
            true => FAILS_AFTER_MS,
            false => ((self.model.call_ms + self.work_ms(queue, &started)) * slow) as u64,
        };
        let with_room = match fails {
            true => vec![false; started.pieces.len()],
            false => self.take_room(worker, &started),
        };
        self.workers[worker].running = Some(Call {
            queue,
            started,
            with_room,
            fails,
        });
        CallBegun {
            worker,
            ends_at: now + ms,
        }
    }

    /// Time of a call's pieces, in milliseconds.
    fn work_ms(&self, queue: usize, started: &StartedCall) -> f64 {
        let queue = &self.queues[queue];
        let works = started
            .pieces
            .iter()
            .map(|piece| queue.job(piece.key).map_or(1.0, self.work_of));
        works.map(|work| self.model.piece_ms * work).sum()
    }

    /// Takes memory for the results of a call's pieces; tells which have room.
    fn take_room(&mut self, worker: usize, started: &StartedCall) -> Vec<bool> {
        let held = &mut self.workers[worker].held_bytes;
        let most = self.model.result_bytes;
        let pieces = started.pieces.iter();
        pieces
            .map(|piece| {
                let has_room = *held + piece.result_bytes <= most;
                *held += if has_room { piece.result_bytes } else { 0 };
                has_room
            })
            .collect()
    }

    /// By how much a worker's time is multiplied now, and whether it fails.
    fn troubles_of(&self, worker: usize, now: u64) -> (f64, bool) {
        let mut slow = 1.0;
        let mut fails = false;
        for trouble in self.troubles.iter().filter(|trouble| trouble.is_on(now)) {
            match trouble.kind {
                TroubleKind::Slow {
                    pool,
                    workers,
                    factor,
                } if pool == self.at && worker < workers => slow *= factor,
                TroubleKind::Down { pool, workers } if pool == self.at && worker < workers => {
                    fails = true;
                }
                _ => {}
            }
        }
        (slow, fails)
    }

    /// A worker's call ends: tells what it made. The caller makes further calls
    /// with [`Pool::start_calls`]; one that waited at the worker begins at once.
    pub fn end_call(&mut self, worker: usize, now: u64) -> (Vec<MadePiece<T>>, Option<CallBegun>) {
        let Some(call) = self.workers[worker].running.take() else {
            return (Vec::new(), None);
        };
        let mut made = Vec::new();
        for (piece, has_room) in call.started.pieces.iter().zip(&call.with_room) {
            made.extend(self.end_piece(worker, &call, *piece, *has_room, now));
        }
        let end = match call.fails {
            true => CallEnd::Failed,
            false => CallEnd::Answered,
        };
        self.give_back(call.queue, &call.started, end, now);
        let next = self.workers[worker].waiting.pop_front();
        let begun = next.map(|(queue, call)| self.begin(worker, queue, call, now));
        (made, begun)
    }

    /// Ends one piece of a call; gives it when it was made and is still wanted.
    fn end_piece(
        &mut self,
        worker: usize,
        call: &Call,
        piece: StartedPiece,
        has_room: bool,
        now: u64,
    ) -> Option<MadePiece<T>> {
        let queue = call.queue;
        let key = self.keys[queue][worker];
        if !has_room {
            self.queues[queue].free(key, piece.result_bytes);
            if !call.fails {
                self.queues[queue].no_room(key, now);
            }
            return None;
        }
        match self.queues[queue].finish(piece.key) {
            Some(job) => Some(MadePiece {
                job,
                queue,
                worker,
                bytes: piece.result_bytes,
            }),
            None => {
                self.free(queue, worker, piece.result_bytes);
                None
            }
        }
    }

    /// Looks for calls that last too long, and for pieces whose time is over,
    /// whose jobs it returns.
    pub fn tick(&mut self, now: u64) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            queue.take_overdue(now);
            for piece in queue.expired(now) {
                expired.extend(queue.finish(piece));
            }
        }
        expired
    }
}
