//! Messages between entries, encoded in MessagePack.
//!
//! Messages are batched in envelopes, one connection for each pair of entries. Fields and
//! variants are encoded by position and by name, so their order and names are fixed.

use std::net::SocketAddr;

use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, RequestDigest};
use hollowsail_stages::{QueueLoad, WorkerState};
use serde::{Deserialize, Serialize};

use super::record::{PeerId, PeerRecord};
use crate::batched_calls::Call;
use crate::rollouts::{PhaseNotice, RolloutReport};

/// Path that accepts an [`Envelope`].
pub const PATH: &str = "/hollowsail/messages";

/// Path that accepts [`TargetReportCall`]s. Separate from [`PATH`], so that an entry of an older
/// build answers 404 and its envelopes stay unchanged.
pub const TARGET_REPORTS_PATH: &str = "/hollowsail/target-reports";

pub type TargetReportCall = Call<TargetReportMessage>;

/// A report of a target that older builds don't know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TargetReportMessage {
    /// How many requests the target can refuse in a second; sent like [`Message::TargetLimit`].
    RefusalLimit {
        target: Incarnation,
        limit: LimitNotice,
        broadcast: bool,
    },
    /// To the owner of a scheduler: the target refused a request that it placed.
    Refused { target: Incarnation },
}

/// A batch of messages from one entry to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct Envelope {
    pub from: PeerRecord,
    /// The run that is addressed; any other run at the address rejects the envelope.
    pub to: PeerId,
    /// The sender's event loop lags, or it has no configuration, so it should own no keys for now.
    #[serde(rename = "is_slow")]
    pub is_lagging: bool,
    pub messages: Vec<Message>,
}

/// Identifies a piece; the number is local to the requester.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PieceId(pub u64);

/// Identifies a placement; the number is local to the requester.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PlacementId(pub u64);

/// Progress of a placed generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementStep {
    /// The first event was received.
    #[serde(rename = "PromptRead")]
    PrefillDone,
    /// The answer is complete.
    #[serde(rename = "Whole")]
    Completed,
    /// It ended without a valid answer because of the engine.
    Failed,
    /// The request was cancelled, or its sender chose another engine.
    #[serde(rename = "Left")]
    Abandoned,
}

/// A scheduler's reply to a placement request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementReply {
    /// The engine to send to.
    #[serde(rename = "There")]
    Placed(Incarnation),
    /// No engine is available; another reply follows within the demand's waiting time.
    #[serde(rename = "Waits")]
    Queued,
    /// No engine becomes available in time; the caller may retry after `retry_after_ms`
    /// milliseconds.
    #[serde(rename = "Full")]
    AtLimit {
        #[serde(rename = "return_ms")]
        retry_after_ms: u64,
    },
    /// No engine may serve it.
    #[serde(rename = "Nowhere")]
    NoCandidate,
}

/// A target's reported limit; times are ages in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Requests per second; `None` when the target reported no limit.
    pub per_s: Option<f64>,
    /// Age of the request whose answer carried the report.
    #[serde(rename = "asked_ms")]
    pub sent_ms: u64,
    /// Age of the answer.
    #[serde(rename = "heard_ms")]
    pub received_ms: u64,
}

/// A message between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// To the owner of a queue: produce a piece.
    #[serde(rename = "Make")]
    ProducePiece(Box<ProducePieceRequest>),
    /// To the owner of a queue: the piece is no longer needed.
    #[serde(rename = "GiveUp")]
    CancelPiece(PieceId),
    /// To the requester: the outcome of its piece.
    #[serde(rename = "Ended")]
    PieceEnded(PieceId, PieceOutcome),
    /// To the new owner of a queue: the known state of its workers.
    TakeOver {
        queue: String,
        workers: Vec<WorkerHandover>,
    },
    /// To the owner of a scheduler: place a generation.
    Place {
        id: PlacementId,
        #[serde(rename = "desk")]
        scheduler: String,
        demand: Box<Demand<Incarnation>>,
    },
    /// To the requester: the reply to its placement request.
    #[serde(rename = "Placed")]
    PlacementReply(PlacementId, PlacementReply),
    /// To the owner of a scheduler: progress of a placed generation.
    PlacementStep(PlacementId, PlacementStep),
    /// To the requester: the load of a queue.
    Load { queue: String, load: QueueLoad },
    /// To the owner of a queue: a result that can be released.
    #[serde(rename = "Free")]
    ReleaseResult(UnneededResult),
    /// A target is draining. Sent to the entry that coordinates broadcasts for the target, or
    /// from it.
    #[serde(rename = "TargetLeaves")]
    TargetDraining {
        target: Incarnation,
        /// The receiver forwards the report to all other entries.
        #[serde(rename = "tell_others")]
        broadcast: bool,
    },
    /// A target's reported limit. Sent to the entry that coordinates broadcasts for the
    /// target, from it, or to the owner of a scheduler.
    TargetLimit {
        target: Incarnation,
        limit: LimitNotice,
        /// The receiver forwards the report to all other entries.
        #[serde(rename = "tell_others")]
        broadcast: bool,
    },
    /// To the entry that counts crashes for a request: a target crashed while running it.
    #[serde(rename = "TargetEnded")]
    TargetCrashed {
        request: RequestDigest,
        run: CrashedRunReport,
    },
    /// To every entry: the verdict on a request that crashed targets.
    #[serde(rename = "Standing")]
    CrashVerdict {
        request: RequestDigest,
        #[serde(rename = "standing")]
        verdict: VerdictNotice,
    },
    /// To the leader of a roll-out: the evidence that this entry has collected.
    RolloutReport(Box<RolloutReport>),
    /// From the leader of a roll-out: the phase in force.
    RolloutPhase(PhaseNotice),
}

/// A run that was interrupted by a crash of its target; times are ages in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRunReport {
    /// Age of the send to the target.
    pub sent_ms: u64,
    /// Age of the interruption.
    pub ended_ms: u64,
    /// The request was already suspected when it was sent.
    pub was_suspect: bool,
}

/// Verdict on a request that crashed targets. Clocks of entries differ, so times are sent as
/// durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VerdictNotice {
    /// It was completed, so it is no longer suspected.
    Unsuspected,
    /// It has to run isolated.
    Suspect,
    /// It is refused for `for_ms` milliseconds.
    Refused { for_ms: u64 },
}

/// Outcome of a piece at its queue's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceOutcome {
    #[serde(rename = "Made")]
    Completed(CompletedPiece),
    /// After [`PieceFailure::NoRoom`] the requester may have it sent again if its own budget of
    /// repeats allows that; the owner's doesn't. Sends of the owner may still arrive.
    Failed(PieceFailure),
    /// Not started; the queue has another owner now. Gives the permit back.
    Moved,
}

/// State of a worker when its queue passes to another owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerHandover {
    pub target: Incarnation,
    pub state: WorkerState,
}

/// A result that is no longer needed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UnneededResult {
    pub queue: String,
    /// The target that produced it.
    pub target: Incarnation,
    pub handle: String,
}

/// A piece with the time that is left for it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PassedPiece {
    request_id: String,
    stage: u16,
    piece: u32,
    /// Time until the request's deadline when the message is made, in milliseconds.
    pub remaining_ms: u64,
    piece_key: Option<String>,
    inputs: Vec<String>,
}

impl PassedPiece {
    pub fn new(piece: &Piece, remaining_ms: u64) -> Self {
        PassedPiece {
            request_id: piece.request_id.clone(),
            stage: piece.stage,
            piece: piece.piece,
            remaining_ms,
            piece_key: piece.piece_key.clone(),
            inputs: piece.inputs.clone(),
        }
    }
}

impl From<PassedPiece> for Piece {
    fn from(passed: PassedPiece) -> Self {
        Piece {
            request_id: passed.request_id,
            stage: passed.stage,
            piece: passed.piece,
            piece_key: passed.piece_key,
            inputs: passed.inputs,
        }
    }
}

/// A piece for the owner of a queue to produce.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProducePieceRequest {
    pub id: PieceId,
    pub queue: String,
    pub piece: PassedPiece,
    /// Digest of the request's content, equal for requests with the same content.
    pub request: RequestDigest,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time until the piece is due, in milliseconds; negative when overdue.
    pub due_in_ms: i64,
    /// Time until the piece is no longer needed, in milliseconds.
    pub expires_in_ms: u64,
    /// Estimated size of its result.
    pub result_bytes: u64,
    /// True if its inputs are large results.
    #[serde(rename = "holds_inputs")]
    pub has_large_inputs: bool,
    /// Data hall that uses the result.
    pub hall: Option<String>,
    /// Data halls in which it may be produced; `None` for all.
    pub halls: Option<Vec<String>>,
}

/// A completed result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedPiece {
    pub handle: String,
    pub target: Incarnation,
    pub addr: SocketAddr,
    /// Data hall of the target.
    pub hall: String,
}
