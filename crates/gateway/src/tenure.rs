//! For how long this entry has been the owner of something, by its own view.
//!
//! Entries may see owners differently for some seconds after one comes, goes or falls
//! silent. Whoever keeps to a limit for all entries uses a part of it meanwhile
//! ([`LimitPart`]).

use std::cell::Cell;
use std::rc::Rc;

use hollowsail_routing::{LimitPart, Millis};

use crate::peers::Owner;
use crate::traffic::Traffic;

/// Since when this entry has been the owner of one thing.
#[derive(Debug, Default)]
pub struct Tenure {
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

impl Tenure {
    /// Looks who the owner of `what` is now. Whoever wants to know of every change looks
    /// whenever the entries change.
    pub fn look(&self, cx: &Rc<Traffic>, what: &str) -> LimitPart {
        if !cx.peers.is_listed() {
            return LimitPart::unlisted();
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
        LimitPart::owned_for(owned_ms)
    }
}
