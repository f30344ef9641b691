//! Which data halls operators have emptied: their targets get nothing new.
//!
//! Each emptied hall is a key that the operators put into the store and remove again.
//! The keys are nobody's lease, so a missing one means that the hall was taken back, as
//! long as the store has lost nothing. An account is as new as the position of the store up
//! to which it holds; only newer words change it, whoever brings them and in whatever order
//! they come.
//!
//! A store that comes back from an older copy may miss a hall that was emptied in the lost
//! time. Such a hall stays emptied until it is written again, taken back in the new era, or
//! given up with [`EmptiedHalls::drop_unwritten`]: work in a hall that people walk into
//! costs more than a hall that rests a little longer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Position;

/// The emptied halls as of a position of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EmptiedHalls {
    /// All changes up to this position are in the account.
    as_of: Position,
    /// Each hall with the position at which it was emptied; one of an older era than the
    /// account's hasn't been written again since.
    halls: BTreeMap<String, Position>,
    /// Halls emptied in an older era that were taken back in this one, and where.
    taken_back: BTreeMap<String, Position>,
}

impl EmptiedHalls {
    /// Takes all halls that are emptied, as of a position. True when the halls changed.
    pub fn take_list(&mut self, as_of: Position, listed: Vec<(String, Position)>) -> bool {
        if as_of < self.as_of {
            return false;
        }
        let is_same_era = as_of.era == self.as_of.era;
        let listed = EmptiedHalls {
            as_of,
            halls: listed.into_iter().collect(),
            taken_back: match is_same_era {
                true => std::mem::take(&mut self.taken_back),
                false => BTreeMap::new(),
            },
        };
        self.replace(listed)
    }

    /// Takes the account of another entry where it is newer. True when the halls
    /// changed.
    pub fn adopt(&mut self, other: EmptiedHalls) -> bool {
        other.as_of > self.as_of && self.replace(other)
    }

    /// Takes a newer account, and keeps the halls that the store may have lost.
    fn replace(&mut self, mut by: EmptiedHalls) -> bool {
        let is_lost = |hall: &String, since: &Position| {
            since.era < by.as_of.era && !by.taken_back.contains_key(hall)
        };
        let lost: Vec<(String, Position)> = self
            .halls
            .iter()
            .filter(|(hall, since)| is_lost(hall, since))
            .map(|(hall, since)| (hall.clone(), *since))
            .collect();
        for (hall, since) in lost {
            by.halls.entry(hall).or_insert(since);
        }
        let changed = !self.halls.keys().eq(by.halls.keys());
        *self = by;
        changed
    }

    /// A hall was emptied at a position. True when that is news.
    pub fn emptied(&mut self, hall: &str, at: Position) -> bool {
        if at <= self.as_of {
            return false;
        }
        self.taken_back.remove(hall);
        self.halls.insert(hall.to_string(), at).is_none()
    }

    /// A hall was taken back at a position. True when that is news.
    pub fn taken_back(&mut self, hall: &str, at: Position) -> bool {
        let since = self.halls.get(hall).copied();
        let Some(since) = since.filter(|since| at > self.as_of && at > *since) else {
            return false;
        };
        if since.era < at.era {
            self.taken_back.insert(hall.to_string(), at);
        }
        self.halls.remove(hall).is_some()
    }

    /// Gives up the halls that nobody has written again since the store came back without
    /// them. Returns their names.
    pub fn drop_unwritten(&mut self) -> Vec<String> {
        let era = self.as_of.era;
        let unwritten: Vec<String> = self.unwritten().map(str::to_string).collect();
        self.halls.retain(|_, since| since.era >= era);
        unwritten
    }

    /// The halls that nobody has written again since the store came back without them.
    pub fn unwritten(&self) -> impl Iterator<Item = &str> {
        let era = self.as_of.era;
        let unwritten = self.halls.iter().filter(move |(_, since)| since.era < era);
        unwritten.map(|(hall, _)| hall.as_str())
    }

    /// All changes up to a position have been told.
    pub fn told_until(&mut self, at: Position) {
        self.as_of = self.as_of.max(at);
    }

    /// The position up to which the account holds.
    pub fn as_of(&self) -> Position {
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
