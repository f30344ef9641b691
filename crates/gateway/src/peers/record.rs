//! Record of an entry in the store.

use std::net::SocketAddr;

use hollowsail_platform::settings::HostLimits;
use serde::{Deserialize, Serialize};

/// Key prefix of the records in the store.
pub const PREFIX: &str = "hollowsail/peers/";

/// Identifies one run of an entry's process; random, never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PeerId(pub u64);

/// An entry as other entries see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    pub id: PeerId,
    /// Host name.
    pub host: String,
    /// Address for messages from peers.
    pub addr: SocketAddr,
    /// Data hall.
    pub hall: String,
    /// Capacity of its host in megabits per second; see [`capacity_of`]. Absent in records of
    /// older versions.
    #[serde(default)]
    pub capacity: u32,
}

/// Estimated throughput of one processor core, in megabits per second. A rough estimate is enough:
/// it only distinguishes hosts of very different sizes.
const CORE_MBPS: f64 = 800.0;

/// Throughput of a host for its peers, in megabits per second: the lower of its link's and its
/// processor's.
pub fn capacity_of(host: &HostLimits) -> u32 {
    let processor = host.core_share * f64::from(host.cores) * CORE_MBPS;
    host.link_mbps.min(processor).max(1.0) as u32
}

impl PeerRecord {
    /// Key of the record. It contains the run, so that the record of a previous run expires
    /// with its own lease and is never overwritten.
    pub fn key(&self) -> String {
        self.key_under(PREFIX)
    }

    /// Key of this run under a prefix.
    pub fn key_under(&self, prefix: &str) -> String {
        format!("{prefix}{}-{:016x}", self.host, self.id.0)
    }
}
