//! Divides the remaining time of a request among its remaining stages.
//!
//! A stage may use all the time that its successors are not expected to need. A request
//! that can't finish even at the fastest recent latencies is rejected at once.

use crate::Millis;

/// Recent latency quantiles of a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageExpectation {
    /// Low quantile.
    pub fast_ms: Millis,
    /// Middle quantile.
    pub typical_ms: Millis,
    /// High quantile.
    pub slow_ms: Millis,
}

impl StageExpectation {
    /// A stage with a constant latency.
    pub const fn fixed(ms: Millis) -> Self {
        StageExpectation {
            fast_ms: ms,
            typical_ms: ms,
            slow_ms: ms,
        }
    }
}

/// Time limits of the current stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StagePlan {
    /// For all attempts of the stage together.
    pub stage_ms: Millis,
    /// For one attempt, if another target can take over.
    pub attempt_ms: Millis,
}

impl StagePlan {
    /// Allows the stage and one attempt all the remaining time.
    pub fn all_of(remaining_ms: Millis) -> Self {
        StagePlan {
            stage_ms: remaining_ms,
            attempt_ms: remaining_ms,
        }
    }
}

/// The remaining stages can't finish in the remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLate {
    /// Least time needed.
    pub needed_ms: Millis,
}

/// Multiple of the slow quantile after which an attempt counts as hung.
const HUNG_FACTOR: Millis = 3;
/// Shortest attempt limit, so that jitter at small quantiles is no failure.
const MIN_ATTEMPT_MS: Millis = 50;

/// Plans the first of `stages` with `remaining_ms` left for all.
///
/// # Errors
///
/// [`TooLate`] if the stages can't finish in time or there are none.
pub fn plan(remaining_ms: Millis, stages: &[StageExpectation]) -> Result<StagePlan, TooLate> {
    let needed_ms = stages.iter().map(|stage| stage.fast_ms).sum();
    let Some((current, rest)) = stages.split_first() else {
        return Err(TooLate { needed_ms: 0 });
    };
    if needed_ms > remaining_ms || remaining_ms == 0 {
        return Err(TooLate { needed_ms });
    }
    let fast_rest: Millis = rest.iter().map(|stage| stage.fast_ms).sum();
    let typical_rest: Millis = rest.iter().map(|stage| stage.typical_ms).sum();
    let reserve = typical_rest
        .min(remaining_ms - current.fast_ms)
        .max(fast_rest);
    let stage_ms = (remaining_ms - reserve).max(current.fast_ms).max(1);
    let attempt_ms = (HUNG_FACTOR * current.slow_ms).max(MIN_ATTEMPT_MS);
    Ok(StagePlan {
        stage_ms,
        attempt_ms: attempt_ms.min(stage_ms),
    })
}
