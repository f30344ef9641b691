//! Requests to peers for state, used by an entry that cannot reach the store.
//!
//! The request contains the versions that the entry has; the response contains only newer
//! state, also if the responding entry has lost the store itself: two such entries don't confirm
//! what both have, but one may have read the records later. What targets report of themselves in
//! answers is in no record; a second request asks for those that drain.

use hollowsail_fleet::{EvacuatedHalls, Position};
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::{Millis, RequestDigest};
use serde::{Deserialize, Serialize};

use super::record::PeerRecord;
use crate::rollouts::PlacedOrder;
use crate::view::{KnownRecords, RestoredTarget};

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

/// Path that accepts a [`RetiredRequest`] and returns [`RetiredTargets`]. An older build answers 404.
pub const RETIRED_PATH: &str = "/hollowsail/retired";

/// Request for the targets that get no new work whatever their record says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredRequest {}

/// Targets that get no new work whatever their record says.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredTargets {
    /// At most [`MAX_DRAINING`].
    pub draining: Vec<Incarnation>,
    pub restored: Vec<RestoredTarget>,
}

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

/// Path that accepts a [`TargetListRequest`] and returns an `Option` of [`TargetList`]: `None` when
/// the entry has older records, or isn't to answer. An older build answers 404.
pub const TARGETS_PATH: &str = "/hollowsail/targets";

/// Request for all target records, and for what is uncertain about them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetListRequest {
    /// Store position of the records that the requesting entry has.
    pub after: Position,
    /// Only an entry that receives updates from the store is to answer, also if it has the same
    /// records.
    pub must_follow: bool,
}

/// All target records. One that is missing is listed until that is final, so that a receiver which
/// took it for present would never hear of its removal, at an earlier position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    pub snapshot: RecordsSnapshot,
    /// Ids of targets whose record is missing, with the position at which it was found missing.
    pub missing: Vec<(String, Position)>,
    /// Time until that is final, in milliseconds, if it is known.
    pub final_in_ms: Option<u64>,
}

/// A target record and the store position of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PositionedRecord {
    pub at: Position,
    pub record: TargetRecord,
}

impl TargetList {
    /// The list of an older build, which doesn't say which records are missing.
    pub fn without_missing(snapshot: RecordsSnapshot) -> Self {
        TargetList {
            snapshot,
            missing: Vec::new(),
            final_in_ms: None,
        }
    }

    /// The list that this entry knows at `now`.
    pub fn of(known: &KnownRecords, now: Millis) -> Self {
        let final_at = known.missing_final_at;
        TargetList {
            snapshot: known.into(),
            missing: known.missing.to_vec(),
            final_in_ms: final_at.map(|at| at.saturating_sub(now)),
        }
    }
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
