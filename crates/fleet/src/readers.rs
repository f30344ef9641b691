//! Which entries follow the store themselves.
//!
//! Every call to the store has a price, and a watch is called again after every change.
//! In a hall of many entries a few read the store, and the others hear from them. Who
//! they are is worked out by each entry from the entries that it knows: rendezvous hashing
//! over the larger hosts of the hall. Two views may differ for a while, which costs calls
//! and nothing else: an entry asked that doesn't read itself says so.

use crate::ownership::{self, Candidate};

/// Entries of a hall that read the store: one may be gone, or lie behind, without anybody
/// noticing at once.
pub const READERS: usize = 2;
/// Entries in a hall from which on only some read. With fewer, little is saved.
pub const LEAST_ENTRIES: usize = 8;

/// Positions of the readers among the entries of a hall; `None` where all read.
pub fn choose<'a>(
    hall: &str,
    entries: impl Iterator<Item = Candidate<'a>> + Clone,
) -> Option<Vec<usize>> {
    if entries.clone().count() < LEAST_ENTRIES {
        return None;
    }
    Some(ownership::owners(hall, entries, READERS))
}
