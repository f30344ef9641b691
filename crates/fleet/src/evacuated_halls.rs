//! Data halls that operators have evacuated; their targets get no new work.
//!
//! Each evacuated hall is a key in the store without a lease, so a missing key means that the
//! hall was reinstated. A restored store may have lost keys: such a hall stays evacuated until
//! it is confirmed, reinstated or dropped, because people may be working in it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Position;

/// The evacuated halls as of a position of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// All changes up to this position are applied.
    as_of: Position,
    /// Each hall with the position at which it was evacuated. A hall with a position of an
    /// earlier epoch than `as_of` is unconfirmed: its key hasn't been written again since.
    halls: BTreeMap<String, Position>,
    /// Halls evacuated in an earlier epoch and reinstated in this one, with the position of
    /// the reinstatement.
    #[serde(rename = "taken_back")]
    reinstated_halls: BTreeMap<String, Position>,
}

impl EvacuatedHalls {
    /// Applies a complete list as of a position. True when the set of halls changed.
    pub fn apply_list(&mut self, as_of: Position, listed: Vec<(String, Position)>) -> bool {
        if as_of < self.as_of {
            return false;
        }
        let is_same_epoch = as_of.epoch == self.as_of.epoch;
        let listed = EvacuatedHalls {
            as_of,
            halls: listed.into_iter().collect(),
            reinstated_halls: match is_same_epoch {
                true => std::mem::take(&mut self.reinstated_halls),
                false => BTreeMap::new(),
            },
        };
        self.replace(listed)
    }

    /// Takes over another entry's state if it is newer. True when the set of halls changed.
    pub fn adopt(&mut self, other: EvacuatedHalls) -> bool {
        other.as_of > self.as_of && self.replace(other)
    }

    /// Replaces the state by a newer one, but keeps halls that the store may have lost.
    fn replace(&mut self, mut newer: EvacuatedHalls) -> bool {
        let is_lost = |hall: &String, since: &Position| {
            since.epoch < newer.as_of.epoch && !newer.reinstated_halls.contains_key(hall)
        };
        let lost: Vec<(String, Position)> = self
            .halls
            .iter()
            .filter(|(hall, since)| is_lost(hall, since))
            .map(|(hall, since)| (hall.clone(), *since))
            .collect();
        for (hall, since) in lost {
            newer.halls.entry(hall).or_insert(since);
        }
        let changed = !self.halls.keys().eq(newer.halls.keys());
        *self = newer;
        changed
    }

    /// Applies the evacuation of a hall. True when the set of halls changed.
    pub fn apply_evacuation(&mut self, hall: &str, at: Position) -> bool {
        if at <= self.as_of {
            return false;
        }
        self.reinstated_halls.remove(hall);
        self.halls.insert(hall.to_string(), at).is_none()
    }

    /// Applies the end of a hall's evacuation. True when the set of halls changed.
    pub fn apply_reinstatement(&mut self, hall: &str, at: Position) -> bool {
        let since = self.halls.get(hall).copied();
        let Some(since) = since.filter(|since| at > self.as_of && at > *since) else {
            return false;
        };
        if since.epoch < at.epoch {
            self.reinstated_halls.insert(hall.to_string(), at);
        }
        self.halls.remove(hall).is_some()
    }

    /// Removes the unconfirmed halls and returns their names.
    pub fn drop_unconfirmed(&mut self) -> Vec<String> {
        let epoch = self.as_of.epoch;
        let unconfirmed: Vec<String> = self.unconfirmed().map(str::to_string).collect();
        self.halls.retain(|_, since| since.epoch >= epoch);
        unconfirmed
    }

    /// Halls whose keys haven't been written again since the store was restored without them.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &str> {
        let epoch = self.as_of.epoch;
        let unconfirmed = self
            .halls
            .iter()
            .filter(move |(_, since)| since.epoch < epoch);
        unconfirmed.map(|(hall, _)| hall.as_str())
    }

    /// Records that all changes up to a position are applied.
    pub fn advance_to(&mut self, at: Position) {
        self.as_of = self.as_of.max(at);
    }

    /// The position up to which all changes are applied.
    pub fn as_of(&self) -> Position {
        self.as_of
    }

    /// True when a hall is evacuated.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// The evacuated halls, ordered by name.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.halls.keys().map(String::as_str)
    }
}
