//! Maps how far an attempt got to what is known of its execution.
//!
//! "Not run" requires proof: no byte was passed to a socket, or the target refused in
//! a way that the configuration declares final. Anything else without a valid answer is
//! unknown. [`stage_status`] and [`outcome_of`] fold the attempts of all stages into the
//! caller's answer.

use serde::{Deserialize, Serialize};

/// How far one attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No target was available.
    NotChosen,
    /// A target was chosen, but the deadline passed before it was dialled.
    NotDialled,
    /// Dialling failed; no byte was passed to a socket.
    NothingSent,
    /// The target refused in a way that is configured to mean "did not run".
    FinalRefusal,
    /// The target refused in another way.
    OtherRefusal,
    /// At least one byte was passed to a socket and no valid answer was received.
    Broken,
    /// A complete answer with the expected dispatch id.
    Answered,
}

/// Execution status of one stage, or of one attempt at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageStatus {
    NotRun,
    Unknown,
    Ran,
}

/// Outcome of a request as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every stage ran and the answer is complete.
    Whole,
    /// No stage ran; the request may safely be repeated.
    NotRun,
    /// A stage ran or may have run, and there is no complete answer.
    Unknown,
}

/// Status that one attempt proves.
pub fn attempt_status(progress: Progress) -> StageStatus {
    match progress {
        Progress::NotChosen
        | Progress::NotDialled
        | Progress::NothingSent
        | Progress::FinalRefusal => StageStatus::NotRun,
        Progress::OtherRefusal | Progress::Broken => StageStatus::Unknown,
        Progress::Answered => StageStatus::Ran,
    }
}

/// Status that all attempts at one stage prove together.
pub fn stage_status(attempts: impl IntoIterator<Item = Progress>) -> StageStatus {
    attempts
        .into_iter()
        .map(attempt_status)
        .max_by_key(|status| precedence(*status))
        .unwrap_or(StageStatus::NotRun)
}

/// Precedence: `Ran`, then `Unknown`, then `NotRun`.
fn precedence(status: StageStatus) -> u8 {
    match status {
        StageStatus::NotRun => 0,
        StageStatus::Unknown => 1,
        StageStatus::Ran => 2,
    }
}

/// True when a retry can't run a non-repeatable stage twice.
pub fn may_retry(progress: Progress, repeatable: bool) -> bool {
    match attempt_status(progress) {
        StageStatus::NotRun => true,
        StageStatus::Unknown => repeatable,
        StageStatus::Ran => false,
    }
}

/// Outcome of a request from its stages; `whole` when the last answer was received
/// completely.
pub fn outcome_of(stages: &[StageStatus], whole: bool) -> Outcome {
    if whole && stages.iter().all(|status| *status == StageStatus::Ran) {
        Outcome::Whole
    } else if stages.iter().all(|status| *status == StageStatus::NotRun) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}
