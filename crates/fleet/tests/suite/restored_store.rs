//! Model-based test of a store that is restored from older copies.
//!
//! Targets and operators write to the store, which is restored from earlier states in new
//! epochs. Entries read lists, watch one epoch and adopt each other's state. Once the writers
//! have written their state again, all entries must hold exactly that.

use std::collections::{BTreeMap, BTreeSet};

use hollowsail_fleet::{EvacuatedHalls, Position, RecordMeta, RegistryTiming, TargetRegistry};
use proptest::prelude::*;

use crate::config;

const IDS: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 2;
const TIMING: RegistryTiming = RegistryTiming {
    return_ms: 2_000,
    lost_ms: 2_000,
    expiry_ms: 5_000,
};
/// Longer than any delay of `TIMING`.
const SETTLED_MS: u64 = 10_000;

/// A target's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TargetState {
    incarnation: u64,
    draining: bool,
}

/// The store: its items, its changes, and a copy from before each change.
#[derive(Debug, Clone, Default)]
struct Store {
    epoch: u64,
    items: BTreeMap<String, (u64, Option<TargetState>)>,
    /// Key and new value; `None` when the key was deleted.
    changes: Vec<(String, Option<Option<TargetState>>)>,
    copies: Vec<BTreeMap<String, (u64, Option<TargetState>)>>,
}

impl Store {
    fn at(&self) -> Position {
        Position::new(self.epoch, self.changes.len() as u64)
    }

    fn write(&mut self, key: &str, value: Option<Option<TargetState>>) {
        self.copies.push(self.items.clone());
        self.changes.push((key.to_string(), value));
        let revision = self.changes.len() as u64;
        match value {
            Some(state) => self.items.insert(key.to_string(), (revision, state)),
            None => self.items.remove(key),
        };
    }

    /// Restores the state before the last `lost` changes, in a new epoch.
    fn restore(&mut self, lost: usize) {
        let kept = self.changes.len().saturating_sub(lost);
        if kept < self.copies.len() {
            self.items = self.copies[kept].clone();
        }
        self.copies.truncate(kept);
        self.changes.truncate(kept);
        self.epoch += 1;
    }
}

/// One entry: its state, and the position from which its watch continues.
struct Entry {
    registry: TargetRegistry<(String, TargetState)>,
    halls: EvacuatedHalls,
    at: Option<Position>,
    /// Incarnations that it has seen draining.
    drained: BTreeSet<(String, u64)>,
}

impl Entry {
    fn new() -> Self {
        Entry {
            registry: TargetRegistry::new(TIMING),
            halls: EvacuatedHalls::default(),
            at: None,
            drained: BTreeSet::new(),
        }
    }

    fn put(&mut self, id: &str, state: TargetState, at: Position) {
        let meta = RecordMeta {
            at,
            incarnation: state.incarnation,
            draining: state.draining,
        };
        if state.draining {
            self.drained.insert((id.to_string(), state.incarnation));
        }
        self.registry.put(id, meta, (id.to_string(), state));
    }

    fn list(&mut self, store: &Store, now: u64) {
        if self.at.is_some_and(|at| at.epoch < store.epoch) {
            self.registry.epoch_began(now);
        }
        let as_of = store.at();
        let mut halls = Vec::new();
        let mut present = Vec::new();
        for (key, (revision, state)) in &store.items {
            let at = Position::new(store.epoch, *revision);
            match state {
                Some(state) => {
                    self.put(key, *state, at);
                    present.push(key.as_str());
                }
                None => halls.push((key.clone(), at)),
            }
        }
        self.registry.reconcile(&present, as_of, now);
        self.halls.apply_list(as_of, halls);
        self.at = Some(as_of);
    }

    /// Applies all changes of its epoch; reads the list in a new one.
    fn watch(&mut self, store: &Store, now: u64) {
        let Some(at) = self.at.filter(|at| at.epoch == store.epoch) else {
            return self.list(store, now);
        };
        let is_unsettled = self.registry.is_unsettled(now);
        for (number, (key, value)) in store.changes.iter().enumerate() {
            let change = Position::new(store.epoch, number as u64 + 1);
            if change <= at {
                continue;
            }
            let is_target = IDS.contains(&key.as_str());
            match value {
                Some(Some(state)) => self.put(key, *state, change),
                Some(None) => drop(self.halls.apply_evacuation(key, change)),
                None if is_target => drop(self.registry.apply_deletion(key, change, is_unsettled)),
                None => drop(self.halls.apply_reinstatement(key, change)),
            }
        }
        self.halls.advance_to(store.at());
        self.at = Some(store.at());
    }

    /// The state that it sends to a peer.
    fn snapshot(&self) -> Snapshot {
        let all = self.registry.all();
        Snapshot {
            at: self.at,
            records: all
                .map(|(at, (id, state))| (at, id.clone(), *state))
                .collect(),
            halls: self.halls.clone(),
        }
    }

    /// Adopts the state of a peer that is further ahead, as an entry without the store does.
    fn adopt(&mut self, snapshot: Snapshot, now: u64) {
        let Some(at) = snapshot.at.filter(|at| self.at < Some(*at)) else {
            return;
        };
        for (record_at, id, state) in &snapshot.records {
            self.put(id, *state, *record_at);
        }
        let present: Vec<&str> = snapshot
            .records
            .iter()
            .map(|(_, id, _)| id.as_str())
            .collect();
        self.registry.adopt(&present, at, now);
        self.halls.adopt(snapshot.halls);
    }

    fn usable(&self) -> Vec<TargetState> {
        self.registry.usable().map(|(_, state)| *state).collect()
    }
}

/// The state that one entry sends to another.
struct Snapshot {
    at: Option<Position>,
    records: Vec<(Position, String, TargetState)>,
    halls: EvacuatedHalls,
}

#[derive(Debug, Clone)]
enum Event {
    /// A target starts with a new incarnation.
    Start(usize),
    /// A target starts draining.
    Drain(usize),
    /// A target's record is removed.
    Remove(usize),
    /// Operators evacuate a hall; the second time they reinstate it for good.
    Hall(usize),
    /// The store is restored without its last changes.
    Restore(usize),
    /// The writers write again what the store has lost.
    Rewrite,
    List(usize),
    Watch(usize),
    /// One entry adopts the state of another.
    Peer(usize, usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0..IDS.len();
    let entry = 0..ENTRIES;
    prop_oneof![
        3 => id.clone().prop_map(Event::Start),
        2 => id.clone().prop_map(Event::Drain),
        2 => id.prop_map(Event::Remove),
        3 => (0..HALLS.len()).prop_map(Event::Hall),
        2 => (0..5usize).prop_map(Event::Restore),
        1 => Just(Event::Rewrite),
        3 => entry.clone().prop_map(Event::List),
        4 => entry.clone().prop_map(Event::Watch),
        2 => (entry.clone(), entry).prop_map(|(to, from)| Event::Peer(to, from)),
        2 => (0..4_000u64).prop_map(Event::Wait),
    ]
}

const HALLS: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];

/// The writers' own state, independent of the store.
#[derive(Default)]
struct Truth {
    incarnations: u64,
    targets: BTreeMap<String, TargetState>,
    halls: BTreeSet<String>,
    /// Halls that were reinstated.
    reinstated: BTreeSet<String>,
}

impl Truth {
    /// Writes every key whose value in the store differs.
    fn rewrite(&self, store: &mut Store) {
        for id in IDS {
            let stored = store.items.get(id).and_then(|(_, state)| *state);
            let expected = self.targets.get(id).copied();
            if stored != expected {
                store.write(id, expected.map(Some));
            }
        }
        for hall in HALLS {
            let expected = self.halls.contains(hall);
            if store.items.contains_key(hall) != expected {
                store.write(hall, expected.then_some(None));
            }
        }
    }
}

fn apply_event(
    event: &Event,
    store: &mut Store,
    truth: &mut Truth,
    entries: &mut [Entry],
    now: &mut u64,
) {
    match event {
        Event::Start(id) => {
            truth.incarnations += 1;
            let state = TargetState {
                incarnation: truth.incarnations,
                draining: false,
            };
            truth.targets.insert(IDS[*id].to_string(), state);
            store.write(IDS[*id], Some(Some(state)));
        }
        Event::Drain(id) => {
            if let Some(state) = truth.targets.get_mut(IDS[*id]) {
                state.draining = true;
                store.write(IDS[*id], Some(Some(*state)));
            }
        }
        Event::Remove(id) => {
            if truth.targets.remove(IDS[*id]).is_some() {
                store.write(IDS[*id], None);
            }
        }
        Event::Hall(hall) => {
            let name = HALLS[*hall];
            if truth.halls.remove(name) {
                truth.reinstated.insert(name.to_string());
                store.write(name, None);
            } else if !truth.reinstated.contains(name) {
                truth.halls.insert(name.to_string());
                store.write(name, Some(None));
            }
        }
        Event::Restore(lost) => store.restore(*lost),
        Event::Rewrite => truth.rewrite(store),
        Event::List(entry) => entries[*entry].list(store, *now),
        Event::Watch(entry) => entries[*entry].watch(store, *now),
        Event::Peer(to, from) if to != from => {
            let snapshot = entries[*from].snapshot();
            entries[*to].adopt(snapshot, *now);
        }
        Event::Peer(..) => {}
        Event::Wait(ms) => *now += ms,
    }
}

proptest! {
    #![proptest_config(config(0x33))]

    #[test]
    fn restore_never_reverts_drains_or_evacuations(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let (mut store, mut truth, mut now) = (Store::default(), Truth::default(), 1_000);
        store.epoch = 1;
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::new()).collect();
        for event in &events {
            let known: Vec<Vec<String>> = entries
                .iter()
                .map(|entry| entry.halls.names().map(str::to_string).collect())
                .collect();
            apply_event(event, &mut store, &mut truth, &mut entries, &mut now);
            for (entry, known) in entries.iter_mut().zip(known) {
                entry.registry.settle(now);
                entry.registry.promote_restored(now);
                for (id, state) in entry.registry.usable() {
                    let drained = entry.drained.contains(&(id.clone(), state.incarnation));
                    prop_assert!(!drained, "{id} is draining but usable after {event:?}");
                }
                for hall in known.iter().filter(|hall| truth.halls.contains(*hall)) {
                    prop_assert!(entry.halls.contains(hall), "{hall} is no longer evacuated after {event:?}");
                }
            }
        }
        truth.rewrite(&mut store);
        for entry in &mut entries {
            entry.list(&store, now);
            now += SETTLED_MS;
            entry.watch(&store, now);
            entry.registry.settle(now);
            entry.registry.promote_restored(now);
            entry.halls.drop_unconfirmed();
            let usable = truth.targets.values().filter(|state| !state.draining);
            let usable: Vec<TargetState> = usable.copied().collect();
            prop_assert_eq!(entry.usable(), usable);
            let halls: Vec<&str> = entry.halls.names().collect();
            let evacuated: Vec<&str> = truth.halls.iter().map(String::as_str).collect();
            prop_assert_eq!(halls, evacuated);
        }
    }
}
