//! The changes that one entry heard from the store, for others that follow it.
//!
//! It answers like the store's own watch: what changed after a revision, or that this
//! isn't known any more. So an entry that follows another one can go on from its own
//! revision at any other source, whose revisions are the same. The log holds every change
//! between two revisions, and no more than so many.

use std::collections::VecDeque;

/// What a log knows of the changes after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Since<C> {
    /// All changes after it, in order, up to a revision.
    Changes { changes: Vec<C>, revision: u64 },
    /// Nothing is known beyond it.
    NothingNew,
    /// The log begins later.
    Unknown,
}

/// All changes between two revisions.
#[derive(Debug, Clone)]
pub struct WatchLog<C> {
    /// Changes after this revision are in the log.
    from: u64,
    /// And up to this one.
    to: u64,
    /// Each with its revision.
    changes: VecDeque<(u64, C)>,
    most: usize,
}

impl<C: Clone> WatchLog<C> {
    /// An empty log that holds so many changes at the most.
    pub fn new(most: usize) -> Self {
        WatchLog {
            from: 0,
            to: 0,
            changes: VecDeque::new(),
            most,
        }
    }

    /// Everything was read as of a revision; what led there isn't known.
    pub fn begin(&mut self, revision: u64) {
        self.from = revision;
        self.to = revision;
        self.changes.clear();
    }

    /// Takes the changes that follow those in the log, each with its revision, up to a
    /// revision.
    pub fn extend(&mut self, changes: impl IntoIterator<Item = (u64, C)>, revision: u64) {
        self.changes.extend(changes);
        self.to = self.to.max(revision);
        while self.changes.len() > self.most {
            if let Some((dropped, _)) = self.changes.pop_front() {
                self.from = dropped;
            }
        }
    }

    /// What changed after a revision.
    pub fn since(&self, after: u64) -> Since<C> {
        if after < self.from {
            return Since::Unknown;
        }
        if after >= self.to {
            return Since::NothingNew;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > after);
        Since::Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            revision: self.to,
        }
    }
}
