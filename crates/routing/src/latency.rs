//! Quantiles of recent latencies.
//!
//! Two histograms in turn: the current one fills, the one before it still
//! counts, so a quantile covers between one and two windows and old times
//! fall out without a sort or a decay constant.

use hdrhistogram::Histogram;

use crate::Millis;

/// Length of one window.
const WINDOW_MS: Millis = 10_000;
/// Longest latency told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 150_000;
/// Fewest samples a quantile is taken from.
const MIN_SAMPLES: u64 = 10;

/// Latencies of the last one to two windows.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started: Millis,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        LatencyWindow {
            current: new_histogram(),
            previous: new_histogram(),
            started: 0,
        }
    }
}

fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).expect("the bounds are constants")
}

impl LatencyWindow {
    /// Records one latency.
    pub fn record(&mut self, now: Millis, latency_ms: u64) {
        self.turn(now);
        self.current.saturating_record(latency_ms.max(1));
    }

    fn turn(&mut self, now: Millis) {
        let age = now.saturating_sub(self.started);
        if age < WINDOW_MS {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        if age >= 2 * WINDOW_MS {
            self.previous.clear();
        }
        self.started = now;
    }

    /// The latency that `share` (0 to 1) of the samples stay within; `None`
    /// with too few samples.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        let fuller = if self.previous.len() > self.current.len() {
            &self.previous
        } else {
            &self.current
        };
        (fuller.len() >= MIN_SAMPLES).then(|| fuller.value_at_quantile(share))
    }
}
