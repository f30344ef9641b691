//! Decides whether this entry may have missed a newer configuration.
//!
//! Contact with peers is sufficient while the store is down, because no configuration can be
//! accepted without the store. An entry that reaches neither the store nor a peer may be
//! partitioned from entries with a newer configuration, so it refuses new work.

use crate::Millis;

/// Connectivity of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connectivity {
    /// No configuration yet.
    Starting,
    /// Reaches the store or a peer.
    InTouch,
    /// Reaches neither the store nor a peer; refuses new work.
    Isolated,
}

/// Derives the connectivity from the times of contact.
#[derive(Debug, Clone, Copy)]
pub struct ConnectivityRule {
    /// Time without any contact until the entry is isolated.
    pub isolation_ms: Millis,
    /// The settings name neither a store nor seeds.
    pub is_standalone: bool,
}

impl ConnectivityRule {
    /// The connectivity at `now`, given the last contact with the store and with any peer.
    pub fn evaluate(
        &self,
        now: Millis,
        has_configuration: bool,
        last_store: Option<Millis>,
        last_peer: Option<Millis>,
    ) -> Connectivity {
        if !has_configuration {
            return Connectivity::Starting;
        }
        let last = last_store.max(last_peer).unwrap_or(0);
        if self.is_standalone || now.saturating_sub(last) < self.isolation_ms {
            Connectivity::InTouch
        } else {
            Connectivity::Isolated
        }
    }
}
