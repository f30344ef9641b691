//! State of the lists that this entry follows in the store, for operators.
//!
//! The loops of [`crate::control`] record here what they do and how far they are. A list that stays
//! behind a new epoch of the store is logged; ages and epochs are exported as gauges.

use std::sync::{Mutex, MutexGuard};

use hollowsail_fleet::{ListFreshness, Position};
use hollowsail_observe::events;
use hollowsail_routing::Millis;

use crate::feed::KeyGroup;
use crate::lock::lock;
use crate::log::Log;
use crate::metrics;

/// What the loop that follows a list does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Activity {
    /// Reads the whole list.
    #[default]
    Reading,
    /// Waits for changes, or pauses between two waits.
    Watching,
    /// Pauses after a failed call.
    BackingOff,
    /// Waits until the store is reachable.
    AwaitingStore,
}

impl Activity {
    fn name(self) -> &'static str {
        match self {
            Activity::Reading => "reading",
            Activity::Watching => "watching",
            Activity::BackingOff => "backing_off",
            Activity::AwaitingStore => "awaiting_store",
        }
    }
}

/// State of one list.
#[derive(Debug, Clone, Copy, Default)]
struct ListState {
    freshness: ListFreshness,
    activity: Activity,
}

/// States of all lists.
#[derive(Default)]
pub struct ListStates([Mutex<ListState>; KeyGroup::COUNT]);

impl ListStates {
    fn list(&self, keys: KeyGroup) -> MutexGuard<'_, ListState> {
        lock(&self.0[keys.position()])
    }

    /// Sets what the loop that follows a list does.
    pub fn set_activity(&self, keys: KeyGroup, activity: Activity) {
        self.list(keys).activity = activity;
    }

    /// Records that a list was complete up to a position.
    pub fn confirm(&self, keys: KeyGroup, now: Millis, at: Position) {
        self.list(keys).freshness.confirm(now, at);
    }

    /// Position up to which a list is complete, and the time since that was confirmed; `None` before
    /// the first list.
    pub fn freshness(&self, keys: KeyGroup, now: Millis) -> Option<(Position, Millis)> {
        let freshness = self.list(keys).freshness;
        Some((freshness.at(), freshness.age(now)?))
    }

    /// Exports all lists, and logs each that has stayed behind the store's newest epoch.
    pub fn report(&self, log: &Log, now: Millis, newest_epoch: u64) {
        metrics::set_store_epoch(newest_epoch);
        for keys in KeyGroup::ALL {
            let mut list = self.list(keys);
            let behind_ms = list.freshness.check(now, newest_epoch);
            let ListState {
                freshness,
                activity,
            } = *list;
            drop(list);
            metrics::set_list_followed(keys.name(), activity == Activity::Watching);
            let Some(age_ms) = freshness.age(now) else {
                continue;
            };
            metrics::set_list(keys.name(), freshness.at().epoch, age_ms);
            if let Some(behind_ms) = behind_ms {
                let fields = format_args!(
                    "list={} at={} era={newest_epoch} behind_ms={behind_ms} age_ms={age_ms} doing={}",
                    keys.name(),
                    freshness.at(),
                    activity.name()
                );
                log.line(events::LIST_BEHIND, fields);
            }
        }
    }
}
