//! Randomised, growing pauses between attempts at the store, so that a fleet that lost the
//! store doesn't reconnect in lockstep.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first pause, in milliseconds.
const INITIAL_MS: u64 = 100;
/// Upper bound of every pause, in milliseconds: a fraction of the time within which a
/// configuration must be in force.
const MAX_MS: u64 = 600;
/// The same after failures that another attempt is unlikely to mend.
const MAX_STANDING_MS: u64 = 5_000;
/// Failures after which a pause doesn't grow any more.
const MAX_DOUBLINGS: u32 = 6;

/// Pause that grows with each consecutive failure.
#[derive(Debug)]
pub struct Backoff {
    failures: u32,
    max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            failures: 0,
            max_ms: MAX_MS,
        }
    }
}

impl Backoff {
    /// For failures that another attempt is unlikely to mend: pauses grow to seconds.
    pub fn for_standing_faults() -> Self {
        Backoff {
            failures: 0,
            max_ms: MAX_STANDING_MS,
        }
    }

    /// Resets the pause after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits before the next attempt.
    pub async fn pause(&mut self) {
        let longest = (INITIAL_MS << self.failures.min(MAX_DOUBLINGS)).min(self.max_ms);
        self.failures = self.failures.saturating_add(1);
        let pause = rand::rng().random_range(longest / 2..=longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
