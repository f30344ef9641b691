//! Pauses between tries at the store, so that a fleet that lost it doesn't come
//! back in step.

use std::time::Duration;

use rand::Rng;

/// First pause, in milliseconds.
const FIRST_MS: u64 = 100;
/// Longest pause, in milliseconds: a fraction of the time in which a
/// configuration has to be in force.
const LONGEST_MS: u64 = 600;

/// Grows with each failure in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The last try succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Waits before the next try.
    pub async fn pause(&mut self) {
        let longest = (FIRST_MS << self.failures.min(4)).min(LONGEST_MS);
        self.failures += 1;
        let pause = rand::rng().random_range(longest / 2..=longest);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}
