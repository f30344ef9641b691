//! Workers of a queue: availability, free memory for results, and recent performance.
//!
//! A worker that fails or refuses a call backs off for a while, and a slow one gets only
//! occasional calls until it recovers. A worker with a rate limit gets calls at that rate;
//! calls that release results count towards it.

use hollowsail_routing::{LimitGate, LimitShare};
use serde::{Deserialize, Serialize};

use super::calls::Call;
use super::{BatchQueue, CallEnd, HallKey, WorkerKey};
use crate::Millis;

/// Weight of the newest call in the moving average of a worker's slowness.
const NEWEST_CALL_WEIGHT: f64 = 0.4;
/// Slowness from which a worker counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Interval between calls to a slow worker, in milliseconds.
const PROBE_MS: Millis = 800;
/// Backoff after a failed call, in milliseconds; doubles with each consecutive failure.
const FAILURE_BACKOFF_MS: Millis = 300;
/// Maximum number of doublings of [`FAILURE_BACKOFF_MS`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Backoff after a refused call, in milliseconds.
const REFUSED_BACKOFF_MS: Millis = 20;
/// How long a worker whose memory is full gets only small results, in milliseconds.
const MEMORY_FULL_MS: Millis = 40;
/// Share of a worker's memory available to small results while the memory is full.
const SMALL_RESULTS_SHARE: f64 = 0.02;
/// Share of a worker's memory that is filled; the rest absorbs results larger than
/// declared.
const USABLE_MEMORY_SHARE: f64 = 0.95;
/// One in this many calls to a rate-limited worker releases results: more would leave little
/// of the limit for work, and without any the worker's memory would fill up.
const CALLS_PER_RELEASE: f64 = 5.0;
/// How long a pending release takes precedence over work at a rate-limited worker, in
/// milliseconds. Must exceed the owner's retry interval, or work would take every open
/// slot.
const RELEASE_PRIORITY_MS: Millis = 200;
/// Share of a rate-limited worker's calls that remains for work.
pub(super) const WORK_SHARE: f64 = 1.0 - 1.0 / CALLS_PER_RELEASE;

/// State of a worker that is handed over to the next owner of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkerState {
    /// Memory occupied by results.
    #[serde(rename = "held_bytes")]
    pub retained_bytes: u64,
    /// Expected time until its call ends, in milliseconds; 0 without a call.
    pub busy_ms: Millis,
    /// Moving average of the ratio of actual to expected call time.
    pub slowness: f64,
}

#[derive(Debug)]
pub(super) struct Worker {
    pub hall: HallKey,
    pub calls: usize,
    pub retained_bytes: u64,
    /// No new call before this time.
    pub backoff_until: Millis,
    /// Only small results before this time, because its memory is full.
    pub memory_full_until: Millis,
    /// Consecutive failures.
    pub failures: u32,
    /// Gets no new calls; removed when its last call ends.
    pub draining: bool,
    /// Moving average of the ratio of actual to expected call time.
    pub slowness: f64,
    /// Rate limit over all entries together, in calls per second.
    pub limit: Option<f64>,
    gate: LimitGate,
    /// Earliest time of the next releasing call while rate-limited.
    next_release_at: Millis,
    /// A releasing call is pending and takes precedence until this time.
    release_priority_until: Millis,
}

impl Worker {
    /// Earliest time of the next call, regardless of calls in progress.
    pub fn next_call_at(&self, now: Millis, share: LimitShare) -> Millis {
        self.gate
            .opens_at(now, self.limit, share)
            .max(self.backoff_until)
    }

    /// Counts a call towards the rate limit.
    pub fn record_call(&mut self, now: Millis, share: LimitShare) {
        self.gate.record_sent(now, self.limit, share);
    }

    pub fn is_slow(&self) -> bool {
        self.slowness >= SLOW_FACTOR
    }

    /// True when it accepts work and its last call was answered in time.
    pub fn is_healthy(&self) -> bool {
        !self.draining && self.failures == 0 && !self.is_slow()
    }

    /// Counts it as slow because one of its calls is overdue.
    pub fn mark_slow(&mut self) {
        self.slowness = self.slowness.max(SLOW_FACTOR);
    }
}

impl<T> BatchQueue<T> {
    pub fn add_worker(&mut self, hall: HallKey) -> WorkerKey {
        self.workers.insert(Worker {
            hall,
            calls: 0,
            retained_bytes: 0,
            backoff_until: 0,
            memory_full_until: 0,
            failures: 0,
            draining: false,
            slowness: 1.0,
            limit: None,
            gate: LimitGate::default(),
            next_release_at: 0,
            release_priority_until: 0,
        })
    }

    /// Sets or clears the rate limit of a worker, in calls per second.
    pub fn set_limit(&mut self, worker: WorkerKey, limit: Option<f64>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.limit = limit;
        }
    }

    /// Sets the share of the workers' rate limits that this queue uses.
    pub fn set_limit_share(&mut self, share: LimitShare) {
        self.limit_share = share;
    }

    /// Returns true, and counts the call, when a call that releases results may be sent to
    /// a worker now. Otherwise the owner tries again shortly.
    pub fn try_start_release(&mut self, worker: WorkerKey, now: Millis) -> bool {
        let share = self.limit_share;
        let Some(state) = self.workers.get_mut(worker) else {
            return true;
        };
        let Some(per_s) = state.limit else {
            return true;
        };
        if now < state.next_release_at {
            return false;
        }
        if state.next_call_at(now, share) > now {
            state.release_priority_until = now + RELEASE_PRIORITY_MS;
            return false;
        }
        state.release_priority_until = 0;
        state.record_call(now, share);
        let interval_ms = CALLS_PER_RELEASE * 1_000.0 / share.rate(per_s);
        state.next_release_at = now + interval_ms as Millis;
        true
    }

    /// Drains a worker: it gets no new calls, and is removed when its calls have ended.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.draining = true;
            if state.calls == 0 {
                self.workers.remove(worker);
            }
        }
    }

    pub(super) fn free_workers(&self, now: Millis) -> Vec<WorkerKey> {
        self.workers
            .iter()
            .filter(|(_, worker)| {
                !worker.draining && worker.next_call_at(now, self.limit_share) <= now
            })
            .filter(|(_, worker)| worker.release_priority_until <= now)
            .filter(|(_, worker)| worker.calls < self.rules.running)
            .map(|(key, _)| key)
            .collect()
    }

    /// Slowness plus used share of memory; the worker with the lowest score goes first.
    pub(super) fn load_score(&self, worker: WorkerKey) -> f64 {
        let worker = &self.workers[worker];
        worker.slowness + worker.retained_bytes as f64 / self.rules.result_bytes.max(1) as f64
    }

    /// Memory of a worker that is still available to results, in bytes.
    pub(super) fn free_memory(&self, worker: WorkerKey, now: Millis) -> u64 {
        let state = &self.workers[worker];
        if now < state.memory_full_until {
            return self.small_results_memory();
        }
        self.usable_memory().saturating_sub(state.retained_bytes)
    }

    /// Memory of a worker that is filled with results, in bytes.
    pub(super) fn usable_memory(&self) -> u64 {
        (self.rules.result_bytes as f64 * USABLE_MEMORY_SHARE) as u64
    }

    /// Memory available to small results at a worker whose memory is full, in bytes.
    pub(super) fn small_results_memory(&self) -> u64 {
        (self.rules.result_bytes as f64 * SMALL_RESULTS_SHARE) as u64
    }

    /// Marks the memory of a worker as full, although the accounting here shows free
    /// memory: results differ from their declared size, and the worker releases them with a
    /// delay.
    pub fn mark_memory_full(&mut self, worker: WorkerKey, now: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.memory_full_until = now + MEMORY_FULL_MS;
        }
    }

    /// Sends a worker no call before `until`.
    pub fn back_off(&mut self, worker: WorkerKey, until: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.backoff_until = worker.backoff_until.max(until);
        }
    }

    /// Releases the memory of results at a worker.
    pub fn release_memory(&mut self, worker: WorkerKey, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.retained_bytes = worker.retained_bytes.saturating_sub(bytes);
        }
    }

    /// Updates a worker's slowness and backoff after a call.
    pub(super) fn record_call_end(&mut self, call: &Call, end: CallEnd, now: Millis) {
        let Some(worker) = self.workers.get_mut(call.worker) else {
            return;
        };
        worker.calls -= 1;
        match end {
            CallEnd::Answered => {
                let ratio = (now - call.started) as f64 / call.expected_ms.max(1.0);
                worker.slowness += NEWEST_CALL_WEIGHT * (ratio - worker.slowness);
                worker.failures = 0;
                worker.backoff_until = if worker.is_slow() {
                    now + PROBE_MS
                } else {
                    now
                };
            }
            CallEnd::Refused => worker.backoff_until = now + REFUSED_BACKOFF_MS,
            CallEnd::Failed => {
                let doublings = worker.failures.min(MAX_BACKOFF_DOUBLINGS);
                worker.backoff_until = now + (FAILURE_BACKOFF_MS << doublings);
                worker.failures += 1;
            }
        }
        if worker.draining && worker.calls == 0 {
            self.workers.remove(call.worker);
        }
    }

    /// State of a worker, for the next owner of the queue.
    pub fn worker_state(&self, worker: WorkerKey, now: Millis) -> Option<WorkerState> {
        let state = self.workers.get(worker)?;
        let ends = self
            .calls
            .values()
            .filter(|call| call.worker == worker)
            .map(|call| call.started + call.expected_ms as Millis);
        Some(WorkerState {
            retained_bytes: state.retained_bytes,
            busy_ms: ends.max().unwrap_or(0).saturating_sub(now),
            slowness: state.slowness,
        })
    }

    /// Adds the state that the previous owner reported for a worker. Its memory is released
    /// with [`BatchQueue::release_memory`]. Slowness is carried over, so that a slow worker doesn't
    /// get a whole batch from each new owner.
    pub fn take_over(&mut self, worker: WorkerKey, previous: &WorkerState, now: Millis) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.retained_bytes += previous.retained_bytes;
            state.backoff_until = state.backoff_until.max(now + previous.busy_ms);
            state.slowness = state.slowness.max(previous.slowness);
        }
    }
}
