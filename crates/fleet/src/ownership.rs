//! Assigns one owner among the live entries to each key.
//!
//! Rendezvous hashing gives every entry the same result without coordination. An owner handles
//! what all other entries send for its keys, so only entries with at least half of the largest
//! capacity own any. An entry with event-loop lag is passed over, but a key moves to a few others at
//! most: where these lag as well, it is the load of the key, and not a slow host, that makes them.

use std::cmp::Reverse;

use crate::rendezvous;

/// An entry that is eligible as an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of its host, which is stable across restarts.
    pub host: &'a str,
    /// Relative capacity of its host, by a measure common to all entries.
    pub capacity: u32,
    /// The entry reports event-loop lag.
    pub is_lagging: bool,
}

/// Number of lagging entries that are passed over for a key. Each move costs the new owner a
/// backlog, so that a load which no entry bears would make one after the other lag.
const MAX_PASSED_OVER: usize = 2;

/// Index of the owner of `key`; `None` without candidates.
pub fn owner<'a>(
    key: &str,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
) -> Option<usize> {
    let [large, small] = by_size(candidates);
    let mut ranked = by_score(key, large);
    // Small entries are passed to only where there are too few large ones.
    if ranked.len() <= MAX_PASSED_OVER {
        ranked.extend(by_score(key, small));
    }
    ranked.truncate(MAX_PASSED_OVER + 1);
    let responsive = ranked.iter().find(|(_, entry)| !entry.is_lagging);
    let owner = responsive.or(ranked.first());
    owner.map(|(index, _)| *index)
}

/// Indices of at most `limit` large entries, highest score for `key` first, whether they lag or not.
pub fn owners<'a>(
    key: &str,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    limit: usize,
) -> Vec<usize> {
    let [large, _] = by_size(candidates);
    let ranked = by_score(key, large).into_iter();
    ranked.map(|(index, _)| index).take(limit).collect()
}

/// The candidates with at least half of the largest capacity, and the others, with their indices.
fn by_size<'a>(
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
) -> [Vec<(usize, Candidate<'a>)>; 2] {
    let largest = candidates.clone().map(|entry| entry.capacity).max();
    let least = largest.unwrap_or(0) / 2;
    let (large, small) = candidates
        .enumerate()
        .partition(|(_, entry)| entry.capacity >= least);
    [large, small]
}

/// Sorts candidates by their score for `key`, highest first.
fn by_score<'a>(
    key: &str,
    mut candidates: Vec<(usize, Candidate<'a>)>,
) -> Vec<(usize, Candidate<'a>)> {
    candidates
        .sort_by_cached_key(|(index, entry)| Reverse((rendezvous::score(key, entry.host), *index)));
    candidates
}
