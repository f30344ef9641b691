//! Starts of targets whose records went for good.
//!
//! A word of one of them that was said before it went changes nothing, whoever is late
//! with it; and a store that comes back from an older copy has its record again.

use std::collections::{BTreeMap, VecDeque};

use super::entry::{Entry, State};
use super::Told;
use crate::Position;

/// Starts that went which are remembered, the last ones: far more than go in the seconds
/// that a store may lose.
const MOST_GONE: usize = 4_096;

/// A start whose record went for good.
#[derive(Debug, Clone)]
pub(super) struct Gone {
    pub start: u64,
    /// Where it was known to be gone.
    pub at: Position,
    /// It said before that it leaves.
    pub left: bool,
    /// Which of all that went it is.
    number: u64,
}

/// The last start that went of each target, by the targets' ids.
#[derive(Debug, Clone, Default)]
pub(super) struct GoneStarts {
    by_id: BTreeMap<String, Gone>,
    /// In the order in which they went.
    order: VecDeque<(u64, String)>,
    went: u64,
}

impl GoneStarts {
    /// A target went.
    pub fn add<R>(&mut self, id: &str, entry: &Entry<R>) {
        let number = self.went;
        self.went += 1;
        let gone = Gone {
            start: entry.start,
            at: entry.at.max(entry.missing_at),
            left: entry.state == State::Draining,
            number,
        };
        self.by_id.insert(id.to_string(), gone);
        self.order.push_back((number, id.to_string()));
        while self.order.len() > MOST_GONE {
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
            .is_some_and(|gone| gone.number == number)
        {
            self.by_id.remove(&id);
        }
    }

    /// What last went under an id.
    pub fn last(&self, id: &str) -> Option<&Gone> {
        self.by_id.get(id)
    }

    /// True when a start went after a word of it: one that was late, or of an entry that
    /// still doubts what is known here.
    pub fn went_later(&self, id: &str, told: &Told) -> bool {
        let gone = self.last(id);
        gone.is_some_and(|gone| (gone.start, gone.at) >= (told.start, told.at))
    }

    /// A start that went had said that it leaves.
    pub fn left(&mut self, id: &str, start: u64) {
        let gone = self.by_id.get_mut(id);
        if let Some(gone) = gone.filter(|gone| gone.start == start) {
            gone.left = true;
        }
    }
}
