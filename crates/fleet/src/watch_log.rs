//! The changes that one entry heard from the store, for others that follow it.
//!
//! It answers like the store's own watch: what changed after a position, or that this
//! isn't known any more. So an entry that follows another one can go on from its own
//! position at any other source, whose positions are the same. The log holds every change
//! between two positions of one era, and no more than so many.

use std::collections::VecDeque;

use crate::Position;

/// What a log knows of the changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Since<C> {
    /// All changes after it, in order, up to a position.
    Changes { changes: Vec<C>, to: Position },
    /// Nothing is known beyond it.
    NothingNew,
    /// The log begins later.
    Unknown,
}

/// All changes between two positions.
#[derive(Debug, Clone)]
pub struct WatchLog<C> {
    /// Changes after this position are in the log.
    from: Position,
    /// And up to this one.
    to: Position,
    /// Each with its position.
    changes: VecDeque<(Position, C)>,
    most: usize,
}

impl<C: Clone> WatchLog<C> {
    /// An empty log that holds so many changes at the most.
    pub fn new(most: usize) -> Self {
        WatchLog {
            from: Position::default(),
            to: Position::default(),
            changes: VecDeque::new(),
            most,
        }
    }

    /// Everything was read as of a position; what led there isn't known.
    pub fn begin(&mut self, at: Position) {
        self.from = at;
        self.to = at;
        self.changes.clear();
    }

    /// Takes the changes that follow those in the log, each with its position, up to a
    /// position.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (Position, C)>, to: Position) {
        self.changes.extend(changes);
        self.to = self.to.max(to);
        while self.changes.len() > self.most {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.from = dropped;
            }
        }
    }

    /// All changes up to this position are in the log.
    pub fn known_to(&self) -> Position {
        self.to
    }

    /// What changed after a position.
    pub fn since(&self, after: Position) -> Since<C> {
        if after < self.from {
            return Since::Unknown;
        }
        if after >= self.to {
            return Since::NothingNew;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        Since::Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            to: self.to,
        }
    }
}
