//! Whether this entry can know which configuration is in force.
//!
//! With the store down, peers that answer are enough: an apply needs the
//! store, so nothing newer can have been accepted. With neither store nor any
//! peer for a stated time this entry may be the one that is cut off, while the
//! others run something newer; it then takes no new work.

use crate::Millis;

/// What an entry may do at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No configuration yet.
    Starting,
    /// Reaches the store or some peer.
    InTouch,
    /// Reaches nobody; refuses new work.
    Isolated,
}

/// Inputs of the rule.
#[derive(Debug, Clone, Copy)]
pub struct StandingRule {
    /// Time without any contact until the entry is isolated.
    pub isolation_ms: Millis,
    /// True when settings name neither a store nor seeds: nobody to reach.
    pub alone_by_settings: bool,
}

impl StandingRule {
    /// Judges the standing from the last moments of contact.
    pub fn judge(
        &self,
        now: Millis,
        has_configuration: bool,
        last_store: Option<Millis>,
        last_peer: Option<Millis>,
    ) -> Standing {
        if !has_configuration {
            return Standing::Starting;
        }
        let last = last_store.max(last_peer).unwrap_or(0);
        if self.alone_by_settings || now.saturating_sub(last) < self.isolation_ms {
            Standing::InTouch
        } else {
            Standing::Isolated
        }
    }
}
