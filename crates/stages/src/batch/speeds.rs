//! Speed of the workers of a queue, and the work that a slow one gets.
//!
//! The speeds come from answers and from the workers' own reports, and are used once any worker
//! has reported one. A slow worker then gets the groups whose due time allows its longer call.
//! It gets other groups only if no faster worker is expected to end them sooner. Faster workers
//! choose first, so it gets what they leave.

use super::waiting::Cohort;
use super::{eligible, BatchQueue, HallKey, PieceKey, WorkerKey};
use crate::Millis;

/// Slowness from which a worker's groups are checked against their due times; below it the
/// difference is within the usual variation of calls.
const CHECKED_SLOWNESS: f64 = 1.25;

/// What limits the groups of a slow worker's next call.
#[derive(Debug)]
pub(super) struct SlowWorkerLimits {
    now: f64,
    slowness: f64,
    faster: Vec<FasterWorker>,
}

/// A worker that is faster than a slow one.
#[derive(Debug, Clone, Copy)]
struct FasterWorker {
    hall: HallKey,
    free_memory: u64,
    /// Time at which it is expected to be free for a call.
    free_at: f64,
    slowness: f64,
}

impl<T> BatchQueue<T> {
    /// Sets the speed that a worker reported at `received_at`: `percent` is 100 where its work
    /// takes as long as usual.
    pub fn set_reported_speed(&mut self, worker: WorkerKey, percent: u32, received_at: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.speed.record_report(percent, received_at);
            self.has_speeds = true;
        }
    }

    /// Ratio of expected to usual call time of a worker.
    pub(super) fn slowness(&self, worker: WorkerKey, now: Millis) -> f64 {
        let state = &self.workers[worker];
        match self.has_speeds {
            true => state.speed.slowness(now),
            false => state.slowness,
        }
    }

    /// The same for the expected duration of calls: 1 while no worker has reported its speed.
    pub(super) fn known_slowness(&self, worker: WorkerKey, now: Millis) -> f64 {
        match self.has_speeds {
            true => self.slowness(worker, now),
            false => 1.0,
        }
    }

    /// Limits on the groups of a slow worker's next call; `None` for other workers.
    pub(super) fn slow_worker_limits(
        &self,
        worker: WorkerKey,
        now: Millis,
    ) -> Option<SlowWorkerLimits> {
        let slowness = self.known_slowness(worker, now);
        if slowness < CHECKED_SLOWNESS {
            return None;
        }
        let others = self.workers.iter();
        let others = others.filter(|(key, other)| *key != worker && !other.draining);
        let faster = others.filter(|(key, _)| self.slowness(*key, now) < slowness);
        Some(SlowWorkerLimits {
            now: now as f64,
            slowness,
            faster: faster
                .map(|(key, other)| FasterWorker {
                    hall: other.hall,
                    free_memory: self.free_memory(key, now),
                    free_at: self.free_at(key, now) as f64,
                    slowness: self.slowness(key, now),
                })
                .collect(),
        })
    }

    /// Time at which a worker is expected to be free for a call. A call that is late is expected
    /// to take as long again as it is late, so that a worker that hangs doesn't seem free.
    fn free_at(&self, worker: WorkerKey, now: Millis) -> Millis {
        let state = &self.workers[worker];
        let opens_at = state.next_call_at(now, self.limit_share).max(now);
        if state.calls < self.rules.running {
            return opens_at;
        }
        let calls = self.calls.values().filter(|call| call.worker == worker);
        let ends = calls.map(|call| call.started + call.expected_ms as Millis);
        let end = ends.min().unwrap_or(now);
        opens_at.max(end).max(now + now.saturating_sub(end))
    }

    /// True when a group may be added to a call with the `chosen` pieces: the call is in time
    /// for all of them, or no faster worker is expected to be sooner.
    pub(super) fn is_within(
        &self,
        limits: &SlowWorkerLimits,
        group: &[&Cohort],
        chosen: &[PieceKey],
    ) -> bool {
        let Some(first) = group.first() else {
            return false;
        };
        let pieces = (chosen.len() + eligible::len(group)).min(self.rules.batch);
        let ends = limits.now + self.rules.expected_ms(pieces) * limits.slowness;
        // A piece that is late even at the usual speed doesn't limit the call.
        let usual_end = limits.now + self.rules.expected_ms(1);
        let is_lost = |due: f64| due < usual_end;
        let delays_chosen = |key: &PieceKey| {
            let due = self.pieces[*key].order.due as f64;
            due < ends && !is_lost(due)
        };
        if chosen.iter().any(delays_chosen) {
            return false;
        }
        let due = first.order.due as f64;
        let may_be_late = chosen.is_empty() || is_lost(due);
        due >= ends || (may_be_late && !self.ends_sooner_elsewhere(limits, first, ends))
    }

    /// True when faster workers are expected to complete all waiting pieces before `ends`.
    fn ends_sooner_elsewhere(&self, limits: &SlowWorkerLimits, first: &Cohort, ends: f64) -> bool {
        let (order, anywhere_from) = (&first.order, first.anywhere_from);
        let can_take = |other: &&FasterWorker| {
            order.halls.contains(other.hall) && other.free_memory >= order.result_bytes
        };
        let may_start_at = |other: &FasterWorker| {
            let is_preferred = order.hall.is_none_or(|hall| hall == other.hall);
            let anywhere_from = if is_preferred { 0 } else { anywhere_from };
            other.free_at.max(anywhere_from as f64)
        };
        let faster = limits.faster.iter().filter(can_take);
        let completed =
            faster.map(|other| self.pieces_within(ends - may_start_at(other), other.slowness));
        completed.sum::<usize>() >= self.waiting.len()
    }

    /// Number of pieces that a worker completes in `ms`: whole calls, or part of one.
    fn pieces_within(&self, ms: f64, slowness: f64) -> usize {
        let usual_ms = (ms / slowness).max(0.0);
        let calls = usual_ms / self.rules.expected_ms(self.rules.batch).max(1.0);
        if calls >= 1.0 {
            return calls as usize * self.rules.batch;
        }
        let part = (usual_ms - self.rules.call_ms) / self.rules.piece_ms.max(f64::MIN_POSITIVE);
        (part.max(0.0) as usize).min(self.rules.batch)
    }
}
