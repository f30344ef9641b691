//! What a stopping process gives to its successor.
//!
//! Times travel as relative figures, so the two processes need no common
//! clock: the successor keeps each record, and accepts each ticket, for the
//! time that was left when it took over.

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

/// Records of one issuer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedIssuer {
    pub issuer: Incarnation,
    /// The issuer's clock at the moment of the hand-over.
    pub clock: Millis,
    pub records: Vec<HandedRecord>,
    /// What was refused as not run, and must stay so.
    pub refused: Vec<HandedRefusal>,
}

/// One refusal for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRefusal {
    pub slot: Slot,
    /// Milliseconds until it may be forgotten.
    pub expires_in: Millis,
}

/// One closed record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedRecord {
    pub slot: Slot,
    pub identity: Identity,
    /// Milliseconds until it may be forgotten.
    pub expires_in: Millis,
    /// `None` when the answer was dropped or may not be held there.
    #[serde(with = "serde_bytes")]
    pub answer: Option<Vec<u8>>,
}
