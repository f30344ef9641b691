//! Which requests an entry that stops may still send to targets.

use std::time::Duration;

/// What is known of the time that a request takes at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// Time until nobody waits for the answer any more.
    pub until_deadline: Duration,
    /// What nearly all recent requests of the service took; `None` if there were none.
    pub usual: Option<Duration>,
    /// The time in which operators want it answered.
    pub target_latency: Duration,
    pub is_repeatable: bool,
}

/// True if a request is expected to end within the time that is `left`. Where nothing is known, one that
/// can't be repeated has to end by its deadline: its caller would lose it.
pub fn ends_in_time(left: Duration, expected: ExpectedTime) -> bool {
    let unknown = match expected.is_repeatable {
        true => expected.target_latency,
        false => expected.until_deadline,
    };
    let needed = expected.usual.unwrap_or(unknown);
    needed.min(expected.until_deadline) <= left
}
