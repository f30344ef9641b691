//! Which group of a service's targets a target or a key belongs to.
//!
//! Every group is one entry's, which knows all that is known of its targets, so a target
//! should stay in its group whatever other ones come and go. Rendezvous hashing over the
//! groups does that: while their count stays, none moves, and where it grows by one only
//! the new group's own come to it.

use crate::rendezvous;

/// Groups of about `size` targets each that a service with so many targets has; at least
/// one.
pub fn count(targets: usize, size: usize) -> usize {
    targets.div_ceil(size).max(1)
}

/// The group, of so many, that a target or a key belongs to.
pub fn place_of(key: &str, groups: usize) -> usize {
    let score = |at: &usize| rendezvous::score(key, *at);
    (0..groups).max_by_key(score).unwrap_or(0)
}
