//! What an entry tells of itself in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Prefix of the records' keys in the store.
pub const PREFIX: &str = "hollowsail/peers/";

/// One run of one entry; random, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerId(pub u64);

/// One entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    pub id: PeerId,
    /// Name of its host.
    pub host: String,
    /// Where it takes peers' messages.
    pub addr: SocketAddr,
    /// Its data hall.
    pub hall: String,
}

impl PeerRecord {
    /// Key of the record. It names the run, so that the record of a run before
    /// goes with its own lease and is never written over.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}-{:016x}", self.host, self.id.0)
    }
}
