//! Chooses the entries that hold copies of a stream's record.

use std::cmp::Reverse;
use std::collections::HashMap;

use hollowsail_fleet::rendezvous;

use crate::StreamKey;

/// Number of copies beside the record of the entry that relays the stream.
pub const COPIES: usize = 2;
/// Number of entries that are asked for a record: some joined after it was written, or are new
/// holders of a stream whose former ones are gone.
pub const ASKED: usize = 4;
/// Number of groups of streams with the same holders. Bounds the peers that one entry talks to.
const GROUPS: u8 = 32;

/// An entry that can hold copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderCandidate<'a> {
    pub host: &'a str,
    pub hall: &'a str,
}

/// Indices of the candidates in the order in which they hold copies of a stream's record. All
/// entries get the same order; holders that follow each other are in different halls, as far as
/// there are several.
pub fn order(key: StreamKey, candidates: &[HolderCandidate<'_>]) -> Vec<usize> {
    let group = format!("streams/{}", key.0 .0[0] % GROUPS);
    let score = |index: &usize| rendezvous::score(&group, candidates[*index].host);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_cached_key(|index| Reverse(score(index)));
    let mut chosen_in_hall: HashMap<&str, usize> = HashMap::new();
    let mut ranked: Vec<(usize, usize)> = order
        .into_iter()
        .map(|index| {
            let chosen = chosen_in_hall.entry(candidates[index].hall).or_default();
            *chosen += 1;
            (*chosen, index)
        })
        .collect();
    // Stable: within a rank, the order by score remains.
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, index)| index).collect()
}
