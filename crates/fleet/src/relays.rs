//! Chooses the entries that relay connections to targets for an entry that doesn't reach them.

use std::cmp::Reverse;

use crate::rendezvous;

/// A hall and its region, if that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    pub hall: &'a str,
    pub region: Option<&'a str>,
}

/// An entry that may relay connections.
#[derive(Debug, Clone, Copy)]
pub struct RelayCandidate<'a> {
    pub host: &'a str,
    pub place: Place<'a>,
}

impl Place<'_> {
    fn is_same_region(&self, other: &Place<'_>) -> bool {
        let is_same_region = self.region.is_some() && self.region == other.region;
        is_same_region || self.hall == other.hall
    }
}

/// Indices of the candidates that may relay connections from one place to another, best first.
///
/// A relay is in the region of either end, so that no other region sees the data. One in the hall
/// of either end is better, since the data cross no further halls. `key` spreads connections over
/// candidates that are equally good.
pub fn order(
    candidates: &[RelayCandidate<'_>],
    from: Place<'_>,
    to: Place<'_>,
    key: &str,
) -> Vec<usize> {
    let may_relay = |candidate: &RelayCandidate<'_>| {
        candidate.place.is_same_region(&from) || candidate.place.is_same_region(&to)
    };
    let is_near =
        |candidate: &RelayCandidate<'_>| [from.hall, to.hall].contains(&candidate.place.hall);
    let mut eligible: Vec<usize> = (0..candidates.len())
        .filter(|index| may_relay(&candidates[*index]))
        .collect();
    eligible.sort_by_cached_key(|index| {
        let candidate = &candidates[*index];
        Reverse((is_near(candidate), rendezvous::score(key, candidate.host)))
    });
    eligible
}
