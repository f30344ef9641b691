//! Quantiles of recent latencies.
//!
//! Two histograms rotate: while the current one fills, the previous one still counts.
//! Old samples expire with their window, without sorting or decay.

use hdrhistogram::Histogram;

use crate::Millis;

const WINDOW_MS: Millis = 10_000;
/// Longest recorded latency; longer ones are clamped.
const MAX_LATENCY_MS: u64 = 150_000;
/// Fewest samples for a quantile.
const MIN_SAMPLES: u64 = 10;

/// Latencies of the last two windows.
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

#[expect(clippy::expect_used, reason = "constant bounds are valid")]
fn new_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).expect("constant histogram bounds are valid")
}

impl LatencyWindow {
    pub fn record(&mut self, now: Millis, latency_ms: u64) {
        self.rotate(now);
        self.current.saturating_record(latency_ms.max(1));
    }

    fn rotate(&mut self, now: Millis) {
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

    /// What nearly all requests took, in milliseconds; the longest of them where there are few. `None`
    /// without samples.
    pub fn usual(&self) -> Option<u64> {
        let longest = self.current.max().max(self.previous.max());
        let has_samples = !self.current.is_empty() || !self.previous.is_empty();
        self.quantile(0.99).or(has_samples.then_some(longest))
    }

    /// Latency in milliseconds at quantile `share` (0 to 1), from the fuller
    /// window; `None` with too few samples.
    pub fn quantile(&self, share: f64) -> Option<u64> {
        let fuller = if self.previous.len() > self.current.len() {
            &self.previous
        } else {
            &self.current
        };
        (fuller.len() >= MIN_SAMPLES).then(|| fuller.value_at_quantile(share))
    }
}
