//! State that a stopping process hands over to its successor.
//!
//! Times are relative, so the processes need no common clock: the successor retains each
//! record, and accepts each ticket, for the remaining time.

use serde::{Deserialize, Serialize};

use crate::ledger::{Identity, Slot};
use crate::{Incarnation, Millis};

/// The whole ledger of a stopped process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    pub from: Incarnation,
    /// The process itself, and those it had taken over from.
    pub issuers: Vec<HandedIssuer>,
}

/// Records and refusals of one issuer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedIssuer {
    pub issuer: Incarnation,
    /// Time on the issuer's clock at the hand-over, in milliseconds.
    pub clock: Millis,
    pub records: Vec<HandedRecord>,
    /// Tickets and ids that must stay refused.
    pub refused: Vec<HandedRefusal>,
}

/// A permanent refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRefusal {
    pub slot: Slot,
    /// Milliseconds until it may be evicted.
    pub expires_in: Millis,
}

/// A closed record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRecord {
    pub slot: Slot,
    pub identity: Identity,
    /// Milliseconds until it may be evicted.
    pub expires_in: Millis,
    /// `None` when the answer was dropped or the successor may not hold it.
    #[serde(with = "serde_bytes")]
    pub answer: Option<Vec<u8>>,
}
