//! Types of the reservation interface: requests for capacity and the decisions on them.

use hollowsail_routing::RequestDigest;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::Millis;

new_key_type! {
    /// Capacity reserved for the stages of one request.
    pub struct ReservationKey;
}

/// Requests that share an entitlement: those of one organisation at one urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// 0 is the most urgent.
    pub urgency: u8,
    pub organisation: u64,
}

/// Capacity needed by one stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageRoom {
    pub pieces: u32,
    /// Approximate size of the result of each piece, in bytes.
    pub result_bytes: u64,
    /// Time at which the pieces are expected in the queue.
    pub ready: Millis,
    /// Time by which the results should be available.
    pub due: Millis,
}

/// A request for capacity in one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct RoomRequest {
    pub flow: Flow,
    /// Weight of the organisation within its urgency level.
    pub weight: f64,
    pub digest: RequestDigest,
    /// Longest Retry-After that the caller honours, in milliseconds.
    pub max_return_ms: Millis,
    /// Stages of the request that run in this queue, in the order of their start.
    pub stages: Vec<StageRoom>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomDecision {
    Reserved(ReservationKey),
    Refused(RoomRefusal),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRefusal {
    pub retry_after_ms: Millis,
    pub cause: RefusalCause,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalCause {
    /// The request, or another that is admitted already, would be late.
    Full,
    /// The capacity is expected to go to flows that are more entitled to it.
    OverShare,
    /// A refused caller returned before its Retry-After had passed.
    TooEarly,
}

/// Use of a queue by one flow, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FlowRoom {
    pub flow: Flow,
    /// Waiting pieces of all flows of this urgency; pieces don't carry their organisation.
    pub level_waiting: u32,
    /// Pieces that are reserved and haven't arrived.
    pub reserved: u32,
    /// Pieces asked for, refused ones included, per second.
    pub offered_per_s: f64,
    /// Pieces per second that the flow is entitled to.
    pub entitled_per_s: f64,
    /// Pieces of the average size that the flow may still use of its share; negative when it
    /// has used more.
    pub balance: f64,
}

/// Demand, claims and capacity of a queue at one time, for logs and metrics. Pieces are of the
/// average size.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoomTotals {
    pub flows: usize,
    pub capacity_per_s: f64,
    /// Measured part of the modelled capacity.
    pub calibration: f64,
    /// Pieces of all flows asked for, refused ones included, per second.
    pub offered_per_s: f64,
    pub entitled_per_s: f64,
    /// Pieces that wait.
    pub waiting: f64,
    /// Pieces of admitted requests that haven't arrived.
    pub reserved: f64,
    /// Pieces held for refused callers that are to return.
    pub held: f64,
    /// Refused callers for whom capacity was held and who returned in time, so far.
    pub returned: u64,
    /// Those who didn't, so far.
    pub lapsed: u64,
    /// Pieces that a request beyond the share of its flow leaves to the flows at once.
    pub claimed: f64,
    /// Pieces per second that it leaves them from then on.
    pub claimed_per_s: f64,
    pub workers: WorkerTotals,
}

/// Workers of a queue at one time, and why some get no call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerTotals {
    pub all: usize,
    /// Running a call.
    pub busy: usize,
    /// Idle, without memory for a result of the average size.
    pub without_memory: usize,
    /// Idle, and not to be called yet after a failure, a refusal or a slow call.
    pub backing_off: usize,
    /// Counted as slow, whatever else.
    pub slow: usize,
}

/// Order in which waiting pieces are taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    #[default]
    Priority,
    /// By due time while everything that waits fits, otherwise by priority.
    Deadline,
}
