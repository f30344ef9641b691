//! How long a watch pauses between two answers, where each answer has a price.
//!
//! Changes come in a burst when a fleet starts or a store returns, and rarely
//! after that. So pauses are short while what was read is new, and grow with its
//! age: a burst costs each watcher a number of answers that grows with the
//! logarithm of the longest pause, and is known while it matters.

use crate::Millis;

/// Shortest pause, in milliseconds: changes that come together share an answer.
const LEAST_MS: Millis = 150;
/// A pause is the age of what was read, divided by this: each look comes half as
/// late again as the one before.
const AGE_DIVISOR: Millis = 2;

/// Pause of a watch whose keys were read whole `age` ago, in milliseconds; `longest`
/// once nothing new is to be expected.
pub fn watch_pause(age: Millis, longest: Millis) -> Millis {
    (age / AGE_DIVISOR).max(LEAST_MS).min(longest)
}
