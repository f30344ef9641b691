//! Assigns the targets and keys of a service to groups, each owned by one entry.
//!
//! Rendezvous hashing over the groups moves no target while the group count is unchanged; an
//! additional group receives only its own targets.

use crate::rendezvous;

/// Number of groups of about `size` targets each; at least one.
pub fn count(targets: usize, size: usize) -> usize {
    targets.div_ceil(size).max(1)
}

/// Index of the group of a target or key, out of `groups`.
pub fn group_of(key: &str, groups: usize) -> usize {
    let score = |index: &usize| rendezvous::score(key, *index);
    (0..groups).max_by_key(score).unwrap_or(0)
}
