//! Log of the changes that one entry received from the store, for entries that follow it.
//!
//! Like the store's own watch it returns the changes after a position, or reports that they
//! are no longer known. Positions are the same at every source, so a follower can continue at
//! another one. The log holds every change between two positions of one epoch, up to limits on
//! their number and size.

use std::collections::VecDeque;

use crate::Position;

/// The changes that a log holds after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince<C> {
    /// All changes after it, in order, up to `to`.
    Changes { changes: Vec<C>, to: Position },
    /// The log has no later changes.
    NothingNew,
    /// The log begins at a later position.
    Unknown,
}

/// All changes between two positions.
#[derive(Debug, Clone)]
pub struct WatchLog<C> {
    /// Changes after this position are in the log.
    from: Position,
    /// Changes up to this position are in the log.
    to: Position,
    /// Each change with its position.
    changes: VecDeque<(Position, C)>,
    capacity: usize,
    /// Size of a change in bytes.
    size_of: fn(&C) -> usize,
    /// Sizes of all changes in the log.
    bytes: usize,
    max_bytes: usize,
}

impl<C: Clone> WatchLog<C> {
    /// An empty log that holds at most `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        WatchLog {
            from: Position::default(),
            to: Position::default(),
            changes: VecDeque::new(),
            capacity,
            size_of: |_| 0,
            bytes: 0,
            max_bytes: usize::MAX,
        }
    }

    /// Also limits the sizes of all changes together, in bytes.
    pub fn with_max_bytes(self, max_bytes: usize, size_of: fn(&C) -> usize) -> Self {
        WatchLog {
            size_of,
            max_bytes,
            ..self
        }
    }

    /// Clears the log after a full read as of a position.
    pub fn restart_at(&mut self, at: Position) {
        self.from = at;
        self.to = at;
        self.changes.clear();
        self.bytes = 0;
    }

    /// Appends all changes after [`WatchLog::end`] up to `to`, each with its position.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (Position, C)>, to: Position) {
        for (at, change) in changes {
            self.bytes += (self.size_of)(&change);
            self.changes.push_back((at, change));
        }
        self.to = self.to.max(to);
        while self.changes.len() > self.capacity || self.bytes > self.max_bytes {
            let Some((at, dropped)) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= (self.size_of)(&dropped);
            self.from = at;
        }
    }

    /// The position up to which the log holds all changes.
    pub fn end(&self) -> Position {
        self.to
    }

    /// The changes after a position.
    pub fn since(&self, after: Position) -> ChangesSince<C> {
        if after < self.from {
            return ChangesSince::Unknown;
        }
        if after >= self.to {
            return ChangesSince::NothingNew;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        ChangesSince::Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            to: self.to,
        }
    }
}
