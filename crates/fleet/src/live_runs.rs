//! Which run of each host is live: as the store lists them, and as hosts were heard.
//!
//! When a process starts again its host's record stays that of the run before until
//! the store tells of the new one. A run that was heard takes that one's place until
//! the store's word has caught up.

use std::collections::HashMap;
use std::hash::Hash;

/// Live runs: what is known of each, by its id.
#[derive(Debug)]
pub struct LiveRuns<K, R> {
    listed: Vec<R>,
    /// The run that was heard at the host whose record names another.
    newer: HashMap<K, R>,
    id_of: fn(&R) -> K,
}

impl<K: Copy + Eq + Hash, R: Clone> LiveRuns<K, R> {
    /// None yet; `id_of` names a run.
    pub fn new(id_of: fn(&R) -> K) -> Self {
        LiveRuns {
            listed: Vec::new(),
            newer: HashMap::new(),
            id_of,
        }
    }

    /// Takes the runs that the store lists; forgets what was heard in the place of
    /// runs that it lists no longer.
    pub fn take_listed(&mut self, listed: Vec<R>) {
        self.listed = listed;
        let mut stands_for: Vec<K> = self.listed.iter().map(self.id_of).collect();
        let mut at = 0;
        while let Some(run) = stands_for.get(at).copied() {
            let next = self.newer.get(&run).map(self.id_of);
            stands_for.extend(next);
            at += 1;
        }
        self.newer.retain(|old, _| stands_for.contains(old));
    }

    /// `new` was heard at the host whose run was taken to be `old`.
    pub fn heard(&mut self, old: K, new: R) {
        // Whoever was heard last is alive, whatever was thought of it.
        self.newer.remove(&(self.id_of)(&new));
        self.newer.insert(old, new);
    }

    /// The newest known run of each host that the store lists.
    pub fn live(&self) -> Vec<R> {
        self.listed.iter().map(|run| self.newest(run)).collect()
    }

    fn newest(&self, listed: &R) -> R {
        let mut newest = listed;
        while let Some(next) = self.newer.get(&(self.id_of)(newest)) {
            newest = next;
        }
        newest.clone()
    }
}
