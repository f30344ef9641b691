//! Which targets there are, by what the store tells, through outages of it.
//!
//! While the store answers, a record that goes means that its target is gone.
//! A record that lapses because the store was away means nothing: the target
//! may live on and write it again soon after the store's return. So what goes
//! during an outage, or shortly after it, stays in the book as [`State::Doubted`]
//! until [`BookTiming::return_ms`] after the return, and only then goes.
//!
//! A target may start again under its id. Its starts are told apart by a number that
//! rises, and a later one ends the one before, in whatever order word of them comes. A
//! start that was seen draining never becomes usable again.

use std::collections::BTreeMap;

use crate::watch_pause::watch_pause;
use crate::Millis;

/// How long a record may be missing after the store's return.
#[derive(Debug, Clone, Copy)]
pub struct BookTiming {
    /// Time from the store's return after which a missing record means that
    /// its target is gone, in milliseconds.
    pub return_ms: Millis,
}

/// What a record says besides what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Of its last change in the store.
    pub revision: u64,
    /// Which start of the target wrote it; later ones have larger numbers.
    pub start: u64,
    /// The target takes no new work.
    pub draining: bool,
}

/// What the book says of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Its record is there.
    Recorded,
    /// Its record went while the store was away; usable for now.
    Doubted,
    /// It takes no new work.
    Draining,
}

/// A target in the book.
#[derive(Debug, Clone)]
struct Entry<R> {
    record: R,
    /// Which start of the target this is; later ones have larger numbers.
    start: u64,
    /// Of its last change.
    revision: u64,
    state: State,
}

/// Whether the store answers this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    Away,
    /// Since this moment; 0 when it never was away.
    Back(Millis),
}

/// Targets by their ids.
#[derive(Debug, Clone)]
pub struct TargetBook<R> {
    timing: BookTiming,
    entries: BTreeMap<String, Entry<R>>,
    store: StoreState,
    /// When all records were last read.
    read: Millis,
}

impl<R: PartialEq> TargetBook<R> {
    /// An empty book of a store that answers.
    pub fn new(timing: BookTiming) -> Self {
        TargetBook {
            timing,
            entries: BTreeMap::new(),
            store: StoreState::Back(0),
            read: 0,
        }
    }

    /// The store stopped answering. True when it is news.
    pub fn store_away(&mut self) -> bool {
        let was_there = self.store != StoreState::Away;
        self.store = StoreState::Away;
        was_there
    }

    /// The store answers. True when it is news.
    pub fn store_back(&mut self, now: Millis) -> bool {
        let was_away = self.store == StoreState::Away;
        if was_away {
            self.store = StoreState::Back(now.max(1));
        }
        was_away
    }

    /// The store was away until about now, by the word of somebody who noticed.
    pub fn told_of_outage(&mut self, now: Millis) {
        if !self.is_unsettled(now) {
            self.store_away();
            self.store_back(now);
        }
    }

    /// True while a missing record proves nothing.
    pub fn is_unsettled(&self, now: Millis) -> bool {
        match self.store {
            StoreState::Away => true,
            StoreState::Back(0) => false,
            StoreState::Back(since) => now < since + self.timing.return_ms,
        }
    }

    /// A record of some start was written at a revision. True when the book changed.
    pub fn put(&mut self, id: &str, told: Told, record: R) -> bool {
        let known = self.entries.get(id);
        let is_older =
            |known: &Entry<R>| (told.start, told.revision) < (known.start, known.revision);
        if known.is_some_and(is_older) {
            return false;
        }
        let same_start = known.filter(|known| known.start == told.start);
        let was_draining = same_start.is_some_and(|known| known.state == State::Draining);
        let state = if told.draining || was_draining {
            State::Draining
        } else {
            State::Recorded
        };
        let changed = known.is_none_or(|known| known.state != state || known.record != record);
        let revision = known.map_or(0, |known| known.revision).max(told.revision);
        let entry = Entry {
            record,
            start: told.start,
            revision,
            state,
        };
        self.entries.insert(id.to_string(), entry);
        changed
    }

    /// What lies under a target's key from a revision on can't be used. True when the
    /// book changed.
    pub fn spoiled(&mut self, id: &str, revision: u64) -> bool {
        let known = self.entries.get(id);
        let is_newer = known.is_some_and(|known| known.revision <= revision);
        is_newer && self.entries.remove(id).is_some()
    }

    /// A record went; `is_unsettled` says whether that proves nothing, by the word of
    /// whoever tells of it. True when the book changed.
    pub fn deleted(&mut self, incarnation: &str, revision: u64, is_unsettled: bool) -> bool {
        let Some(entry) = self.entries.get_mut(incarnation) else {
            return false;
        };
        if entry.revision > revision {
            return false;
        }
        entry.revision = revision;
        if is_unsettled && entry.state != State::Draining {
            entry.state = State::Doubted;
            return false;
        }
        self.entries.remove(incarnation);
        true
    }

    /// All records there are, as of a revision: what isn't among them went.
    /// Returns the incarnations that left the book.
    pub fn reconcile(&mut self, present: &[&str], revision: u64, now: Millis) -> Vec<String> {
        self.read = now;
        let is_unsettled = self.is_unsettled(now);
        self.keys_where(|incarnation, _| !present.contains(&incarnation))
            .into_iter()
            .filter(|incarnation| self.deleted(incarnation, revision, is_unsettled))
            .collect()
    }

    /// All records there are by the word of a peer that hears from the store: what
    /// isn't among them went, whatever the store's state here. Returns the
    /// incarnations that left the book.
    pub fn adopt(&mut self, present: &[&str], revision: u64) -> Vec<String> {
        let missing = self.keys_where(|incarnation, entry| {
            entry.revision <= revision && !present.contains(&incarnation)
        });
        self.remove_all(&missing);
        missing
    }

    /// How long the watch on these records pauses between two answers, `longest` at the
    /// most: see [`watch_pause`].
    pub fn watch_pause(&self, now: Millis, longest: Millis) -> Millis {
        watch_pause(now.saturating_sub(self.read), longest)
    }

    /// Drops what is still missing some time after the store's return.
    pub fn settle(&mut self, now: Millis) -> Vec<String> {
        if self.is_unsettled(now) {
            return Vec::new();
        }
        let doubted = self.keys_where(|_, entry| entry.state == State::Doubted);
        self.remove_all(&doubted);
        doubted
    }

    /// Incarnations in the book that fit.
    fn keys_where(&self, fits: impl Fn(&str, &Entry<R>) -> bool) -> Vec<String> {
        self.entries
            .iter()
            .filter(|(incarnation, entry)| fits(incarnation, entry))
            .map(|(incarnation, _)| incarnation.clone())
            .collect()
    }

    fn remove_all(&mut self, incarnations: &[String]) {
        for incarnation in incarnations {
            self.entries.remove(incarnation);
        }
    }

    /// When [`TargetBook::settle`] has something to do, if ever.
    pub fn settles_at(&self) -> Option<Millis> {
        let is_doubted = |entry: &Entry<R>| entry.state == State::Doubted;
        match self.store {
            StoreState::Back(since) if self.entries.values().any(is_doubted) => {
                Some(since + self.timing.return_ms)
            }
            _ => None,
        }
    }

    /// Targets that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &R> {
        self.entries
            .values()
            .filter(|entry| entry.state != State::Draining)
            .map(|entry| &entry.record)
    }

    /// Every target, leaving ones included, with the revision of its last change.
    pub fn all(&self) -> impl Iterator<Item = (u64, &R)> {
        self.entries
            .values()
            .map(|entry| (entry.revision, &entry.record))
    }

    /// True when the store doesn't answer.
    pub fn is_store_away(&self) -> bool {
        self.store == StoreState::Away
    }

    /// Targets in the book, leaving ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
