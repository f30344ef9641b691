//! Requests to peers for state, used by an entry that cannot reach the store.
//!
//! The request contains the versions that the entry has; the response contains only newer
//! state. An entry that cannot reach the store itself returns no records, so that two such
//! entries do not confirm each other's stale state.

use hollowsail_fleet::{EmptiedHalls, Position};
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::RequestDigest;
use serde::{Deserialize, Serialize};

use super::record::PeerRecord;
use crate::rollouts::PlacedOrder;
use crate::view::KnownRecords;

/// Path that accepts a [`StateAsk`] and returns a [`StateAnswer`].
pub const STATE_PATH: &str = "/hollowsail/state";

/// Versions of the state that the requesting entry has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAsk {
    /// Version of its configuration, if it has one.
    pub configuration: Option<u64>,
    /// Store position of its target records.
    pub records: Position,
    /// Store position of its evacuated halls.
    pub emptied: Position,
}

/// State that is newer than the request's versions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateAnswer {
    /// The configuration, in the bytes stored in the store.
    #[serde(with = "serde_bytes")]
    pub configuration: Option<Vec<u8>>,
    /// Evacuated halls, if newer.
    pub emptied: Option<EmptiedHalls>,
    /// All target records, if newer and the responding entry receives updates from the store.
    pub records: Option<RecordsAt>,
    /// Live entries known to the responding entry.
    pub peers: Vec<PeerRecord>,
    /// Refused requests that crash targets, and the remaining time in milliseconds.
    pub refused: Vec<(RequestDigest, u64)>,
    /// Rollout orders.
    pub orders: Vec<PlacedOrder>,
}

/// All target records at a store position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAt {
    pub at: Position,
    pub records: Vec<RecordAt>,
}

/// Path that accepts a [`RecordsAsk`] and returns an `Option` of [`RecordsAt`]: `None` when
/// the entry receives no updates from the store or has nothing newer.
pub const RECORDS_PATH: &str = "/hollowsail/records";

/// Request for all target records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAsk {
    /// Store position of the records that the requesting entry has.
    pub after: Position,
}

/// A target record and the store position of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordAt {
    pub at: Position,
    pub record: TargetRecord,
}

impl From<&KnownRecords> for RecordsAt {
    fn from(known: &KnownRecords) -> Self {
        let records = known.records.iter().map(|(at, record)| RecordAt {
            at: *at,
            record: TargetRecord::clone(record),
        });
        RecordsAt {
            at: known.at,
            records: records.collect(),
        }
    }
}
