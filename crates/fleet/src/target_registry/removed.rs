//! Remembers target incarnations whose records were removed, and those that peers know to drain before
//! this process has read their records.
//!
//! Records of such an incarnation written before its removal are ignored, including those
//! that a store restored from an older copy contains again.

use std::collections::{BTreeMap, VecDeque};

use super::entry::{Entry, State};
use super::RecordMeta;
use crate::Position;

/// Removed incarnations that are remembered; exceeds the removals within the time span that a
/// restored store may have lost.
const MAX_REMOVED: usize = 4_096;

/// An incarnation whose record was removed.
#[derive(Debug, Clone)]
pub(super) struct Removed {
    pub incarnation: u64,
    /// Position as of which it was removed.
    pub at: Position,
    /// It was draining when it was removed.
    pub was_draining: bool,
    /// Sequence number of the removal.
    number: u64,
}

/// The last removed incarnation of each target, by target id.
#[derive(Debug, Clone, Default)]
pub(super) struct RemovedIncarnations {
    by_id: BTreeMap<String, Removed>,
    /// Sequence number and target id, in order of removal.
    order: VecDeque<(u64, String)>,
    next_number: u64,
}

impl RemovedIncarnations {
    /// Adds a removed target.
    pub fn add<R>(&mut self, id: &str, entry: &Entry<R>) {
        let removed_at = entry.at.max(entry.missing_at);
        let was_draining = entry.state == State::Draining;
        self.insert(id, entry.incarnation, removed_at, was_draining);
    }

    fn insert(&mut self, id: &str, incarnation: u64, at: Position, was_draining: bool) {
        let number = self.next_number;
        self.next_number += 1;
        let removed = Removed {
            incarnation,
            at,
            was_draining,
            number,
        };
        self.by_id.insert(id.to_string(), removed);
        self.order.push_back((number, id.to_string()));
        while self.order.len() > MAX_REMOVED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((number, id)) = self.order.pop_front() else {
            return;
        };
        if self
            .by_id
            .get(&id)
            .is_some_and(|removed| removed.number == number)
        {
            self.by_id.remove(&id);
        }
    }

    /// The last removed incarnation of a target.
    pub fn last(&self, id: &str) -> Option<&Removed> {
        self.by_id.get(id)
    }

    /// True when a record predates the last removal: it was delayed, or comes from an entry
    /// that hasn't settled the removal yet.
    pub fn is_outdated(&self, id: &str, meta: &RecordMeta) -> bool {
        let removed = self.last(id);
        removed
            .is_some_and(|removed| (removed.incarnation, removed.at) >= (meta.incarnation, meta.at))
    }

    /// Records that an incarnation that isn't registered is draining. It may not have been listed yet.
    pub fn mark_draining(&mut self, id: &str, incarnation: u64) {
        match self.by_id.get_mut(id) {
            Some(removed) if removed.incarnation > incarnation => {}
            Some(removed) if removed.incarnation == incarnation => removed.was_draining = true,
            _ => self.insert(id, incarnation, Position::default(), true),
        }
    }
}
