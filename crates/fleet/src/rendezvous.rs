//! Rendezvous hashing: every entry makes the same choice without coordination.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Score of a candidate for a key; candidates with the highest scores are chosen.
///
/// `DefaultHasher::new` has fixed keys, so all entries of one build compute the same score.
pub fn score(key: &str, candidate: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    candidate.hash(&mut hasher);
    hasher.finish()
}

/// The `count` candidates with the highest scores for `key`.
pub fn choose<T: Hash + Copy>(
    key: &str,
    candidates: impl Iterator<Item = T>,
    count: usize,
) -> Vec<T> {
    let mut scored: Vec<_> = candidates.map(|c| (score(key, c), c)).collect();
    scored.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.into_iter().take(count).map(|(_, c)| c).collect()
}
