//! What a queue has to do, for those who judge by it whether a request can be
//! in time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::workers::{Worker, WORK_SHARE};
use super::BatchQueue;
use crate::Millis;

/// Calls for which a result is taken to stay at its worker before any was seen to
/// leave: its own, and half of the next stage's.
const STAY_CALLS: f64 = 1.5;
/// What a queue without a working worker is taken for: far too little.
const LEAST_SLOTS: f64 = 0.25;

/// How much work a queue has, for those who judge requests by it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Pieces made at a time.
    pub slots: f32,
    /// Pieces in calls.
    pub running: u32,
    /// Waiting pieces that can be in time, by priority.
    pub ahead: Vec<(u8, u32)>,
    /// Time of a whole batch, in milliseconds.
    pub call_ms: u32,
}

impl QueueLoad {
    /// Pieces that go before one of a priority.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let before = self.ahead.iter().filter(|(other, _)| *other <= priority);
        self.running + before.map(|(_, pieces)| pieces).sum::<u32>()
    }
}

impl<T> BatchQueue<T> {
    /// What a piece that comes now finds.
    pub fn load(&self, now: Millis) -> QueueLoad {
        let mut ahead: BTreeMap<u8, u32> = BTreeMap::new();
        let mut bytes = 0;
        for (_, key) in &self.waiting {
            let order = &self.pieces[*key].order;
            bytes += order.result_bytes;
            // A late piece goes behind those that can be in time.
            if order.due >= now {
                *ahead.entry(order.priority).or_default() += 1;
            }
        }
        let average_bytes = bytes / self.waiting.len().max(1) as u64;
        let running: usize = self.calls.values().map(|call| call.pieces.len()).sum();
        QueueLoad {
            slots: self.slots(average_bytes),
            running: running as u32,
            ahead: ahead.into_iter().collect(),
            call_ms: self.rules.expected_ms(self.rules.batch) as u32,
        }
    }

    /// How long results stay at their makers, in whole calls; their own call at least.
    fn stay_calls(&self) -> f64 {
        let whole_call = self.rules.expected_ms(self.rules.batch);
        let seen = self.stay_ms().map(|ms| ms / whole_call.max(1.0));
        seen.unwrap_or(STAY_CALLS).max(1.0)
    }

    /// The part of its time in which a worker has a call: all of it, less where its limit
    /// allows fewer calls than it could make.
    fn used_part(&self, worker: &Worker) -> f64 {
        let call_s = self.rules.expected_ms(self.rules.batch) / 1_000.0;
        let rate = worker.limit.map(|per_s| self.limit_share.rate(per_s));
        rate.map_or(1.0, |per_s| (per_s * WORK_SHARE * call_s).min(1.0))
    }

    /// Pieces that the workers make at a time: whole batches, fewer where they
    /// are slow or limited, or where results of so many bytes fill their memory first.
    fn slots(&self, result_bytes: u64) -> f32 {
        let works = |worker: &&Worker| !worker.leaving && worker.failures == 0;
        let fitting = self.rules.result_bytes as f64 / result_bytes.max(1) as f64;
        let at_once = (fitting / self.stay_calls()).min(self.rules.batch as f64);
        let workers = self.workers.values().filter(works);
        let slots: f64 = workers
            .map(|worker| at_once / worker.slowness.max(1.0) * self.used_part(worker))
            .sum();
        slots.max(LEAST_SLOTS) as f32
    }
}
