//! Where in the history of the platform's store something was said.
//!
//! The store may come back from an older copy. Then it gives revisions out again that stood
//! for other changes before, and a revision alone tells no longer which of two words is the
//! newer one. Each such return begins an era; a position is an era and a revision in it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A change of the store. Later ones are greater, those of a later era always.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Position {
    /// Rises by one each time the store comes back from an older copy; 0 for a store that
    /// names none.
    pub era: u64,
    /// Rises with each change in an era; 0 before the first one.
    pub revision: u64,
}

impl Position {
    /// A revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Position { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
