//! Positions in the history of the platform's store.
//!
//! A store restored from an older copy reuses revisions that identified other changes before
//! the restore, so a revision alone doesn't order two changes. Each restore begins an epoch; a
//! position is an epoch and a revision in it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a change in the store. Ordered by epoch, then by revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Epoch: incremented each time the store is restored from an older copy; 0 for a store
    /// that reports none.
    #[serde(rename = "era")]
    pub epoch: u64,
    /// Increases with each change in an epoch; 0 before the first one.
    pub revision: u64,
}

impl Position {
    pub fn new(epoch: u64, revision: u64) -> Self {
        Position { epoch, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.revision)
    }
}
