//! What an entry tells of itself in the store.

use std::net::SocketAddr;

use hollowsail_platform::settings::HostLimits;
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
    /// What its host can move for others, in megabits a second: see
    /// [`capacity_of`]. Absent in records of earlier builds.
    #[serde(default)]
    pub capacity: u32,
}

/// Megabits a second that a whole core is taken to move between peers: an
/// estimate, since only hosts of very unlike sizes are told apart by it.
const CORE_MBPS: f64 = 800.0;

/// What a host can move for others: its link, or what its processor manages.
pub fn capacity_of(host: &HostLimits) -> u32 {
    let processor = host.core_share * f64::from(host.cores) * CORE_MBPS;
    host.link_mbps.min(processor).max(1.0) as u32
}

impl PeerRecord {
    /// Key of the record. It names the run, so that the record of a run before
    /// goes with its own lease and is never written over.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}-{:016x}", self.host, self.id.0)
    }
}
