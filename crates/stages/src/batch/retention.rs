//! Tracks how long results stay in worker memory after the start of their call.
//!
//! By Little's law, a worker's throughput in result bytes is its memory divided by this
//! time. It depends on the later stages and on the engines, so it is observed.

use super::BatchQueue;
use crate::Millis;

/// Decay of older samples with each result: an exponential average over about 100 results.
const DECAY: f64 = 0.01;

/// Decaying sums over recent results, weighted by size.
#[derive(Debug, Default)]
pub(super) struct Retention {
    bytes: f64,
    byte_ms: f64,
}

impl Retention {
    fn record(&mut self, bytes: u64, ms: Millis) {
        self.bytes += bytes as f64 - self.bytes * DECAY;
        self.byte_ms += bytes as f64 * ms as f64 - self.byte_ms * DECAY;
    }

    fn mean_ms(&self) -> Option<f64> {
        (self.bytes > 0.0).then(|| self.byte_ms / self.bytes)
    }
}

impl<T> BatchQueue<T> {
    /// Records the release of a result `ms` after the start of its call.
    pub fn record_retention(&mut self, bytes: u64, ms: Millis) {
        self.retention.record(bytes, ms);
    }

    /// Mean retention of a result byte since the start of its call, in milliseconds; `None`
    /// before the first release.
    pub fn mean_retention_ms(&self) -> Option<f64> {
        self.retention.mean_ms()
    }
}
