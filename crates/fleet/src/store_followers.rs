//! Chooses the entries of a hall that follow the store themselves.
//!
//! Calls to the store have a cost, so in a hall of many entries a few follow the store and
//! forward the changes. Each entry derives the choice by rendezvous hashing. Views may differ
//! for a while, which only costs calls: an entry that isn't a follower refuses the request.

use crate::ownership::{self, Candidate};

/// Store followers of a hall; more than one, because one may fail or lag undetected.
pub const FOLLOWERS: usize = 2;
/// Minimum number of entries in a hall for which only some follow the store.
pub const MIN_ENTRIES: usize = 8;

/// Indices of the store followers among a hall's entries; `None` if all entries follow.
pub fn choose<'a>(
    hall: &str,
    entries: impl Iterator<Item = Candidate<'a>> + Clone,
) -> Option<Vec<usize>> {
    if entries.clone().count() < MIN_ENTRIES {
        return None;
    }
    Some(ownership::owners(hall, entries, FOLLOWERS))
}
