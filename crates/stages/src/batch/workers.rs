//! Workers of a queue: availability, free memory for results, and recent performance.
//!
//! A worker that fails or refuses a call backs off for a while, and a slow one gets only
//! occasional calls until it recovers, or, where workers report their speed, the work that it
//! can do in time ([`super::speeds`]). A worker with a rate limit gets calls at that rate;
//! calls that release results count towards it.

use hollowsail_routing::{LimitGate, LimitShare, TargetSpeed};
use serde::{Deserialize, Serialize};

use super::calls::Call;
use super::{BatchQueue, CallEnd, HallKey, WorkerKey};
use crate::reservations::WorkerTotals;
use crate::Millis;

/// Weight of the newest call in the moving average of a worker's slowness.
const NEWEST_CALL_WEIGHT: f64 = 0.4;
/// Slowness from which a worker counts as slow, as a multiple of the median of the other workers. What
/// all have in common isn't theirs: their owner lags, or another one calls them too.
const SLOW_FACTOR: f64 = 2.0;
/// Interval between calls to a slow worker, in milliseconds.
const PROBE_MS: Millis = 800;
/// Backoff after a failed call, in milliseconds; doubles with each consecutive failure.
const FAILURE_BACKOFF_MS: Millis = 300;
/// Maximum number of doublings of [`FAILURE_BACKOFF_MS`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Backoff after a refused call, in milliseconds.
const REFUSED_BACKOFF_MS: Millis = 20;
/// How long a worker whose memory is full gets only small results, in milliseconds; doubles with each
/// further call that finds it full, unless results were released there meanwhile.
const MEMORY_FULL_MS: Millis = 40;
/// Maximum number of doublings of [`MEMORY_FULL_MS`].
const MAX_FULL_DOUBLINGS: u32 = 4;
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

/// Results that an earlier owner of the queue, or nobody any more, knows of. They are released or
/// expire one by one, so they shrink evenly over the time that a worker retains results.
#[derive(Debug, Clone, Copy, Default)]
struct Unaccounted {
    bytes: u64,
    since: Millis,
    /// How long a worker retains a result, in milliseconds.
    retention_ms: Millis,
}

impl Unaccounted {
    fn bytes_at(&self, now: Millis) -> u64 {
        let left_ms = (self.since + self.retention_ms).saturating_sub(now);
        let left = left_ms as f64 / self.retention_ms.max(1) as f64;
        (self.bytes as f64 * left) as u64
    }
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
    /// Size of the smallest result that found its memory full.
    full_for_bytes: u64,
    /// Consecutive calls that found its memory full.
    full_calls: u32,
    /// Memory that it occupies beyond what is accounted for here.
    unaccounted: Unaccounted,
    /// Consecutive failures.
    pub failures: u32,
    /// Gets no new calls; removed when its last call ends.
    pub draining: bool,
    /// Moving average of the ratio of actual to expected call time.
    pub slowness: f64,
    /// Slower than the others.
    is_slow: bool,
    /// The same where workers report their speed, by answers and reports.
    pub speed: TargetSpeed,
    /// Rate limit over all entries together, in calls per second.
    pub limit: Option<f64>,
    gate: LimitGate,
    /// Earliest time of the next releasing call while rate-limited.
    next_release_at: Millis,
    /// A releasing call is pending and takes precedence until this time.
    release_priority_until: Millis,
}

/// Lower median of sorted values, one of which, `own`, is left out; 1 where there is no other.
fn median_without(sorted: &[f64], own: f64) -> f64 {
    let position = sorted.partition_point(|value| *value < own);
    let middle = sorted.len().saturating_sub(2) / 2;
    let index = if middle < position {
        middle
    } else {
        middle + 1
    };
    sorted.get(index).copied().unwrap_or(1.0)
}

impl Worker {
    /// Earliest time of the next call, regardless of calls in progress.
    pub fn next_call_at(&self, now: Millis, share: LimitShare) -> Millis {
        self.gate
            .opens_at(now, self.limit, share)
            .max(self.backoff_until)
    }

    /// Memory that results occupy, in bytes.
    fn occupied_bytes(&self, now: Millis) -> u64 {
        self.retained_bytes + self.unaccounted.bytes_at(now)
    }

    /// Counts a call towards the rate limit.
    pub fn record_call(&mut self, now: Millis, share: LimitShare) {
        self.gate.record_sent(now, self.limit, share);
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
            full_for_bytes: 0,
            full_calls: 0,
            unaccounted: Unaccounted::default(),
            failures: 0,
            draining: false,
            slowness: 1.0,
            is_slow: false,
            speed: TargetSpeed::default(),
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
        self.update_slow_workers();
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

    /// True when a worker accepts work and its last call was answered in time.
    pub(super) fn is_healthy(&self, worker: WorkerKey, now: Millis) -> bool {
        let state = &self.workers[worker];
        let is_slow = match self.has_speeds {
            true => self.slowness(worker, now) >= SLOW_FACTOR,
            false => state.is_slow,
        };
        !state.draining && state.failures == 0 && !is_slow
    }

    /// True when a slow worker gets one group at a time because its speed isn't known.
    pub(super) fn is_probed(&self, worker: WorkerKey) -> bool {
        !self.has_speeds && self.workers[worker].is_slow
    }

    /// Slowness plus used share of memory; the worker with the lowest score goes first.
    pub(super) fn load_score(&self, worker: WorkerKey, now: Millis) -> f64 {
        let occupied = self.workers[worker].occupied_bytes(now) as f64;
        self.slowness(worker, now) + occupied / self.rules.result_bytes.max(1) as f64
    }

    /// Memory of a worker that is still available to results, in bytes.
    pub(super) fn free_memory(&self, worker: WorkerKey, now: Millis) -> u64 {
        let state = &self.workers[worker];
        if now < state.memory_full_until {
            let smaller = state.full_for_bytes.saturating_sub(1);
            return self.small_results_memory().min(smaller);
        }
        self.usable_memory()
            .saturating_sub(state.occupied_bytes(now))
    }

    /// Memory of a worker that is filled with results, in bytes.
    pub(super) fn usable_memory(&self) -> u64 {
        (self.rules.result_bytes as f64 * USABLE_MEMORY_SHARE) as u64
    }

    /// Memory available to small results at a worker whose memory is full, in bytes.
    pub(super) fn small_results_memory(&self) -> u64 {
        (self.rules.result_bytes as f64 * SMALL_RESULTS_SHARE) as u64
    }

    /// Marks the memory of a worker as full for a result, although the accounting here shows free
    /// memory: it retains results of an earlier owner for up to `retention_ms`, or results are larger than
    /// declared.
    pub fn mark_memory_full(
        &mut self,
        worker: WorkerKey,
        result_bytes: u64,
        retention_ms: Millis,
        now: Millis,
    ) {
        let usable = self.usable_memory();
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        worker.unaccounted = Unaccounted {
            bytes: usable.saturating_sub(worker.retained_bytes),
            since: now,
            retention_ms,
        };
        worker.full_for_bytes = worker.full_for_bytes.min(result_bytes);
        // The other pieces of the call say the same.
        if worker.memory_full_until <= now {
            worker.full_for_bytes = result_bytes;
            let doublings = worker.full_calls.min(MAX_FULL_DOUBLINGS);
            worker.memory_full_until = now + (MEMORY_FULL_MS << doublings);
            worker.full_calls += 1;
        }
    }

    /// Records that all pieces of a call got memory at a worker.
    pub fn mark_memory_granted(&mut self, worker: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.full_calls = 0;
        }
    }

    /// Sends a worker no call before `until`.
    pub fn back_off(&mut self, worker: WorkerKey, until: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.backoff_until = worker.backoff_until.max(until);
        }
    }

    /// Records that a worker released results, `bytes` of them in the accounting here.
    pub fn record_released(&mut self, worker: WorkerKey, bytes: u64) {
        self.release_memory(worker, bytes);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.memory_full_until = 0;
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
                let took_ms = (now - call.started) as f64;
                let ratio = took_ms / call.usual_ms.max(1.0);
                worker.speed.record_answer(took_ms, call.usual_ms, now);
                worker.slowness += NEWEST_CALL_WEIGHT * (ratio - worker.slowness);
                worker.failures = 0;
                worker.backoff_until = now;
            }
            CallEnd::Refused => worker.backoff_until = now + REFUSED_BACKOFF_MS,
            CallEnd::Failed => {
                let doublings = worker.failures.min(MAX_BACKOFF_DOUBLINGS);
                worker.backoff_until = now + (FAILURE_BACKOFF_MS << doublings);
                worker.failures += 1;
            }
            CallEnd::LinkLost => {
                if call.overdue {
                    worker.slowness = call.slowness_before;
                }
                worker.backoff_until = now + REFUSED_BACKOFF_MS;
            }
        }
        if worker.draining && worker.calls == 0 {
            self.workers.remove(call.worker);
        }
        self.update_slow_workers();
        let is_in_use = self.workers.contains_key(call.worker);
        if end == CallEnd::Answered && is_in_use && self.is_probed(call.worker) {
            self.back_off(call.worker, now + PROBE_MS);
        }
    }

    /// Compares each worker with the others.
    pub(super) fn update_slow_workers(&mut self) {
        let in_use = self.workers.values().filter(|worker| !worker.draining);
        let mut all: Vec<f64> = in_use.map(|worker| worker.slowness).collect();
        all.sort_unstable_by(f64::total_cmp);
        for worker in self.workers.values_mut() {
            let usual = median_without(&all, worker.slowness).max(1.0);
            worker.is_slow = worker.slowness >= SLOW_FACTOR * usual;
        }
    }

    /// Counts the workers by what keeps them from calls.
    pub(super) fn worker_totals(&self, now: Millis) -> WorkerTotals {
        let mut totals = WorkerTotals::default();
        let bytes = self.mean_result_bytes();
        for (key, worker) in &self.workers {
            totals.all += 1;
            totals.slow += usize::from(worker.is_slow);
            if worker.calls >= self.rules.running {
                totals.busy += 1;
            } else if worker.next_call_at(now, self.limit_share) > now {
                totals.backing_off += 1;
            } else if self.free_memory(key, now) < bytes {
                totals.without_memory += 1;
            }
        }
        totals
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
            retained_bytes: state.occupied_bytes(now),
            busy_ms: ends.max().unwrap_or(0).saturating_sub(now),
            slowness: self.slowness(worker, now),
        })
    }

    /// Heeds the state that a previous owner reports for a worker, however often it does. The memory that
    /// its results occupy shrinks evenly over `retention_ms`. Slowness is carried over, so that a slow
    /// worker doesn't get a whole batch from each new owner.
    pub fn take_over(
        &mut self,
        worker: WorkerKey,
        previous: &WorkerState,
        retention_ms: Millis,
        now: Millis,
    ) {
        if let Some(state) = self.workers.get_mut(worker) {
            let inherited = Unaccounted {
                bytes: previous.retained_bytes,
                since: now,
                retention_ms,
            };
            if inherited.bytes > state.unaccounted.bytes_at(now) {
                state.unaccounted = inherited;
            }
            state.backoff_until = state.backoff_until.max(now + previous.busy_ms);
            state.slowness = state.slowness.max(previous.slowness);
            state.speed.carry_over(previous.slowness, now);
        }
        self.update_slow_workers();
    }
}
