//! How long results stay in their makers' memory.
//!
//! By Little's law the memory of a worker carries as many bytes of results a second
//! as it has bytes, over the time that each stays there. That time depends on the
//! stages after and on the engines, so it is observed.

use super::BatchQueue;
use crate::Millis;

/// Part of what was observed before that a result takes away: some hundred results
/// count.
const DECAY: f64 = 0.01;

/// Recent results, each weighted by its size.
#[derive(Debug, Default)]
pub(super) struct Stay {
    bytes: f64,
    byte_ms: f64,
}

impl Stay {
    fn record(&mut self, bytes: u64, ms: Millis) {
        self.bytes += bytes as f64 - self.bytes * DECAY;
        self.byte_ms += bytes as f64 * ms as f64 - self.byte_ms * DECAY;
    }

    fn mean_ms(&self) -> Option<f64> {
        (self.bytes > 0.0).then(|| self.byte_ms / self.bytes)
    }
}

impl<T> BatchQueue<T> {
    /// A result was given up so long after its call was made.
    pub fn record_stay(&mut self, bytes: u64, ms: Millis) {
        self.stay.record(bytes, ms);
    }

    /// How long a byte of results stays at its maker, from the start of its call, in
    /// milliseconds; `None` before any was given up.
    pub fn stay_ms(&self) -> Option<f64> {
        self.stay.mean_ms()
    }
}
