//! Messages between entries, carried by `rmp-serde` over HTTP.

use serde::{Deserialize, Serialize};

use crate::leaving::LeavingHost;
use crate::member::Member;

/// Member records in one exchange that are still news.
pub const MAX_NEWS: usize = 16;
/// Records in one exchange that are repeated to be sure.
pub const MAX_REPEATED: usize = 2;
/// Leaving hosts in one exchange.
pub const MAX_LEAVING: usize = 16;

/// One half of an exchange; the reply has the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender's own record, always fresh.
    pub from: Member,
    /// The sender has just started and wants every record, once.
    pub wants_all: bool,
    /// `members` are all that the sender knows.
    pub holds_all: bool,
    /// Records that the sender has passed on least often.
    pub members: Vec<Member>,
    pub leaving: Vec<LeavingHost>,
}
