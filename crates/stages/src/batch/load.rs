//! Summarises the load of a queue for admission forecasts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::workers::{Worker, WORK_SHARE};
use super::{BatchQueue, WorkerKey};
use crate::Millis;

/// Assumed retention of a result before any was observed, in whole calls: its own call and
/// half of the next stage's.
const DEFAULT_RETENTION_CALLS: f64 = 1.5;
/// Lower bound of the reported slots, for queues without an available worker.
const MIN_SLOTS: f64 = 0.25;

/// Load of a queue, sent to the entries that forecast requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Pieces processed concurrently.
    pub slots: f32,
    /// Pieces in calls.
    pub running: u32,
    /// Waiting pieces that can be in time, by priority.
    pub ahead: Vec<(u8, u32)>,
    /// Duration of a whole batch, in milliseconds.
    pub call_ms: u32,
}

impl QueueLoad {
    /// Number of pieces that go before a new one of this priority.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let before = self.ahead.iter().filter(|(other, _)| *other <= priority);
        self.running + before.map(|(_, pieces)| pieces).sum::<u32>()
    }
}

impl<T> BatchQueue<T> {
    /// The load that a piece pushed now would meet.
    pub fn load(&self, now: Millis) -> QueueLoad {
        let mut ahead: BTreeMap<u8, u32> = BTreeMap::new();
        let mut bytes = 0;
        for cohort in self.waiting.cohorts() {
            bytes += cohort.bytes();
            // A late piece goes behind those that can be in time.
            if cohort.order.due >= now {
                *ahead.entry(cohort.order.priority).or_default() += cohort.len() as u32;
            }
        }
        let average_bytes = bytes / self.waiting.len().max(1) as u64;
        let running: usize = self.calls.values().map(|call| call.pieces.len()).sum();
        QueueLoad {
            slots: self.slots(average_bytes, now),
            running: running as u32,
            ahead: ahead.into_iter().collect(),
            call_ms: self.rules.expected_ms(self.rules.batch) as u32,
        }
    }

    /// Mean retention of results in whole calls, at least one.
    fn retention_calls(&self) -> f64 {
        let whole_call = self.rules.expected_ms(self.rules.batch);
        let observed = self.mean_retention_ms().map(|ms| ms / whole_call.max(1.0));
        observed.unwrap_or(DEFAULT_RETENTION_CALLS).max(1.0)
    }

    /// Mean retention of results since the start of their call, in milliseconds.
    pub(super) fn retention_ms(&self) -> f64 {
        self.retention_calls() * self.rules.expected_ms(self.rules.batch)
    }

    /// Share of time in which a worker can have a call: 1, or less if its rate limit is
    /// lower than its call rate.
    pub(super) fn utilisation(&self, worker: &Worker) -> f64 {
        let call_s = self.rules.expected_ms(self.rules.batch) / 1_000.0;
        let rate = worker.limit.map(|per_s| self.limit_share.rate(per_s));
        rate.map_or(1.0, |per_s| (per_s * WORK_SHARE * call_s).min(1.0))
    }

    /// Pieces that the workers process concurrently: whole batches, reduced for slow or
    /// rate-limited workers, and where results of this size fill the memory first.
    fn slots(&self, result_bytes: u64, now: Millis) -> f32 {
        let is_available =
            |(_, worker): &(WorkerKey, &Worker)| !worker.draining && worker.failures == 0;
        let fitting = self.rules.result_bytes as f64 / result_bytes.max(1) as f64;
        let concurrent = (fitting / self.retention_calls()).min(self.rules.batch as f64);
        let workers = self.workers.iter().filter(is_available);
        let slots: f64 = workers
            .map(|(key, worker)| {
                concurrent / self.slowness(key, now).max(1.0) * self.utilisation(worker)
            })
            .sum();
        slots.max(MIN_SLOTS) as f32
    }
}
