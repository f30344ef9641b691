//! How far a list that is followed in the store is behind it.

use crate::{Millis, Position};

/// How long a list may belong to an earlier epoch of the store before that is reported, in
/// milliseconds.
pub const MAX_BEHIND_MS: Millis = 1_000;

/// Freshness of one list.
#[derive(Debug, Clone, Copy, Default)]
pub struct ListFreshness {
    at: Position,
    confirmed_at: Option<Millis>,
    behind: Option<Behind>,
}

/// A newer epoch of the store that the list hasn't reached.
#[derive(Debug, Clone, Copy)]
struct Behind {
    epoch: u64,
    since: Millis,
    is_reported: bool,
}

impl ListFreshness {
    /// Records that the list was complete up to a position.
    pub fn confirm(&mut self, now: Millis, at: Position) {
        self.at = at;
        self.confirmed_at = Some(now);
    }

    /// Position up to which the list is complete.
    pub fn at(&self) -> Position {
        self.at
    }

    /// Time since that was last confirmed; `None` before the first list.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Compares the list with the store's newest epoch. Returns how long it has been behind, once
    /// for each epoch that it doesn't reach within [`MAX_BEHIND_MS`].
    pub fn check(&mut self, now: Millis, newest_epoch: u64) -> Option<Millis> {
        if self.confirmed_at.is_none() || self.at.epoch >= newest_epoch {
            self.behind = None;
            return None;
        }
        let behind = match &mut self.behind {
            Some(behind) if behind.epoch == newest_epoch => behind,
            other => other.insert(Behind {
                epoch: newest_epoch,
                since: now,
                is_reported: false,
            }),
        };
        let behind_ms = now.saturating_sub(behind.since);
        if behind.is_reported || behind_ms <= MAX_BEHIND_MS {
            return None;
        }
        behind.is_reported = true;
        Some(behind_ms)
    }
}
