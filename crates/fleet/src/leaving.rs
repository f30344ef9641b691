//! Which hosts are leaving or gone, from a list that lags.
//!
//! "Leaving" is a fact about a host's incarnation and never taken back: it may
//! be learnt from the list, an operator, the target itself or a peer, and a
//! list that lags behind cannot bring the host back. A host that is missing
//! from the list counts as gone only after several reads, and a list that
//! lost more than half of its hosts at once is not believed at all.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::wire::MAX_LEAVING;
use crate::Incarnation;

/// Reads of the list a host must be missing from before it counts as gone.
const MISSING_READS: u32 = 2;
/// Share of hosts that must still be listed for the list to be believed.
const PANIC_SHARE: f64 = 0.5;
/// Leaving hosts remembered; the oldest are dropped first.
const MAX_REMEMBERED: usize = 4096;

/// A host incarnation that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingHost {
    pub name: String,
    pub incarnation: Incarnation,
}

/// One line of a list that was just read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    pub name: String,
    pub incarnation: Incarnation,
    pub leaving: bool,
}

/// What is known of hosts.
#[derive(Debug, Default)]
pub struct HostView {
    /// Incarnation that the list last showed.
    listed: HashMap<String, Incarnation>,
    missing: HashMap<String, u32>,
    leaving: HashSet<LeavingHost>,
    /// In order of learning, with times passed on.
    spread: Vec<(u32, LeavingHost)>,
}

impl HostView {
    /// Takes a fresh list; false when it shrank too much to be believed.
    pub fn observe(&mut self, hosts: &[ListedHost]) -> bool {
        let names: HashSet<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        let kept = self
            .listed
            .keys()
            .filter(|name| names.contains(name.as_str()))
            .count();
        if (kept as f64) < self.listed.len() as f64 * PANIC_SHARE {
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

    /// The list was read once more and is still the same.
    pub fn read_again(&mut self) {
        self.missing.values_mut().for_each(|reads| *reads += 1);
    }

    /// True when one more read of the same list would change nothing.
    pub fn is_settled(&self) -> bool {
        self.missing.values().all(|reads| *reads >= MISSING_READS)
    }

    /// Learns that a host incarnation is leaving; true when it is news.
    pub fn learn(&mut self, host: LeavingHost) -> bool {
        if !self.leaving.insert(host.clone()) {
            return false;
        }
        self.spread.push((0, host));
        if self.spread.len() > MAX_REMEMBERED {
            let (_, oldest) = self.spread.remove(0);
            self.leaving.remove(&oldest);
        }
        true
    }

    /// Learns from an operator or the host itself, who name no incarnation:
    /// whatever incarnation is known now is leaving.
    pub fn learn_by_name(&mut self, name: &str) -> bool {
        let incarnation = self.incarnation(name);
        self.learn(LeavingHost {
            name: name.into(),
            incarnation,
        })
    }

    fn incarnation(&self, name: &str) -> Incarnation {
        self.listed.get(name).copied().unwrap_or(0)
    }

    /// True when a host may be given new work.
    pub fn takes_work(&self, name: &str) -> bool {
        let host = LeavingHost {
            name: name.into(),
            incarnation: self.incarnation(name),
        };
        let gone = self.missing.get(name).copied().unwrap_or(0) >= MISSING_READS;
        !gone && !self.leaving.contains(&host)
    }

    /// Every leaving host, for a newcomer.
    pub fn all_leaving(&self) -> Vec<LeavingHost> {
        self.spread.iter().map(|(_, host)| host.clone()).collect()
    }

    /// Leaving hosts to pass on, those passed on least often first.
    pub fn to_spread(&mut self) -> Vec<LeavingHost> {
        let mut order: Vec<usize> = (0..self.spread.len()).collect();
        order.sort_by_key(|at| self.spread[*at].0);
        order
            .into_iter()
            .take(MAX_LEAVING)
            .map(|at| {
                let (times, host) = &mut self.spread[at];
                *times += 1;
                host.clone()
            })
            .collect()
    }
}
