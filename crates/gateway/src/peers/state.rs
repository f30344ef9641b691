//! Requests to peers for state, used by an entry that cannot reach the store.
//!
//! The request contains the versions that the entry has; the response contains only newer
//! state, also if the responding entry has lost the store itself: two such entries don't confirm
//! what both have, but one may have read the records later. What targets report of themselves in
//! answers is in no record; a second request asks for those that drain.

use hollowsail_fleet::{EvacuatedHalls, Position};
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::RequestDigest;
use serde::{Deserialize, Serialize};

use super::record::PeerRecord;
use crate::rollouts::PlacedOrder;
use crate::view::KnownRecords;

/// Path that accepts a [`StateRequest`] and returns a [`StateResponse`].
pub const STATE_PATH: &str = "/hollowsail/state";

/// Versions of the state that the requesting entry has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// Version of its configuration, if it has one.
    pub configuration: Option<u64>,
    /// Store position of its target records.
    pub records: Position,
    /// Store position of its evacuated halls.
    #[serde(rename = "emptied")]
    pub evacuated: Position,
}

/// State that is newer than the request's versions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateResponse {
    /// The configuration as stored, if newer.
    #[serde(with = "serde_bytes")]
    pub configuration: Option<Vec<u8>>,
    /// Evacuated halls, if newer.
    #[serde(rename = "emptied")]
    pub evacuated: Option<EvacuatedHalls>,
    /// All target records, if newer.
    pub records: Option<RecordsSnapshot>,
    /// Live entries known to the responding entry.
    pub peers: Vec<PeerRecord>,
    /// Refused requests that crash targets, and the remaining time in milliseconds.
    pub refused: Vec<(RequestDigest, u64)>,
    /// Rollout orders.
    pub orders: Vec<PlacedOrder>,
}

/// Path that accepts a [`DrainingRequest`] and returns the incarnations that the entry knows to be
/// draining, at most [`MAX_DRAINING`]. Separate from [`STATE_PATH`], as older builds decode
/// messages of a fixed length only.
pub const DRAINING_PATH: &str = "/hollowsail/draining";

/// Maximum number of draining targets in a response; the latest ones are kept.
pub const MAX_DRAINING: usize = 500;

/// Request for the targets that are known to be draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingRequest {}

/// All target records at a store position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsSnapshot {
    pub at: Position,
    pub records: Vec<PositionedRecord>,
}

/// Path that accepts a [`RecordsRequest`] and returns an `Option` of [`RecordsSnapshot`]: `None`
/// when the entry receives no updates from the store or has nothing newer.
pub const RECORDS_PATH: &str = "/hollowsail/records";

/// Request for all target records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// Store position of the records that the requesting entry has.
    pub after: Position,
}

/// A target record and the store position of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedRecord {
    pub at: Position,
    pub record: TargetRecord,
}

impl From<&KnownRecords> for RecordsSnapshot {
    fn from(known: &KnownRecords) -> Self {
        let records = known.records.iter().map(|(at, record)| PositionedRecord {
            at: *at,
            record: TargetRecord::clone(record),
        });
        RecordsSnapshot {
            at: known.at,
            records: records.collect(),
        }
    }
}
