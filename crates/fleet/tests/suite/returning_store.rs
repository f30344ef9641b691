//! A store that comes back from older copies, against what its writers said last.
//!
//! Targets and operators write; the store keeps its history, and now and then comes back
//! from an older point of it in a new era. Entries hear it by lists, by watches that go on
//! in their era alone, and from each other. In the end writers have written again what
//! holds: then all entries know just that.

use std::collections::{BTreeMap, BTreeSet};

use hollowsail_fleet::{BookTiming, EmptiedHalls, Position, TargetBook, Told};
use proptest::prelude::*;

use crate::config;

const IDS: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 2;
const TIMING: BookTiming = BookTiming {
    return_ms: 2_000,
    lost_ms: 2_000,
    lapse_ms: 5_000,
};
/// Longer than any of these.
const LONG_MS: u64 = 10_000;

/// What a target says: which start, and whether it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Says {
    start: u64,
    draining: bool,
}

/// The store: what lies there, its changes, and a copy from before each.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    items: BTreeMap<String, (u64, Option<Says>)>,
    /// Key, and what was put there; `None` when it was deleted.
    changes: Vec<(String, Option<Option<Says>>)>,
    copies: Vec<BTreeMap<String, (u64, Option<Says>)>>,
}

impl Store {
    fn at(&self) -> Position {
        Position::new(self.era, self.changes.len() as u64)
    }

    fn write(&mut self, key: &str, value: Option<Option<Says>>) {
        self.copies.push(self.items.clone());
        self.changes.push((key.to_string(), value));
        let revision = self.changes.len() as u64;
        match value {
            Some(says) => self.items.insert(key.to_string(), (revision, says)),
            None => self.items.remove(key),
        };
    }

    /// Comes back as it was so many changes ago.
    fn restore(&mut self, lost: usize) {
        let kept = self.changes.len().saturating_sub(lost);
        if kept < self.copies.len() {
            self.items = self.copies[kept].clone();
        }
        self.copies.truncate(kept);
        self.changes.truncate(kept);
        self.era += 1;
    }
}

/// One entry: what it knows, and where its watch goes on.
struct Entry {
    book: TargetBook<(String, Says)>,
    halls: EmptiedHalls,
    at: Option<Position>,
    /// Starts that it has known to leave.
    left: BTreeSet<(String, u64)>,
}

impl Entry {
    fn new() -> Self {
        Entry {
            book: TargetBook::new(TIMING),
            halls: EmptiedHalls::default(),
            at: None,
            left: BTreeSet::new(),
        }
    }

    fn put(&mut self, id: &str, says: Says, at: Position) {
        let told = Told {
            at,
            start: says.start,
            draining: says.draining,
        };
        if says.draining {
            self.left.insert((id.to_string(), says.start));
        }
        self.book.put(id, told, (id.to_string(), says));
    }

    fn list(&mut self, store: &Store, now: u64) {
        if self.at.is_some_and(|at| at.era < store.era) {
            self.book.era_began(now);
        }
        let as_of = store.at();
        let mut halls = Vec::new();
        let mut present = Vec::new();
        for (key, (revision, says)) in &store.items {
            let at = Position::new(store.era, *revision);
            match says {
                Some(says) => {
                    self.put(key, *says, at);
                    present.push(key.as_str());
                }
                None => halls.push((key.clone(), at)),
            }
        }
        self.book.reconcile(&present, as_of, now);
        self.halls.take_list(as_of, halls);
        self.at = Some(as_of);
    }

    /// Hears all that changed in its era; the list of another one else.
    fn watch(&mut self, store: &Store, now: u64) {
        let Some(at) = self.at.filter(|at| at.era == store.era) else {
            return self.list(store, now);
        };
        let is_unsettled = self.book.is_unsettled(now);
        for (number, (key, value)) in store.changes.iter().enumerate() {
            let change = Position::new(store.era, number as u64 + 1);
            if change <= at {
                continue;
            }
            let is_target = IDS.contains(&key.as_str());
            match value {
                Some(Some(says)) => self.put(key, *says, change),
                Some(None) => drop(self.halls.emptied(key, change)),
                None if is_target => drop(self.book.deleted(key, change, is_unsettled)),
                None => drop(self.halls.taken_back(key, change)),
            }
        }
        self.halls.told_until(store.at());
        self.at = Some(store.at());
    }

    /// What it tells a peer that knows less.
    fn told(&self) -> Account {
        let all = self.book.all();
        Account {
            at: self.at,
            records: all
                .map(|(at, (id, says))| (at, id.clone(), *says))
                .collect(),
            halls: self.halls.clone(),
        }
    }

    /// Hears a peer that knows more, as an entry does that the store turns away.
    fn adopt(&mut self, told: Account) {
        let Some(at) = told.at.filter(|at| self.at < Some(*at)) else {
            return;
        };
        for (record_at, id, says) in &told.records {
            self.put(id, *says, *record_at);
        }
        let present: Vec<&str> = told.records.iter().map(|(_, id, _)| id.as_str()).collect();
        self.book.adopt(&present, at);
        self.halls.adopt(told.halls);
    }

    fn usable(&self) -> Vec<Says> {
        self.book.usable().map(|(_, says)| *says).collect()
    }
}

/// What one entry tells another.
struct Account {
    at: Option<Position>,
    records: Vec<(Position, String, Says)>,
    halls: EmptiedHalls,
}

/// What happens next.
#[derive(Debug, Clone)]
enum Event {
    /// A target starts (again).
    Starts(usize),
    /// It says that it leaves.
    Leaves(usize),
    /// Its record goes.
    Goes(usize),
    /// Operators empty a hall; the second time they take it back, once for each hall.
    Hall(usize),
    /// The store comes back from so many changes ago.
    Restore(usize),
    /// Writers write again what the store has lost.
    Rewrite,
    List(usize),
    Watch(usize),
    /// An entry hears another one.
    Peer(usize, usize),
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let id = 0..IDS.len();
    let entry = 0..ENTRIES;
    prop_oneof![
        3 => id.clone().prop_map(Event::Starts),
        2 => id.clone().prop_map(Event::Leaves),
        2 => id.prop_map(Event::Goes),
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

/// What the writers hold true, whatever the store has of it.
#[derive(Default)]
struct Truth {
    starts: u64,
    targets: BTreeMap<String, Says>,
    halls: BTreeSet<String>,
    /// Halls that were taken back.
    taken_back: BTreeSet<String>,
}

impl Truth {
    /// Writes what the store misses or has otherwise.
    fn rewrite(&self, store: &mut Store) {
        for id in IDS {
            let there = store.items.get(id).and_then(|(_, says)| *says);
            let holds = self.targets.get(id).copied();
            if there != holds {
                store.write(id, holds.map(Some));
            }
        }
        for hall in HALLS {
            let holds = self.halls.contains(hall);
            if store.items.contains_key(hall) != holds {
                store.write(hall, holds.then_some(None));
            }
        }
    }
}

fn happen(
    event: &Event,
    store: &mut Store,
    truth: &mut Truth,
    entries: &mut [Entry],
    now: &mut u64,
) {
    match event {
        Event::Starts(id) => {
            truth.starts += 1;
            let says = Says {
                start: truth.starts,
                draining: false,
            };
            truth.targets.insert(IDS[*id].to_string(), says);
            store.write(IDS[*id], Some(Some(says)));
        }
        Event::Leaves(id) => {
            if let Some(says) = truth.targets.get_mut(IDS[*id]) {
                says.draining = true;
                store.write(IDS[*id], Some(Some(*says)));
            }
        }
        Event::Goes(id) => {
            if truth.targets.remove(IDS[*id]).is_some() {
                store.write(IDS[*id], None);
            }
        }
        Event::Hall(hall) => {
            let name = HALLS[*hall];
            if truth.halls.remove(name) {
                truth.taken_back.insert(name.to_string());
                store.write(name, None);
            } else if !truth.taken_back.contains(name) {
                truth.halls.insert(name.to_string());
                store.write(name, Some(None));
            }
        }
        Event::Restore(lost) => store.restore(*lost),
        Event::Rewrite => truth.rewrite(store),
        Event::List(entry) => entries[*entry].list(store, *now),
        Event::Watch(entry) => entries[*entry].watch(store, *now),
        Event::Peer(to, from) if to != from => {
            let told = entries[*from].told();
            entries[*to].adopt(told);
        }
        Event::Peer(..) => {}
        Event::Wait(ms) => *now += ms,
    }
}

proptest! {
    #![proptest_config(config(0x33))]

    #[test]
    fn no_return_of_the_store_brings_back_what_its_writers_took_back(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let (mut store, mut truth, mut now) = (Store::default(), Truth::default(), 1_000);
        store.era = 1;
        let mut entries: Vec<Entry> = (0..ENTRIES).map(|_| Entry::new()).collect();
        for event in &events {
            let known: Vec<Vec<String>> = entries
                .iter()
                .map(|entry| entry.halls.names().map(str::to_string).collect())
                .collect();
            happen(event, &mut store, &mut truth, &mut entries, &mut now);
            for (entry, known) in entries.iter_mut().zip(known) {
                entry.book.settle(now);
                entry.book.take_outlived(now);
                for (id, says) in entry.book.usable() {
                    let left = entry.left.contains(&(id.clone(), says.start));
                    prop_assert!(!left, "{id} left and is used: {event:?}");
                }
                for hall in known.iter().filter(|hall| truth.halls.contains(*hall)) {
                    prop_assert!(entry.halls.contains(hall), "{hall} takes work: {event:?}");
                }
            }
        }
        truth.rewrite(&mut store);
        for entry in &mut entries {
            entry.list(&store, now);
            now += LONG_MS;
            entry.watch(&store, now);
            entry.book.settle(now);
            entry.book.take_outlived(now);
            entry.halls.drop_unwritten();
            let usable = truth.targets.values().filter(|says| !says.draining);
            let usable: Vec<Says> = usable.copied().collect();
            prop_assert_eq!(entry.usable(), usable);
            let halls: Vec<&str> = entry.halls.names().collect();
            let emptied: Vec<&str> = truth.halls.iter().map(String::as_str).collect();
            prop_assert_eq!(halls, emptied);
        }
    }
}
