//! The simulated workers of one stage service and the queues in front of them.
//!
//! A worker runs one call at a time and queues a few more. Memory for results is reserved at
//! the start of a call and held until the results are released; a piece whose result does not
//! fit is not completed.

use std::collections::VecDeque;

use hollowsail_stages::{
    BatchQueue, CallEnd, HallKey, PieceKey, PieceOrder, PoolRules, QueueLoad, StartedCall,
    StartedPiece, WorkerKey,
};

use super::model::{DayModel, PoolModel, Trouble, TroubleKind};
use super::policy::{DayPolicy, Queues};

/// Maximum number of calls waiting at a worker.
const MAX_WAITING_CALLS: usize = 2;
/// Time until a call to a failing worker returns, in milliseconds.
const CALL_FAILURE_MS: u64 = 3;
/// How long a worker retains a result that isn't released, in milliseconds.
const RETENTION_MS: u64 = 4_000;

/// A call running at a worker.
#[derive(Debug)]
struct Call {
    queue: usize,
    started: StartedCall,
    /// For each piece, whether memory for its result is reserved.
    has_memory: Vec<bool>,
    fails: bool,
}

#[derive(Debug, Default)]
struct Worker {
    running: Option<Call>,
    waiting: VecDeque<(usize, StartedCall)>,
    reserved_bytes: u64,
}

/// A worker began a call that ends at `ends_at`, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallStart {
    pub worker: usize,
    pub ends_at: u64,
}

/// A completed piece and the location of its result.
#[derive(Debug)]
pub struct CompletedPiece<T> {
    pub job: T,
    pub queue: usize,
    pub worker: usize,
    pub bytes: u64,
}

/// A pool of workers with its queues; `T` is the job of a piece.
pub struct Pool<T> {
    /// Index among the day's pools; troubles refer to it.
    index: usize,
    model: PoolModel,
    troubles: Vec<Trouble>,
    queues: Vec<BatchQueue<T>>,
    /// For each queue, the keys of the workers.
    keys: Vec<Vec<WorkerKey>>,
    workers: Vec<Worker>,
    /// Time of a job's piece as a multiple of the pool's.
    work_of: fn(&T) -> f64,
}

impl<T> Pool<T> {
    /// Creates the pool at `index` of the day, with idle workers spread over the halls.
    pub fn new(index: usize, day: &DayModel, policy: &DayPolicy, work_of: fn(&T) -> f64) -> Self {
        let model = &day.pools[index];
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
                    .map(|worker| queue.add_worker(hall(worker)))
                    .collect()
            })
            .collect();
        Pool {
            index,
            model: model.clone(),
            troubles: day.troubles.clone(),
            queues,
            keys,
            workers: (0..model.workers).map(|_| Worker::default()).collect(),
            work_of,
        }
    }

    /// Index of the queue that takes an entry's pieces.
    pub fn queue_of(&self, entry: usize) -> usize {
        entry % self.queues.len()
    }

    /// Adds a piece to a queue.
    pub fn push(&mut self, queue: usize, order: PieceOrder, job: T, now: u64) -> PieceKey {
        self.queues[queue].push(order, job, now)
    }

    /// Removes a piece that is no longer needed.
    pub fn cancel_piece(&mut self, queue: usize, piece: PieceKey) {
        self.queues[queue].finish(piece);
    }

    /// Load that a new piece meets in a queue.
    pub fn load(&self, queue: usize, now: u64) -> QueueLoad {
        self.queues[queue].load(now)
    }

    /// Releases the memory of a result.
    pub fn release_result(&mut self, queue: usize, worker: usize, bytes: u64) {
        self.queues[queue].record_released(self.keys[queue][worker], bytes);
        let reserved = &mut self.workers[worker].reserved_bytes;
        *reserved = reserved.saturating_sub(bytes);
    }

    /// Starts every call that can start now.
    pub fn start_calls(&mut self, now: u64) -> Vec<CallStart> {
        let mut started_calls = Vec::new();
        for queue in 0..self.queues.len() {
            while let Some(call) = self.queues[queue].next_call(now) {
                let worker = self.worker_index(queue, call.worker);
                let state = &mut self.workers[worker];
                if state.running.is_none() {
                    started_calls.push(self.begin_call(worker, queue, call, now));
                } else if state.waiting.len() < MAX_WAITING_CALLS {
                    state.waiting.push_back((queue, call));
                } else {
                    self.end_at_queue(queue, &call, CallEnd::Refused, now);
                }
            }
        }
        started_calls
    }

    /// Index of a worker, from a queue's key.
    fn worker_index(&self, queue: usize, key: WorkerKey) -> usize {
        let found = self.keys[queue].iter().position(|known| *known == key);
        found.expect("queues return only keys of their own workers")
    }

    /// Ends a call at its queue and requeues its incomplete pieces.
    fn end_at_queue(&mut self, queue: usize, started: &StartedCall, end: CallEnd, now: u64) {
        let queue = &mut self.queues[queue];
        let incomplete = queue.end_call(started.call, end, now);
        incomplete
            .into_iter()
            .for_each(|piece| queue.requeue(piece));
    }

    fn begin_call(
        &mut self,
        worker: usize,
        queue: usize,
        started: StartedCall,
        now: u64,
    ) -> CallStart {
        let (slowdown, fails) = self.trouble_effects(worker, now);
        let ms = match fails {
            true => CALL_FAILURE_MS,
            false => ((self.model.call_ms + self.work_ms(queue, &started)) * slowdown) as u64,
        };
        let has_memory = match fails {
            true => vec![false; started.pieces.len()],
            false => self.reserve_memory(worker, &started),
        };
        self.workers[worker].running = Some(Call {
            queue,
            started,
            has_memory,
            fails,
        });
        CallStart {
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

    /// Reserves memory for a call's results; returns for each piece whether it fits.
    fn reserve_memory(&mut self, worker: usize, started: &StartedCall) -> Vec<bool> {
        let reserved = &mut self.workers[worker].reserved_bytes;
        let capacity = self.model.result_bytes;
        let pieces = started.pieces.iter();
        pieces
            .map(|piece| {
                let has_memory = *reserved + piece.result_bytes <= capacity;
                *reserved += if has_memory { piece.result_bytes } else { 0 };
                has_memory
            })
            .collect()
    }

    /// Multiple of a worker's time, and whether its calls fail, at a time.
    fn trouble_effects(&self, worker: usize, now: u64) -> (f64, bool) {
        let mut slowdown = 1.0;
        let mut fails = false;
        for trouble in self
            .troubles
            .iter()
            .filter(|trouble| trouble.is_active(now))
        {
            match trouble.kind {
                TroubleKind::Slow {
                    pool,
                    workers,
                    factor,
                } if pool == self.index && worker < workers => slowdown *= factor,
                TroubleKind::Down { pool, workers } if pool == self.index && worker < workers => {
                    fails = true;
                }
                _ => {}
            }
        }
        (slowdown, fails)
    }

    /// Ends a worker's call; returns the completed pieces and the call that was waiting at the
    /// worker, which begins at once. The caller starts others with [`Pool::start_calls`].
    pub fn end_call(
        &mut self,
        worker: usize,
        now: u64,
    ) -> (Vec<CompletedPiece<T>>, Option<CallStart>) {
        let Some(call) = self.workers[worker].running.take() else {
            return (Vec::new(), None);
        };
        let mut completed = Vec::new();
        for (piece, has_memory) in call.started.pieces.iter().zip(&call.has_memory) {
            completed.extend(self.end_piece(worker, &call, *piece, *has_memory, now));
        }
        let end = match call.fails {
            true => CallEnd::Failed,
            false => CallEnd::Answered,
        };
        self.end_at_queue(call.queue, &call.started, end, now);
        let waiting = self.workers[worker].waiting.pop_front();
        let next = waiting.map(|(queue, call)| self.begin_call(worker, queue, call, now));
        (completed, next)
    }

    /// Ends one piece of a call; returns it if it was completed and is still needed.
    fn end_piece(
        &mut self,
        worker: usize,
        call: &Call,
        piece: StartedPiece,
        has_memory: bool,
        now: u64,
    ) -> Option<CompletedPiece<T>> {
        let queue = call.queue;
        let key = self.keys[queue][worker];
        if !has_memory {
            self.queues[queue].release_memory(key, piece.result_bytes);
            if !call.fails {
                self.queues[queue].mark_memory_full(key, piece.result_bytes, RETENTION_MS, now);
            }
            return None;
        }
        match self.queues[queue].finish(piece.key) {
            Some(job) => Some(CompletedPiece {
                job,
                queue,
                worker,
                bytes: piece.result_bytes,
            }),
            None => {
                self.release_result(queue, worker, piece.result_bytes);
                None
            }
        }
    }

    /// Handles overdue calls, and removes expired pieces and returns their jobs.
    pub fn tick(&mut self, now: u64) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            queue.take_overdue(now, |_| true);
            for piece in queue.expired(now) {
                expired.extend(queue.finish(piece));
            }
        }
        expired
    }
}
