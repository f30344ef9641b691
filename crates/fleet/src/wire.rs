//! Gossip messages between entries, encoded with `rmp-serde` and sent over HTTP.

use serde::{Deserialize, Serialize};

use crate::host_view::LeavingHost;
use crate::member::Member;

/// Largest number of new member records in one exchange.
pub const MAX_NEW_RECORDS: usize = 16;
/// Member records in one exchange when none is new.
pub const MAX_REPEATED_RECORDS: usize = 2;
/// Largest number of leaving hosts in one exchange.
pub const MAX_LEAVING_HOSTS: usize = 16;

/// One half of an exchange; the reply has the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's own, current record.
    pub from: Member,
    /// The sender has just started and requests every record.
    pub wants_all: bool,
    /// `members` holds all records of the sender.
    pub holds_all: bool,
    /// The records that the sender has sent least often.
    pub members: Vec<Member>,
    pub leaving: Vec<LeavingHost>,
}
