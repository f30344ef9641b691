//! Messages on parts of prompts, between the entry that gathers a service's evidence and the others.
//!
//! Verdicts on parts are spread like those on requests.

use hollowsail_routing::{Millis, RequestDigest};
use serde::{Deserialize, Serialize};

use crate::batched_calls::Call;

/// Path that accepts [`PartCall`]s; the response has a [`TrialReply`] for each
/// [`PartMessage::BeginTrial`]. Older builds answer 404.
pub const PARTS_PATH: &str = "/hollowsail/prompt-parts";

pub type PartCall = Call<PartMessage>;

/// An answer that broke off, soon after it began, with a crash of its target. Times are ages in
/// milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashedAnswerReport {
    pub service: String,
    /// Identifies the target that ended.
    pub crash: u64,
    pub sent_ms: Millis,
    pub ended_ms: Millis,
    /// Answers that were completed shortly before at targets of the same version.
    pub controls: u32,
    pub parts: Vec<CrashedPartReport>,
}

/// A shared part of the prompt of such an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashedPartReport {
    pub digest: RequestDigest,
    /// Its id as it is logged.
    pub label: String,
    /// Age of its last pass at the reporting entry.
    pub passed_ms: Option<Millis>,
    pub was_suspect: bool,
}

/// A part of the prompts of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServicePart {
    pub service: String,
    pub digest: RequestDigest,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PartMessage {
    /// To the entry that gathers the evidence.
    Crashed(CrashedAnswerReport),
    /// To the same: the part passed this long ago.
    Passed {
        part: ServicePart,
        passed_ms: Millis,
    },
    /// To all others: reply with [`PartMessage::Passed`] if the part passed lately.
    Suspected(ServicePart),
    /// To the entry that gathers the evidence; expects a reply.
    BeginTrial(ServicePart),
    /// The request of a trial has ended.
    EndTrial(ServicePart),
}

/// Whether a request may try a part that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    Granted,
    Refused { for_ms: Millis },
}
