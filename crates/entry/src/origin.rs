//! Origin of a request: its caller, or another entry that relayed it.

/// Where a request was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Number of times it was relayed; 0 when received from its caller.
    pub hops: u8,
}

/// One hop to a permitted hall, and one to the owner of a ticket or idempotency key.
const MAX_HOPS: u8 = 2;

impl Origin {
    pub const CALLER: Origin = Origin { hops: 0 };

    pub fn is_peer(self) -> bool {
        self.hops > 0
    }

    /// False at the limit of hops, which prevents loops between entries whose views
    /// differ.
    pub fn may_relay(self) -> bool {
        self.hops < MAX_HOPS
    }
}
