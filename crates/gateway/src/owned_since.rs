//! For how long this entry has been the owner of something, by its own view.
//!
//! Entries may see owners differently for some seconds after one comes, goes or falls
//! silent. Whoever keeps to a limit for all entries uses a part of it meanwhile
//! ([`LimitShare`]).

use std::cell::Cell;
use std::rc::Rc;

use hollowsail_routing::{LimitShare, Millis};

use crate::peers::Owner;
use crate::traffic::Traffic;

/// Since when this entry has been the owner of one thing.
#[derive(Debug, Default)]
pub struct OwnedSince {
    known: Cell<Known>,
}

#[derive(Debug, Clone, Copy, Default)]
enum Known {
    /// Nobody looked yet.
    #[default]
    Nothing,
    Since(Millis),
    NotMine,
}

impl OwnedSince {
    /// Which share of limits this entry uses as far as it owns `what`, by who owns that now.
    /// Called whenever the entries change, so that no change of the owner is missed. An
    /// entry that still serves what it doesn't own any more uses the share of a new owner.
    pub fn limit_share(&self, cx: &Rc<Traffic>, what: &str) -> LimitShare {
        if !cx.peers.is_listed() {
            return LimitShare::unlisted();
        }
        let now = cx.clock.now();
        let is_mine = matches!(cx.peers.owner_of(cx, what), Owner::Me);
        let known = match self.known.get() {
            _ if !is_mine => Known::NotMine,
            // It has been this entry since the entries last changed, if not longer.
            Known::Nothing => Known::Since(cx.peers.unchanged_since()),
            Known::NotMine => Known::Since(now),
            since => since,
        };
        self.known.set(known);
        let owned_ms = match known {
            Known::Since(since) => now.saturating_sub(since),
            Known::Nothing | Known::NotMine => 0,
        };
        LimitShare::owned_for(owned_ms)
    }
}
