//! Which entry owns something that one entry should decide.
//!
//! Rendezvous hashing gives each thing one owner among the live entries without
//! any agreement. Hosts differ in size: an owner moves what all other entries
//! hand it, so only entries with at least half of the largest capacity own
//! anything. When they are all gone, the smaller ones do. One that doesn't keep up with
//! its work owns nothing unless that is so of all: whatever it owned would wait for it.

use std::cmp::Reverse;

use crate::rendezvous;

/// An entry that may own something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of its host, which outlives a restart.
    pub host: &'a str,
    /// What its host can move, by a measure that all entries share.
    pub capacity: u32,
    /// It says that it doesn't keep up with its work.
    pub is_slow: bool,
}

/// Position of the owner of `what`; `None` without candidates.
pub fn owner<'a>(
    what: &str,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
) -> Option<usize> {
    scored(what, candidates).max().map(|(_, at)| at)
}

/// Positions of so many owners of `what` at the most, the first one first.
pub fn owners<'a>(
    what: &str,
    candidates: impl Iterator<Item = Candidate<'a>> + Clone,
    most: usize,
) -> Vec<usize> {
    let mut scored: Vec<(u64, usize)> = scored(what, candidates).collect();
    scored.sort_unstable_by_key(|scored| Reverse(*scored));
    scored.into_iter().take(most).map(|(_, at)| at).collect()
}

/// The entries that may own something: the score of each for `what`, and its position.
fn scored<'a, 'w, I>(
    what: &'w str,
    candidates: I,
) -> impl Iterator<Item = (u64, usize)> + use<'a, 'w, I>
where
    I: Iterator<Item = Candidate<'a>> + Clone,
{
    let all_slow = candidates.clone().all(|entry| entry.is_slow);
    let keeps_up = move |entry: &Candidate<'a>| all_slow || !entry.is_slow;
    let well = candidates.clone().filter(keeps_up);
    let largest = well.map(|entry| entry.capacity).max().unwrap_or(0);
    candidates
        .enumerate()
        .filter(move |(_, entry)| keeps_up(entry) && entry.capacity >= largest / 2)
        .map(move |(at, entry)| (rendezvous::score(what, entry.host), at))
}
