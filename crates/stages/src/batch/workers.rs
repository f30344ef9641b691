//! The workers of a queue: who is free, how much memory each has left, and how
//! well it did.
//!
//! A worker that fails or is full rests for a while; one that is slow gets a
//! call now and then, to see whether it recovered. One that names a limit gets calls
//! at that rate, those that give results up included.

use hollowsail_routing::{LimitGate, LimitShare};
use serde::{Deserialize, Serialize};

use super::calls::Call;
use super::{BatchQueue, CallEnd, HallKey, WorkerKey};
use crate::Millis;

/// Weight of the newest call in a worker's slowness.
const NEW_WEIGHT: f64 = 0.4;
/// Slowness from which on a worker gets a call only now and then.
const SLOW_FACTOR: f64 = 2.0;
/// Between two calls to a slow worker, in milliseconds, to see whether it
/// recovered.
const PROBE_MS: Millis = 800;
/// How long a worker that failed takes nothing, in milliseconds; doubles with
/// each failure in a row.
const OUT_MS: Millis = 300;
/// Most doublings of [`OUT_MS`].
const MOST_DOUBLINGS: u32 = 4;
/// How long a worker that was full takes nothing, in milliseconds.
const FULL_MS: Millis = 20;
/// How long a worker whose memory is full gets only small results, in
/// milliseconds.
const MEMORY_FULL_MS: Millis = 40;
/// Part of a worker's memory that small results may take meanwhile.
const SMALL_SHARE: f64 = 0.02;
/// Part of a worker's memory that is filled; the rest is for results whose
/// size was told too small.
const MEMORY_SHARE: f64 = 0.95;
/// Of the calls that a limited worker takes, one in so many gives results up: more would
/// leave it no time for work, none would fill its memory.
const CALLS_A_FREE: f64 = 5.0;
/// For how long a call that gives results up, once it is due, keeps work away from a limited
/// worker, in milliseconds: longer than between two tries of its owner's. Work that goes
/// whenever the worker is open would leave it none.
const FREE_GOES_FIRST_MS: Millis = 200;
/// Part of a limited worker's calls that is left for work.
pub(super) const WORK_SHARE: f64 = 1.0 - 1.0 / CALLS_A_FREE;

/// What the next owner of a queue is told of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Memory that results take.
    pub held_bytes: u64,
    /// Time until its call ends, about, in milliseconds; 0 without a call.
    pub busy_ms: Millis,
    /// Recent times of its calls over the expected ones.
    pub slowness: f64,
}

/// What is known of one worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub hall: HallKey,
    pub calls: usize,
    pub held_bytes: u64,
    /// Takes nothing new before this.
    pub out_until: Millis,
    /// It said that its memory is full; only small results go there before
    /// this.
    pub full_until: Millis,
    /// Failures in a row.
    pub failures: u32,
    /// Takes nothing new ever; goes with its last call.
    pub leaving: bool,
    /// Recent times of its calls over the expected ones.
    pub slowness: f64,
    /// Calls a second that it takes from all entries together, while it names that.
    pub limit: Option<f64>,
    gate: LimitGate,
    /// While limited, it gets no call that gives results up before this.
    frees_from: Millis,
    /// Such a call is due, and goes before any other until this.
    free_goes_first_until: Millis,
}

impl Worker {
    /// When it may get a call at the earliest, busy or not.
    pub fn opens(&self, now: Millis, part: LimitShare) -> Millis {
        self.gate.opens(now, self.limit, part).max(self.out_until)
    }

    /// It gets a call.
    pub fn called(&mut self, now: Millis, part: LimitShare) {
        self.gate.sent(now, self.limit, part);
    }

    /// It takes so much longer than it should that waiting for another is
    /// better.
    pub fn is_slow(&self) -> bool {
        self.slowness >= SLOW_FACTOR
    }

    /// It takes work, and its last call was answered in time.
    pub fn does_well(&self) -> bool {
        !self.leaving && self.failures == 0 && !self.is_slow()
    }

    /// One of its calls is overdue.
    pub fn found_slow(&mut self) {
        self.slowness = self.slowness.max(SLOW_FACTOR);
    }
}

impl<T> BatchQueue<T> {
    /// A worker came.
    pub fn add_worker(&mut self, hall: HallKey) -> WorkerKey {
        self.workers.insert(Worker {
            hall,
            calls: 0,
            held_bytes: 0,
            out_until: 0,
            full_until: 0,
            failures: 0,
            leaving: false,
            slowness: 1.0,
            limit: None,
            gate: LimitGate::default(),
            frees_from: 0,
            free_goes_first_until: 0,
        })
    }

    /// A worker names so many calls a second as its limit, or none.
    pub fn set_limit(&mut self, worker: WorkerKey, limit: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.limit = limit;
        }
    }

    /// Uses another part of the workers' limits from now on.
    pub fn set_limit_share(&mut self, part: LimitShare) {
        self.limit_share = part;
    }

    /// True when a worker may get a call now that gives results up, and counts that call.
    /// Where it may not, the owner tries again soon.
    pub fn begin_free(&mut self, worker: WorkerKey, now: Millis) -> bool {
        let part = self.limit_share;
        let Some(state) = self.workers.get_mut(worker) else {
            return true;
        };
        let Some(per_s) = state.limit else {
            return true;
        };
        if now < state.frees_from {
            return false;
        }
        if state.opens(now, part) > now {
            state.free_goes_first_until = now + FREE_GOES_FIRST_MS;
            return false;
        }
        state.free_goes_first_until = 0;
        state.called(now, part);
        let pause_ms = CALLS_A_FREE * 1_000.0 / part.rate(per_s);
        state.frees_from = now + pause_ms as Millis;
        true
    }

    /// A worker leaves: it gets nothing new.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.leaving = true;
            if state.calls == 0 {
                self.workers.remove(worker);
            }
        }
    }

    /// Workers that can start a call now.
    pub(super) fn free_workers(&self, now: Millis) -> Vec<WorkerKey> {
        self.workers
            .iter()
            .filter(|(_, worker)| !worker.leaving && worker.opens(now, self.limit_share) <= now)
            .filter(|(_, worker)| worker.free_goes_first_until <= now)
            .filter(|(_, worker)| worker.calls < self.rules.running)
            .map(|(key, _)| key)
            .collect()
    }

    /// Slowness and filled memory of a worker; the least burdened goes first.
    pub(super) fn burden(&self, worker: WorkerKey) -> f64 {
        let worker = &self.workers[worker];
        worker.slowness + worker.held_bytes as f64 / self.rules.result_bytes.max(1) as f64
    }

    /// Memory of a worker that results may still take, by what is known of it.
    pub(super) fn room(&self, worker: WorkerKey, now: Millis) -> u64 {
        let state = &self.workers[worker];
        let whole = self.rules.result_bytes as f64;
        if now < state.full_until {
            return self.small_room();
        }
        let usable = (whole * MEMORY_SHARE) as u64;
        usable.saturating_sub(state.held_bytes)
    }

    /// What small results may take of a worker's memory that is full.
    pub(super) fn small_room(&self) -> u64 {
        (self.rules.result_bytes as f64 * SMALL_SHARE) as u64
    }

    /// A worker had no memory for a result, though there should have been some:
    /// results differ in size, and freed ones are freed a little later there.
    pub fn no_room(&mut self, worker: WorkerKey, now: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.full_until = now + MEMORY_FULL_MS;
        }
    }

    /// A worker wants no call before a moment.
    pub fn rest(&mut self, worker: WorkerKey, until: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.out_until = worker.out_until.max(until);
        }
    }

    /// Results of so many bytes were given up at a worker.
    pub fn free(&mut self, worker: WorkerKey, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held_bytes = worker.held_bytes.saturating_sub(bytes);
        }
    }

    /// A call ended: says when its worker gets the next one.
    pub(super) fn judge_worker(&mut self, call: &Call, end: CallEnd, now: Millis) {
        let Some(worker) = self.workers.get_mut(call.worker) else {
            return;
        };
        worker.calls -= 1;
        match end {
            CallEnd::Answered => {
                let ratio = (now - call.started) as f64 / call.expected_ms.max(1.0);
                worker.slowness += NEW_WEIGHT * (ratio - worker.slowness);
                worker.failures = 0;
                worker.out_until = if worker.is_slow() {
                    now + PROBE_MS
                } else {
                    now
                };
            }
            CallEnd::Refused => worker.out_until = now + FULL_MS,
            CallEnd::Failed => {
                let doublings = worker.failures.min(MOST_DOUBLINGS);
                worker.out_until = now + (OUT_MS << doublings);
                worker.failures += 1;
            }
        }
        if worker.leaving && worker.calls == 0 {
            self.workers.remove(call.worker);
        }
    }

    /// What is known of a worker, for the queue's next owner.
    pub fn worker_state(&self, worker: WorkerKey, now: Millis) -> Option<WorkerState> {
        let state = self.workers.get(worker)?;
        let ends = self
            .calls
            .values()
            .filter(|call| call.worker == worker)
            .map(|call| call.started + call.expected_ms as Millis);
        Some(WorkerState {
            held_bytes: state.held_bytes,
            busy_ms: ends.max().unwrap_or(0).saturating_sub(now),
            slowness: state.slowness,
        })
    }

    /// Takes over what the owner before knew of a worker. The memory is freed
    /// with [`BatchQueue::free`]. A slow worker stays one: found slow anew by each
    /// owner, it would get a whole batch each time.
    pub fn take_over(&mut self, worker: WorkerKey, known: &WorkerState, now: Millis) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.held_bytes += known.held_bytes;
            state.out_until = state.out_until.max(now + known.busy_ms);
            state.slowness = state.slowness.max(known.slowness);
        }
    }
}
