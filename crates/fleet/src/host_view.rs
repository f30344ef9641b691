//! Which hosts are leaving or gone, according to a host list that may be stale.
//!
//! A host incarnation that is leaving never returns to service, whatever later lists contain.
//! A host missing from the list counts as gone only after several reads, and a list that lost
//! more than half of its hosts at once is rejected.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::wire::MAX_LEAVING_HOSTS;
use crate::Incarnation;

/// Reads of the list from which a host must be missing to count as gone.
const MISSING_READS: u32 = 2;
/// Share of the known hosts that a list must still contain to be accepted.
const MIN_LISTED_SHARE: f64 = 0.5;
/// Leaving hosts remembered; the oldest are dropped first.
const MAX_REMEMBERED: usize = 4096;

/// A host incarnation that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingHost {
    pub name: String,
    pub incarnation: Incarnation,
}

/// One row of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    pub name: String,
    pub incarnation: Incarnation,
    pub leaving: bool,
}

/// This entry's view of the hosts.
#[derive(Debug, Default)]
pub struct HostView {
    /// Incarnation of each host in the last accepted list.
    listed: HashMap<String, Incarnation>,
    /// Reads from which each missing host was absent.
    missing: HashMap<String, u32>,
    leaving: HashSet<LeavingHost>,
    /// Times sent and leaving host, in the order in which they were learned.
    sends: Vec<(u32, LeavingHost)>,
}

impl HostView {
    /// Applies a newly read list. Returns false if it lost too many hosts and was rejected.
    pub fn observe(&mut self, hosts: &[ListedHost]) -> bool {
        let names: HashSet<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        let kept = self
            .listed
            .keys()
            .filter(|name| names.contains(name.as_str()))
            .count();
        if (kept as f64) < self.listed.len() as f64 * MIN_LISTED_SHARE {
            return false;
        }
        self.count_missing(&names);
        for host in hosts {
            self.listed.insert(host.name.clone(), host.incarnation);
            self.missing.remove(&host.name);
            if host.leaving {
                self.learn(LeavingHost {
                    name: host.name.clone(),
                    incarnation: host.incarnation,
                });
            }
        }
        true
    }

    fn count_missing(&mut self, names: &HashSet<&str>) {
        for name in self.listed.keys() {
            if !names.contains(name.as_str()) {
                *self.missing.entry(name.clone()).or_default() += 1;
            }
        }
        let missing = &self.missing;
        self.listed
            .retain(|name, _| missing.get(name).copied().unwrap_or(0) <= MISSING_READS);
    }

    /// Counts another read that returned the same list.
    pub fn reread_unchanged(&mut self) {
        self.missing.values_mut().for_each(|reads| *reads += 1);
    }

    /// True when another read of the same list would change nothing.
    pub fn is_settled(&self) -> bool {
        self.missing.values().all(|reads| *reads >= MISSING_READS)
    }

    /// Records that a host incarnation is leaving. True when it wasn't known before.
    pub fn learn(&mut self, host: LeavingHost) -> bool {
        if !self.leaving.insert(host.clone()) {
            return false;
        }
        self.sends.push((0, host));
        if self.sends.len() > MAX_REMEMBERED {
            let (_, oldest) = self.sends.remove(0);
            self.leaving.remove(&oldest);
        }
        true
    }

    /// Records that the last listed incarnation of a host is leaving, for sources that give
    /// no incarnation. True when it wasn't known before.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let incarnation = self.incarnation(name);
        self.learn(LeavingHost {
            name: name.into(),
            incarnation,
        })
    }

    fn incarnation(&self, name: &str) -> Incarnation {
        self.listed.get(name).copied().unwrap_or(0)
    }

    /// True when a host may get new work.
    pub fn takes_work(&self, name: &str) -> bool {
        let host = LeavingHost {
            name: name.into(),
            incarnation: self.incarnation(name),
        };
        let gone = self.missing.get(name).copied().unwrap_or(0) >= MISSING_READS;
        !gone && !self.leaving.contains(&host)
    }

    /// Every leaving host, for a joining entry.
    pub fn all_leaving(&self) -> Vec<LeavingHost> {
        self.sends.iter().map(|(_, host)| host.clone()).collect()
    }

    /// Leaving hosts for the next message, least often sent first.
    pub fn next_to_send(&mut self) -> Vec<LeavingHost> {
        let mut order: Vec<usize> = (0..self.sends.len()).collect();
        order.sort_by_key(|index| self.sends[*index].0);
        order
            .into_iter()
            .take(MAX_LEAVING_HOSTS)
            .map(|index| {
                let (sends, host) = &mut self.sends[index];
                *sends += 1;
                host.clone()
            })
            .collect()
    }
}
