//! Registry of the targets, fed with the store's records, that tolerates outages of the store.
//!
//! A removed record means that its target is gone, except during an outage or shortly after
//! it: then the target stays as [`State::Unconfirmed`] until [`TargetRegistry::settle`] removes it.
//! After a restore from an older copy, a record that had been removed before makes its target
//! [`State::Restored`], not usable until the record is written again or still exists after
//! its expiry.

mod entry;
mod removed;

use std::collections::{BTreeMap, HashSet};

use self::entry::{is_restored_copy, Entry, State};
use self::removed::RemovedIncarnations;

use crate::watch_pause::watch_pause;
use crate::{Millis, Position};

/// Delays after the store's return, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct RegistryTiming {
    /// Time from the store's return until a missing record means that its target is gone.
    pub return_ms: Millis,
    /// The same for a record that the store lost when it was restored from an older copy.
    pub lost_ms: Millis,
    /// Time after which the record of a target that is gone has expired.
    pub expiry_ms: Millis,
}

/// Metadata of a target's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordMeta {
    /// Position of its last change in the store.
    pub at: Position,
    /// Incarnation of the target that wrote it; later ones are greater.
    pub incarnation: u64,
    /// The target takes no new work.
    pub draining: bool,
}

/// Whether the store answers this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    Unreachable,
    /// Since this time; 0 when it never was unreachable.
    Reachable(Millis),
}

/// Targets by id.
#[derive(Debug, Clone)]
pub struct TargetRegistry<R> {
    timing: RegistryTiming,
    entries: BTreeMap<String, Entry<R>>,
    /// Number of changes of entries so far.
    changes: u64,
    store: StoreState,
    /// When all records were last read.
    read_at: Millis,
    /// When the store was last restored from an older copy, as far as this entry has heard.
    epoch_began_at: Option<Millis>,
    /// The newest epoch of any list, also of a peer's.
    newest_epoch: u64,
    /// Position of the first full list of the newest epoch.
    listed: Position,
    removed: RemovedIncarnations,
}

impl<R: PartialEq> TargetRegistry<R> {
    /// An empty registry; the store is assumed reachable.
    pub fn new(timing: RegistryTiming) -> Self {
        TargetRegistry {
            timing,
            entries: BTreeMap::new(),
            changes: 0,
            store: StoreState::Reachable(0),
            read_at: 0,
            epoch_began_at: None,
            newest_epoch: 0,
            listed: Position::default(),
            removed: RemovedIncarnations::default(),
        }
    }

    /// Records that the store stopped answering. True when it was reachable before.
    pub fn store_unreachable(&mut self) -> bool {
        let was_reachable = self.store != StoreState::Unreachable;
        self.store = StoreState::Unreachable;
        was_reachable
    }

    /// Records that the store answers. True when it was unreachable before.
    pub fn store_reachable(&mut self, now: Millis) -> bool {
        let was_unreachable = self.store == StoreState::Unreachable;
        if was_unreachable {
            self.store = StoreState::Reachable(now.max(1));
        }
        was_unreachable
    }

    /// Records that the store was restored from an older copy: for a while neither missing
    /// records nor records of removed targets are conclusive.
    pub fn epoch_began(&mut self, now: Millis) {
        if let StoreState::Reachable(since) = &mut self.store {
            *since = now.max(1);
        }
        self.epoch_began_at = Some(now);
    }

    /// Records an outage of the store, ended about now, that another entry reported.
    pub fn outage_reported(&mut self, now: Millis) {
        self.outage_ended(now, now);
    }

    /// Records an outage of the store that another entry reported, and after which its missing records
    /// are final at `final_at`.
    pub fn outage_reported_until(&mut self, now: Millis, final_at: Millis) {
        self.outage_ended(now, final_at.saturating_sub(self.timing.return_ms));
    }

    fn outage_ended(&mut self, now: Millis, ended_at: Millis) {
        if !self.is_unsettled(now) {
            self.store_unreachable();
            self.store_reachable(ended_at);
        }
    }

    /// True while a missing record doesn't mean that its target is gone.
    pub fn is_unsettled(&self, now: Millis) -> bool {
        match self.store {
            StoreState::Unreachable => true,
            StoreState::Reachable(0) => false,
            StoreState::Reachable(since) => now < since + self.timing.return_ms,
        }
    }

    /// Applies a record. True when the registry changed.
    pub fn put(&mut self, id: &str, meta: RecordMeta, record: R) -> bool {
        let known = self.entries.get(id);
        let is_older =
            |known: &Entry<R>| (meta.incarnation, meta.at) < (known.incarnation, known.at);
        if known.is_some_and(is_older) || (known.is_none() && self.removed.is_outdated(id, &meta)) {
            // An outdated record still shows that its incarnation is draining.
            return meta.draining && self.mark_draining(id, meta.incarnation);
        }
        let same = known.filter(|known| known.incarnation == meta.incarnation);
        let is_copy = same.is_some_and(|known| is_restored_copy(known, &meta, &record));
        let state = match known {
            Some(_) => same.map_or(meta.state(), |known| {
                let is_of_new_epoch = known.at.epoch < meta.at.epoch;
                let may_be_copy = is_copy || is_of_new_epoch && self.may_be_copy(&meta);
                known.state_after(&meta, may_be_copy)
            }),
            None => self.state_of_unknown(id, &meta),
        };
        // A peer may list what is known already.
        if same.is_some_and(|known| known.at == meta.at && known.state == state) {
            return false;
        }
        let changed = known.is_none_or(|known| known.state != state || known.record != record);
        let entry = Entry {
            record,
            incarnation: meta.incarnation,
            at: same.filter(|_| is_copy).map_or(meta.at, |known| known.at),
            missing_at: same.map_or(Position::default(), |known| known.missing_at),
            state,
        };
        self.entries.insert(id.to_string(), entry);
        self.changes += 1;
        changed
    }

    /// Marks an incarnation as draining, whatever its record says. True when the registry changed.
    pub fn mark_draining(&mut self, id: &str, incarnation: u64) -> bool {
        if let Some(known) = self.entries.get_mut(id) {
            let is_new = known.incarnation == incarnation && known.state != State::Draining;
            if is_new {
                known.state = State::Draining;
                self.changes += 1;
            }
            return is_new;
        }
        self.removed.mark_draining(id, incarnation);
        false
    }

    /// Marks a target whose record of a restored store had been removed before, according to a peer.
    /// `at` is the record's position; a later record is the target's own. True when the registry
    /// changed.
    pub fn mark_restored(&mut self, id: &str, incarnation: u64, at: Position) -> bool {
        let known = self.entries.get_mut(id);
        let known = known.filter(|known| known.incarnation == incarnation && known.at == at);
        let Some(known) = known.filter(|known| known.state == State::Recorded) else {
            return false;
        };
        known.state = State::Restored;
        self.changes += 1;
        true
    }

    /// True unless the record was written since the store was restored: until the first full list of the
    /// epoch, or by that list, it may be part of the older copy, which may be of any age.
    fn may_be_copy(&self, meta: &RecordMeta) -> bool {
        self.listed.epoch < meta.at.epoch || meta.at <= self.listed
    }

    /// State that a record gives to a target that isn't registered.
    fn state_of_unknown(&self, id: &str, meta: &RecordMeta) -> State {
        let removed = self.removed.last(id);
        let removed = removed.filter(|removed| {
            removed.incarnation == meta.incarnation && removed.at.epoch < meta.at.epoch
        });
        match removed.filter(|_| self.may_be_copy(meta)) {
            Some(removed) if removed.was_draining => State::Draining,
            Some(_) if !meta.draining => State::Restored,
            _ => meta.state(),
        }
    }

    /// Drops a target whose record is malformed as of a position. True when the registry
    /// changed.
    pub fn mark_malformed(&mut self, id: &str, at: Position) -> bool {
        let known = self.entries.get(id);
        let is_newer = known.is_some_and(|known| known.at <= at);
        self.changes += u64::from(is_newer);
        is_newer && self.entries.remove(id).is_some()
    }

    /// Applies the removal of a record. `is_unsettled` is the result of
    /// [`TargetRegistry::is_unsettled`] at the source of the change. True when the target was
    /// removed.
    pub fn apply_deletion(&mut self, id: &str, at: Position, is_unsettled: bool) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.at > at {
            return false;
        }
        entry.missing_at = entry.missing_at.max(at);
        if is_unsettled && entry.state.is_usable() {
            entry.state = State::Unconfirmed;
            self.changes += 1;
            return false;
        }
        self.remove(id);
        true
    }

    /// Applies the full list of the ids with a record, as of a position. Returns the ids of
    /// the targets removed.
    pub fn reconcile(&mut self, present: &[&str], at: Position, now: Millis) -> Vec<String> {
        self.read_at = now;
        self.newest_epoch = self.newest_epoch.max(at.epoch);
        if self.listed.epoch < at.epoch {
            self.listed = at;
        }
        let is_unsettled = self.is_unsettled(now);
        let present: HashSet<&str> = present.iter().copied().collect();
        self.ids_where(|id, _| !present.contains(id))
            .into_iter()
            .filter(|id| !self.mark_lost(id, at) && self.apply_deletion(id, at, is_unsettled))
            .collect()
    }

    /// Marks a target unconfirmed if the restored store may have lost its record, because it
    /// was last written in an earlier epoch than the list's. True when it was marked.
    fn mark_lost(&mut self, id: &str, at: Position) -> bool {
        let entry = self.entries.get_mut(id);
        let usable = entry.filter(|entry| entry.at.epoch < at.epoch && entry.state.is_usable());
        if let Some(entry) = usable {
            entry.state = State::Unconfirmed;
            entry.missing_at = entry.missing_at.max(at);
            self.changes += 1;
            return true;
        }
        false
    }

    /// Applies the full list of a peer that reaches the store, whatever the store's state
    /// here. An epoch that only the peer has heard of begins now. Returns the ids of the targets
    /// removed.
    pub fn adopt(&mut self, present: &[&str], at: Position, now: Millis) -> Vec<String> {
        if self.newest_epoch < at.epoch {
            self.newest_epoch = at.epoch;
            self.epoch_began_at = Some(now);
        }
        let present: HashSet<&str> = present.iter().copied().collect();
        let missing = self.ids_where(|id, entry| entry.at <= at && !present.contains(id));
        for id in &missing {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.missing_at = entry.missing_at.max(at);
            }
        }
        self.remove_all(&missing);
        missing
    }

    /// Takes over what a peer's list says of records that are missing without being final, each with
    /// the position at which it was found missing. The list is to be adopted before. True when the
    /// registry changed.
    pub fn adopt_missing<'a>(
        &mut self,
        missing: impl IntoIterator<Item = (&'a str, Position)>,
    ) -> bool {
        let before = self.changes;
        for (id, at) in missing {
            let entry = self.entries.get_mut(id);
            if let Some(entry) = entry.filter(|entry| entry.at <= at) {
                entry.missing_at = entry.missing_at.max(at);
                if entry.state == State::Recorded {
                    entry.state = State::Unconfirmed;
                    self.changes += 1;
                }
            }
        }
        self.changes > before
    }

    /// Targets whose record is missing, which isn't final yet, each with the position at which it was
    /// found missing.
    pub fn missing(&self) -> impl Iterator<Item = (&str, Position)> {
        let entries = self.entries.iter();
        let missing = entries.filter(|(_, entry)| entry.state == State::Unconfirmed);
        missing.map(|(id, entry)| (id.as_str(), entry.missing_at))
    }

    /// Pause of the watch on these records, at most `longest`, in milliseconds; see
    /// [`watch_pause`].
    pub fn watch_pause(&self, now: Millis, longest: Millis) -> Millis {
        watch_pause(now.saturating_sub(self.read_at), longest)
    }

    /// Makes restored targets usable once the record of a target that is gone would have expired.
    /// True when the registry changed.
    pub fn promote_restored(&mut self, now: Millis) -> bool {
        if self.promotes_at().is_none_or(|at| now < at) {
            return false;
        }
        let restored = self.entries.values_mut();
        let restored = restored.filter(|entry| entry.state == State::Restored);
        restored.for_each(|entry| entry.state = State::Recorded);
        self.changes += 1;
        true
    }

    /// When [`TargetRegistry::promote_restored`] is next due; `None` without restored targets.
    pub fn promotes_at(&self) -> Option<Millis> {
        let mut entries = self.entries.values();
        let has_restored = entries.any(|entry| entry.state == State::Restored);
        // Without a known beginning of the epoch, counts from the last full read.
        let began = self.epoch_began_at.unwrap_or(self.read_at);
        has_restored.then_some(began + self.timing.expiry_ms)
    }

    /// Removes unconfirmed targets that didn't write their record again in time. Returns their
    /// ids.
    pub fn settle(&mut self, now: Millis) -> Vec<String> {
        if self.is_unsettled(now) {
            return Vec::new();
        }
        let settled = self.ids_where(|_, entry| {
            entry.state == State::Unconfirmed && self.lost_until(entry).is_none_or(|at| at <= now)
        });
        self.remove_all(&settled);
        settled
    }

    /// Until when a record that the restored store lost may be written again; `None` if it
    /// wasn't lost that way.
    fn lost_until(&self, entry: &Entry<R>) -> Option<Millis> {
        let is_lost = entry.at.epoch < self.listed.epoch;
        let began = self.epoch_began_at.filter(|_| is_lost)?;
        Some(began + self.timing.lost_ms)
    }

    fn ids_where(&self, predicate: impl Fn(&str, &Entry<R>) -> bool) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(id, entry)| predicate(id, entry))
            .map(|(id, _)| id.clone())
            .collect()
    }

    fn remove_all(&mut self, ids: &[String]) {
        for id in ids {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.removed.add(id, &entry);
            self.changes += 1;
        }
    }

    /// When [`TargetRegistry::settle`] is next due; `None` without unconfirmed targets or while the
    /// store is unreachable.
    pub fn settles_at(&self) -> Option<Millis> {
        let StoreState::Reachable(since) = self.store else {
            return None;
        };
        let settles = since + self.timing.return_ms;
        let unconfirmed = self.entries.values();
        let unconfirmed = unconfirmed.filter(|entry| entry.state == State::Unconfirmed);
        unconfirmed
            .map(|entry| self.lost_until(entry).unwrap_or(0).max(settles))
            .min()
    }

    /// Targets that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &R> {
        self.usable_with_positions().map(|(_, record)| record)
    }

    /// Targets that may get new work, each with the position of its record's last change.
    pub fn usable_with_positions(&self) -> impl Iterator<Item = (Position, &R)> {
        let usable = self.entries.values();
        let usable = usable.filter(|entry| entry.state.is_usable());
        usable.map(|entry| (entry.at, &entry.record))
    }

    /// Draining targets.
    pub fn draining(&self) -> impl Iterator<Item = &R> {
        let entries = self.entries.values();
        let draining = entries.filter(|entry| entry.state == State::Draining);
        draining.map(|entry| &entry.record)
    }

    /// Targets whose record had been removed before the store was restored, each with the record's
    /// position.
    pub fn restored(&self) -> impl Iterator<Item = (Position, &R)> {
        let entries = self.entries.values();
        let restored = entries.filter(|entry| entry.state == State::Restored);
        restored.map(|entry| (entry.at, &entry.record))
    }

    /// Every registered target with the position of its record's last change. Includes draining
    /// and restored ones; the receiving entry decides on them from its own state.
    pub fn all(&self) -> impl Iterator<Item = (Position, &R)> {
        self.entries.values().map(|entry| (entry.at, &entry.record))
    }

    /// Number of changes so far. Values derived from the registry are valid while it is
    /// unchanged.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Number of registered targets, draining ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no target is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
