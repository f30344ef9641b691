//! Who is next when a service has no free slot.
//!
//! Requests wait at the entry, not at targets, so that their order can be
//! chosen: first those of organisations within their share; among them by the
//! operators' priority; among equals the one that has to start soonest to make
//! its deadline.

use std::collections::BTreeMap;

use crate::Millis;

/// Place in a queue; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Its organisation holds more than its share.
    pub over_share: bool,
    /// The operators' priority, reversed: 0 is the most urgent.
    pub urgency: u8,
    /// Latest moment at which a typical request would still make it.
    pub latest_start: Millis,
    /// Order of arrival among equals; unique.
    pub arrival: u64,
}

impl Rank {
    /// Most urgent priority that operators can give.
    pub const MAX_PRIORITY: u8 = 9;

    /// Reverses a priority for [`Rank::urgency`].
    pub fn urgency_of(priority: u8) -> u8 {
        Self::MAX_PRIORITY.saturating_sub(priority)
    }
}

/// Requests that wait for a slot of one service.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: BTreeMap<Rank, T>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        WaitQueue {
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> WaitQueue<T> {
    pub fn push(&mut self, rank: Rank, waiter: T) {
        self.waiting.insert(rank, waiter);
    }

    /// Takes out the one that is next.
    pub fn pop(&mut self) -> Option<(Rank, T)> {
        self.waiting.pop_first()
    }

    /// Takes out one that waits no longer.
    pub fn remove(&mut self, rank: &Rank) -> Option<T> {
        self.waiting.remove(rank)
    }

    /// Number that goes before a newcomer of this rank.
    pub fn ahead_of(&self, rank: &Rank) -> usize {
        self.waiting.range(..rank).count()
    }

    /// True when somebody goes before a newcomer of this rank.
    pub fn has_ahead_of(&self, rank: &Rank) -> bool {
        self.waiting.range(..rank).next().is_some()
    }
}
