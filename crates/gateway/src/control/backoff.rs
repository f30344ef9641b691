//! Randomised, growing pauses between attempts at the store, so that a fleet that lost the
//! store doesn't reconnect in lockstep.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first pause, in milliseconds.
const INITIAL_MS: u64 = 100;
/// Upper bound of every pause, in milliseconds: a fraction of the time within which a
/// configuration must be in force.
const MAX_MS: u64 = 600;

/// Pause that grows with each consecutive failure.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the pause after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits before the next attempt.
    pub async fn pause(&mut self) {
        let longest = (INITIAL_MS << self.failures.min(4)).min(MAX_MS);
        self.failures += 1;
        let pause = rand::rng().random_range(longest / 2..=longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
