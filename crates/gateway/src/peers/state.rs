//! What an entry that the store doesn't answer asks its peers for.
//!
//! The question says what the asker has; the answer holds what is newer, and
//! nothing when the answering entry doesn't hear from the store either: two
//! entries that know nothing new must not confirm each other.

use hollowsail_fleet::{EmptiedHalls, Position};
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::RequestDigest;
use serde::{Deserialize, Serialize};

use super::record::PeerRecord;
use crate::rollouts::PlacedOrder;
use crate::view::KnownRecords;

/// Path that takes a [`StateAsk`] and answers with a [`StateAnswer`].
pub const STATE_PATH: &str = "/hollowsail/state";

/// What the asker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAsk {
    /// Version of its configuration, if it has one.
    pub configuration: Option<u64>,
    /// Position of the store up to which it knows the targets' records.
    pub records: Position,
    /// Position of the store up to which it knows the emptied halls.
    pub emptied: Position,
}

/// What is newer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StateAnswer {
    /// The configuration as it lies in the store.
    #[serde(with = "serde_bytes")]
    pub configuration: Option<Vec<u8>>,
    /// The emptied halls, if the answering entry knows more.
    pub emptied: Option<EmptiedHalls>,
    /// All targets, if the answering entry hears from the store and knows more.
    pub records: Option<RecordsAt>,
    /// Live entries as the answering one knows them.
    pub peers: Vec<PeerRecord>,
    /// Requests that are refused since they end targets, and for how much longer, in
    /// milliseconds.
    pub refused: Vec<(RequestDigest, u64)>,
    /// Orders to roll versions out.
    pub orders: Vec<PlacedOrder>,
}

/// All targets' records as of a position of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAt {
    pub at: Position,
    pub records: Vec<RecordAt>,
}

/// Path that takes a [`RecordsAsk`] and answers with an `Option` of [`RecordsAt`]: `None`
/// from an entry that doesn't hear from the store, or has nothing newer.
pub const RECORDS_PATH: &str = "/hollowsail/records";

/// An entry asks for all targets' records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsAsk {
    /// Position of the store up to which it knows them.
    pub after: Position,
}

/// A target's record, and the position of its last change.
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
