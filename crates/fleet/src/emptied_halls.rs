//! Which data halls operators have emptied: their targets get nothing new.
//!
//! Each emptied hall is a key that the operators put into the store and remove again.
//! The keys are nobody's lease, so a missing one always means that the hall was taken
//! back. An account is as new as the revision of the store up to which it holds; only
//! newer words change it, whoever brings them and in whatever order they come.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The emptied halls as of a revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptiedHalls {
    /// All changes up to this revision are in the account.
    as_of: u64,
    /// Each hall with the revision at which it was emptied.
    halls: BTreeMap<String, u64>,
}

impl EmptiedHalls {
    /// Takes all halls that are emptied, as of a revision. True when the halls changed.
    pub fn take_list(&mut self, as_of: u64, listed: Vec<(String, u64)>) -> bool {
        if as_of < self.as_of {
            return false;
        }
        let listed = EmptiedHalls {
            as_of,
            halls: listed.into_iter().collect(),
        };
        self.replace(listed)
    }

    /// Takes the account of another entry where it is newer. True when the halls
    /// changed.
    pub fn adopt(&mut self, other: EmptiedHalls) -> bool {
        other.as_of > self.as_of && self.replace(other)
    }

    fn replace(&mut self, by: EmptiedHalls) -> bool {
        let changed = !self.halls.keys().eq(by.halls.keys());
        *self = by;
        changed
    }

    /// A hall was emptied at a revision. True when that is news.
    pub fn emptied(&mut self, hall: &str, revision: u64) -> bool {
        if revision <= self.as_of {
            return false;
        }
        self.halls.insert(hall.to_string(), revision).is_none()
    }

    /// A hall was taken back at a revision. True when that is news.
    pub fn taken_back(&mut self, hall: &str, revision: u64) -> bool {
        let is_newer = |since: &u64| revision > *since;
        if revision <= self.as_of || !self.halls.get(hall).is_some_and(is_newer) {
            return false;
        }
        self.halls.remove(hall).is_some()
    }

    /// All changes up to a revision have been told.
    pub fn told_until(&mut self, revision: u64) {
        self.as_of = self.as_of.max(revision);
    }

    /// The revision up to which the account holds.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// True when a hall's targets get nothing new.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// The emptied halls, in the order of their names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.halls.keys().map(String::as_str)
    }
}
