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
    let largest = candidates.clone().map(|entry| entry.capacity).max()?;
    let is_large = |entry: &Candidate<'_>| entry.capacity >= largest / 2;
    let large = candidates.clone().filter(is_large).count();
    // Small entries are passed to only where there are too few large ones.
    let mut ranked: Vec<(usize, Candidate<'a>)> = candidates
        .enumerate()
        .filter(|(_, entry)| is_large(entry) || large <= MAX_PASSED_OVER)
        .collect();
    ranked.sort_by_cached_key(|(index, entry)| {
        let score = rendezvous::score(key, entry.host);
        Reverse((is_large(entry), score, *index))
    });
    ranked.truncate(MAX_PASSED_OVER + 1);
    let responsive = ranked.iter().find(|(_, entry)| !entry.is_lagging);
    let owner = responsive.or(ranked.first());
    owner.map(|(index, _)| *index)
}

/// Indices of at most `limit` owners of `key`, highest score first.
pub fn owners<'a>(
    key: &str,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    limit: usize,
) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = scored(key, candidates).collect();
    scored.sort_unstable_by_key(|scored| Reverse(*scored));
    scored
        .into_iter()
        .take(limit)
        .map(|(_, index)| index)
        .collect()
}

/// Score for `key` and index of each eligible candidate.
fn scored<'a, 'k, I>(
    key: &'k str,
    candidates: I,
) -> impl Iterator<Item = (u64, usize)> + use<'a, 'k, I>
where
    I: Iterator<Item = Candidate<'a>> + Clone,
{
    let all_lag = candidates.clone().all(|entry| entry.is_lagging);
    let is_responsive = move |entry: &Candidate<'a>| all_lag || !entry.is_lagging;
    let responsive = candidates.clone().filter(is_responsive);
    let largest = responsive.map(|entry| entry.capacity).max().unwrap_or(0);
    candidates
        .enumerate()
        .filter(move |(_, entry)| is_responsive(entry) && entry.capacity >= largest / 2)
        .map(move |(index, entry)| (rendezvous::score(key, entry.host), index))
}
