//! Whether a request came from its caller or from another entry.

/// How a request came to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// Times it was passed on; 0 when it came from its caller.
    pub hops: u8,
}

/// Twice: to a permitted hall, and there to the owner of a ticket or id.
const MAX_HOPS: u8 = 2;

impl Sender {
    pub const CALLER: Sender = Sender { hops: 0 };

    pub fn is_peer(self) -> bool {
        self.hops > 0
    }

    /// True while it may be passed on; the bound keeps views that differ from
    /// making a loop.
    pub fn may_pass_on(self) -> bool {
        self.hops < MAX_HOPS
    }
}
