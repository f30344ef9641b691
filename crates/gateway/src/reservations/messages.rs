//! Messages of the reservation protocol, in MessagePack.
//!
//! They have their own path, so that an entry of a build without reservations answers 404 and
//! its envelopes stay unchanged.

use hollowsail_routing::RequestDigest;
use hollowsail_stages::RefusalCause;
use serde::{Deserialize, Serialize};

use crate::batched_calls::{BatchedCalls, Call};

/// Path that accepts a [`ReservationCall`] and returns one [`ReservationReply`] for each
/// [`Reserve`], in the same order.
pub const RESERVATIONS_PATH: &str = "/hollowsail/reservations";

/// Requests of one entry to the owner of their queues.
pub type ReservationCall = Call<ReservationMessage>;

/// Sends reservations to one run of one peer.
pub type ReservationCalls = BatchedCalls<ReservationMessage, ReservationReply>;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReservationMessage {
    Reserve(Reserve),
    Cancel { queue: String, request_id: String },
}

/// Asks for capacity for all stages of one request that run in one queue.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reserve {
    pub queue: String,
    pub request_id: String,
    /// Equal when the caller returns with the same request.
    pub digest: RequestDigest,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Stable hash of the organisation's name.
    pub organisation: u64,
    pub weight: f64,
    /// Longest Retry-After that the caller honours.
    pub max_return_ms: u64,
    pub stages: Vec<StageReservation>,
}

/// One stage of a [`Reserve`]; times are relative because entries share no clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageReservation {
    /// Index of the stage in its route.
    pub stage: u16,
    pub pieces: u32,
    /// Approximate size of the result of each piece.
    pub result_bytes: u64,
    /// Expected time until the pieces arrive.
    pub ready_in_ms: u64,
    /// Time until the results are needed.
    pub due_in_ms: u64,
}

/// Answer to a [`Reserve`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReservationReply {
    Reserved,
    Refused(RoomRefused),
    /// Another entry owns the queue.
    NotOwner,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRefused {
    pub retry_after_ms: u64,
    pub cause: RefusalCause,
}

/// Label of a cause in logs and metrics.
pub fn cause_label(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::Full => "full",
        RefusalCause::OverShare => "over_share",
        RefusalCause::TooEarly => "too_early",
    }
}
