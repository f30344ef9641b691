//! Pauses between the polls of a watch, where each reply has a cost.
//!
//! Changes are frequent while a fleet starts or a store returns, and rare afterwards. Pauses
//! are short while the last full read is recent and grow with its age, so the number of polls
//! after it grows with the logarithm of the longest pause.

use crate::Millis;

/// Shortest pause; changes within it share one reply.
const MIN_PAUSE_MS: Millis = 150;
/// A pause is the age of the last full read divided by this.
const AGE_DIVISOR: Millis = 2;

/// Pause of a watch whose last full read was `age` ago, at most `longest`, in milliseconds.
pub fn watch_pause(age: Millis, longest: Millis) -> Millis {
    (age / AGE_DIVISOR).max(MIN_PAUSE_MS).min(longest)
}
