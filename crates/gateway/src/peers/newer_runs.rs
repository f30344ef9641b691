//! Runs of entries that peers heard of before the store told of them.
//!
//! When a process starts again its host's record stays that of the run before
//! until control hears of the new one. A message meant for the old run is turned
//! away by the new one with its own record; that is kept here until the store's
//! word has caught up.

use std::cell::RefCell;
use std::collections::HashMap;

use super::record::{PeerId, PeerRecord};

/// The new run of a host, by the run that it took the place of.
#[derive(Default)]
pub struct NewerRuns(RefCell<HashMap<PeerId, PeerRecord>>);

impl NewerRuns {
    /// `new` was heard at the host whose record names `old`.
    pub fn insert(&self, old: PeerId, new: PeerRecord) {
        let mut newer = self.0.borrow_mut();
        // Whoever was heard last is alive, whatever was thought of it.
        newer.remove(&new.id);
        newer.insert(old, new);
    }

    /// Live entries with newer runs in the places of those before; forgets runs
    /// that are no longer listed.
    pub fn put_in_place(&self, live: &[PeerRecord]) -> Vec<PeerRecord> {
        let mut newer = self.0.borrow_mut();
        let is_used = |old: &PeerId, newer: &HashMap<PeerId, PeerRecord>| {
            live.iter().any(|peer| peer.id == *old) || newer.values().any(|new| new.id == *old)
        };
        let unused: Vec<PeerId> = newer
            .keys()
            .filter(|old| !is_used(old, &newer))
            .copied()
            .collect();
        unused.iter().for_each(|old| drop(newer.remove(old)));
        let newest = |peer: &PeerRecord| {
            let mut newest = peer;
            while let Some(next) = newer.get(&newest.id) {
                newest = next;
            }
            newest.clone()
        };
        live.iter().map(newest).collect()
    }
}
