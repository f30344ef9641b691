//! How the time that is left is shared among the stages that are left.
//!
//! A stage may use all that its successors are not expected to need. Work that
//! cannot finish even at the speed of the fastest requests is refused before
//! it costs anything.

use crate::Millis;

/// What the time of a stage looked like recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageExpectation {
    /// As fast as it gets: a low quantile.
    pub fast_ms: Millis,
    /// A middling request.
    pub typical_ms: Millis,
    /// Nearly all requests: a high quantile.
    pub slow_ms: Millis,
}

impl StageExpectation {
    /// A stage that always takes about the same.
    pub const fn fixed(ms: Millis) -> Self {
        StageExpectation {
            fast_ms: ms,
            typical_ms: ms,
            slow_ms: ms,
        }
    }
}

/// Bounds for the stage at hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StagePlan {
    /// For all attempts of this stage together.
    pub stage_ms: Millis,
    /// For one attempt, when another target could take over.
    pub attempt_ms: Millis,
}

impl StagePlan {
    /// Everything that is left, for this stage and one attempt.
    pub fn all_of(remaining_ms: Millis) -> Self {
        StagePlan {
            stage_ms: remaining_ms,
            attempt_ms: remaining_ms,
        }
    }
}

/// The remaining stages cannot finish in the remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLate {
    /// Least time that would be needed.
    pub needed_ms: Millis,
}

/// An attempt that takes longer than this multiple of the slow quantile is
/// taken for hung.
const HUNG_FACTOR: Millis = 3;
/// Least time an attempt is given, so noise at small quantiles is no fault.
const MIN_ATTEMPT_MS: Millis = 50;

/// Plans the first of `stages` with `remaining_ms` left for all of them.
pub fn plan(remaining_ms: Millis, stages: &[StageExpectation]) -> Result<StagePlan, TooLate> {
    let needed_ms = stages.iter().map(|stage| stage.fast_ms).sum();
    let Some((this, rest)) = stages.split_first() else {
        return Err(TooLate { needed_ms: 0 });
    };
    if needed_ms > remaining_ms || remaining_ms == 0 {
        return Err(TooLate { needed_ms });
    }
    let fast_rest: Millis = rest.iter().map(|stage| stage.fast_ms).sum();
    let typical_rest: Millis = rest.iter().map(|stage| stage.typical_ms).sum();
    let reserve = typical_rest.min(remaining_ms - this.fast_ms).max(fast_rest);
    let stage_ms = (remaining_ms - reserve).max(this.fast_ms).max(1);
    let attempt_ms = (HUNG_FACTOR * this.slow_ms).max(MIN_ATTEMPT_MS);
    Ok(StagePlan {
        stage_ms,
        attempt_ms: attempt_ms.min(stage_ms),
    })
}
