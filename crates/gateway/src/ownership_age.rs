//! Tracks how long this entry has owned a key.
//!
//! Entries may disagree on owners for some seconds after a change of membership. During this
//! time a recent owner uses only a part of limits that hold for all entries ([`LimitShare`]).

use std::cell::Cell;
use std::rc::Rc;

use hollowsail_routing::{LimitShare, Millis};

use crate::peers::Owner;
use crate::traffic::Traffic;

/// Ownership age of one key.
#[derive(Debug, Default)]
pub struct OwnershipAge {
    state: Cell<Ownership>,
}

#[derive(Debug, Clone, Copy, Default)]
enum Ownership {
    /// Not determined yet.
    #[default]
    Undetermined,
    Since(Millis),
    NotOwned,
}

impl OwnershipAge {
    /// The share of limits that this entry may use as the owner of `key`. Has to be called on
    /// each change of the entries, so that no change of the owner is missed. An entry that
    /// still serves a key it no longer owns uses the share of a recent owner.
    pub fn limit_share(&self, cx: &Rc<Traffic>, key: &str) -> LimitShare {
        if !cx.peers.is_listed() {
            return LimitShare::unlisted();
        }
        let now = cx.clock.now();
        let is_owner = matches!(cx.peers.owner_of(cx, key), Owner::Me);
        let state = match self.state.get() {
            _ if !is_owner => Ownership::NotOwned,
            // It has owned the key at least since the last change.
            Ownership::Undetermined => Ownership::Since(cx.peers.ownership_stable_since()),
            Ownership::NotOwned => Ownership::Since(now),
            since => since,
        };
        self.state.set(state);
        let owned_ms = match state {
            Ownership::Since(since) => now.saturating_sub(since),
            Ownership::Undetermined | Ownership::NotOwned => 0,
        };
        LimitShare::owned_for(owned_ms)
    }
}
