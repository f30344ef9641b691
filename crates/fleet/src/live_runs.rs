//! Tracks the live run of each host, from the store's list and from the hosts' own messages.
//!
//! After a process restarts, the store lists its previous run until the host's record is
//! written again. Until then, a run that sent a message replaces the listed one.

use std::collections::HashMap;
use std::hash::Hash;

/// Live runs by id.
#[derive(Debug)]
pub struct LiveRuns<K, R> {
    listed: Vec<R>,
    /// Observed runs by the id of the run that each replaces.
    successors: HashMap<K, R>,
    id_of: fn(&R) -> K,
}

impl<K: Copy + Eq + Hash, R: Clone> LiveRuns<K, R> {
    /// Without any runs; `id_of` returns the id of a run.
    pub fn new(id_of: fn(&R) -> K) -> Self {
        LiveRuns {
            listed: Vec::new(),
            successors: HashMap::new(),
            id_of,
        }
    }

    /// Sets the runs that the store lists, and drops the successors of runs that aren't
    /// reachable from it.
    pub fn set_listed(&mut self, listed: Vec<R>) {
        self.listed = listed;
        let mut reachable: Vec<K> = self.listed.iter().map(self.id_of).collect();
        let mut index = 0;
        while let Some(run) = reachable.get(index).copied() {
            let next = self.successors.get(&run).map(self.id_of);
            reachable.extend(next);
            index += 1;
        }
        self.successors.retain(|old, _| reachable.contains(old));
    }

    /// Records that run `new` was observed at the host whose known run was `old`.
    pub fn observed(&mut self, old: K, new: R) {
        // The run observed last is alive, so it has no successor.
        self.successors.remove(&(self.id_of)(&new));
        self.successors.insert(old, new);
    }

    /// The newest known run of each listed host.
    pub fn live(&self) -> Vec<R> {
        self.listed.iter().map(|run| self.newest(run)).collect()
    }

    fn newest(&self, listed: &R) -> R {
        let mut newest = listed;
        while let Some(next) = self.successors.get(&(self.id_of)(newest)) {
            newest = next;
        }
        newest.clone()
    }
}
