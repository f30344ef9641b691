//! The one table from how far an attempt got to what may be said of it.
//!
//! "Not run" is said only where it is certain: nothing was handed to a socket,
//! or the target gave a refusal that the configuration declares final. All
//! else that lacks a valid answer is unknown. The caller's answer is folded
//! from the attempts of all stages by [`stage_status`] and [`outcome_of`].

use serde::{Deserialize, Serialize};

/// How far one attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// No target could be chosen.
    NotChosen,
    /// A target was chosen, but its time was over before it was dialled.
    NotDialled,
    /// Dialling failed; no byte was handed to a socket.
    NothingSent,
    /// The target refused in a way declared to mean "did not run".
    FinalRefusal,
    /// The target refused in some other way.
    OtherRefusal,
    /// Some byte was handed to a socket and no valid answer came.
    Broken,
    /// A whole answer with the right dispatch id.
    Answered,
}

/// What is known of one stage, or of one attempt at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageStatus {
    NotRun,
    Unknown,
    Ran,
}

/// What the caller is told of the whole request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every stage ran and the whole answer is here.
    Whole,
    /// No stage ran; the request may safely be made again.
    NotRun,
    /// Some stage ran or may have run, and there is no whole answer.
    Unknown,
}

/// What an attempt proves.
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

/// What all attempts at one stage prove together.
pub fn stage_status(attempts: impl IntoIterator<Item = Progress>) -> StageStatus {
    attempts
        .into_iter()
        .map(attempt_status)
        .max_by_key(|status| certainty(*status))
        .unwrap_or(StageStatus::NotRun)
}

/// `Ran` outweighs `Unknown`, which outweighs `NotRun`.
fn certainty(status: StageStatus) -> u8 {
    match status {
        StageStatus::NotRun => 0,
        StageStatus::Unknown => 1,
        StageStatus::Ran => 2,
    }
}

/// True when another attempt cannot make a stage run twice that must not.
pub fn may_try_again(progress: Progress, repeatable: bool) -> bool {
    match attempt_status(progress) {
        StageStatus::NotRun => true,
        StageStatus::Unknown => repeatable,
        StageStatus::Ran => false,
    }
}

/// What the stages prove of the request; `whole` says that the last answer is
/// here and complete.
pub fn outcome_of(stages: &[StageStatus], whole: bool) -> Outcome {
    if whole && stages.iter().all(|status| *status == StageStatus::Ran) {
        Outcome::Whole
    } else if stages.iter().all(|status| *status == StageStatus::NotRun) {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}
