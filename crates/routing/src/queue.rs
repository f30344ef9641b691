//! Orders the requests that wait for a slot of a service.
//!
//! Requests wait at the entry rather than at targets so that their order can be chosen:
//! organisations within their share first, then by the operators' priority, then by the
//! latest start that still meets the deadline.

use std::collections::BTreeMap;

use crate::Millis;

/// Sort key of a waiting request; smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The organisation holds more than its share.
    pub over_share: bool,
    /// Reversed priority: 0 is the most urgent.
    pub urgency: u8,
    /// Latest start at which a typical request would still meet its deadline.
    pub latest_start: Millis,
    /// Unique arrival number.
    pub arrival: u64,
}

impl Rank {
    /// Most urgent priority that operators can set.
    pub const MAX_PRIORITY: u8 = 9;

    /// Reverses a priority for [`Rank::urgency`].
    pub fn urgency_of(priority: u8) -> u8 {
        Self::MAX_PRIORITY.saturating_sub(priority)
    }
}

/// Requests waiting for a slot of one service.
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

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<(Rank, T)> {
        self.waiting.pop_first()
    }

    pub fn remove(&mut self, rank: &Rank) -> Option<T> {
        self.waiting.remove(rank)
    }

    /// Number of requests ahead of `rank`.
    pub fn ahead_of(&self, rank: &Rank) -> usize {
        self.waiting.range(..rank).count()
    }

    /// True when any request is ahead of `rank`.
    pub fn has_ahead_of(&self, rank: &Rank) -> bool {
        self.waiting.range(..rank).next().is_some()
    }
}
