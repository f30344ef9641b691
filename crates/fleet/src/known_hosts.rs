//! Counts the hosts that may be running, by their records.
//!
//! A host whose record is gone may run on behind a cut. It is counted for some time after that, and
//! gives up what it shares with others before that time is over.

use std::collections::{BTreeSet, HashMap};

use crate::Millis;

/// How long a host is counted after its record was deleted, in milliseconds.
pub const FORGET_AFTER_MS: Millis = 60_000;
/// How long a host that doesn't reach the store relies on being counted, in milliseconds. The
/// difference covers a window of the allowances that are shared.
pub const COUNTED_FOR_MS: Millis = 40_000;

/// Hosts by name.
#[derive(Debug, Default)]
pub struct KnownHosts {
    listed: BTreeSet<String>,
    /// When the records of others were found deleted.
    gone: HashMap<String, Millis>,
}

impl KnownHosts {
    /// Applies a list of all hosts that have a record. A new run of a host replaces the previous one.
    pub fn update<'a>(&mut self, now: Millis, listed: impl Iterator<Item = &'a str>) {
        let listed: BTreeSet<String> = listed.map(str::to_string).collect();
        let before = std::mem::replace(&mut self.listed, listed);
        let missing = before
            .into_iter()
            .filter(|host| !self.listed.contains(host));
        self.gone.extend(missing.map(|host| (host, now)));
        self.gone
            .retain(|host, at| !self.listed.contains(host) && *at + FORGET_AFTER_MS > now);
    }

    /// Number of hosts that may run; `None` before any list with a host.
    pub fn count(&self, now: Millis) -> Option<usize> {
        let gone = self.gone.values().filter(|at| **at + FORGET_AFTER_MS > now);
        let count = self.listed.len() + gone.count();
        (count > 0).then_some(count)
    }
}
