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
//!
//! The store may come back from an older copy ([`TargetBook::era_began`]). A record that the
//! copy misses was lost with it: its target counts as one whose record lapsed, until it has
//! had the time to write again. A record that had gone before, and that the copy still has,
//! is no new word: its target stays out as [`State::Returned`] until somebody writes the
//! record, or it has outlived the time in which the record of a target that is gone lapses.

mod entry;
mod gone;

use std::collections::{BTreeMap, HashSet};

use self::entry::{is_of_the_copy, Entry, State};
use self::gone::GoneStarts;

use crate::watch_pause::watch_pause;
use crate::{Millis, Position};

/// How long a record may be missing, or prove nothing, after the store's return.
#[derive(Debug, Clone, Copy)]
pub struct BookTiming {
    /// Time from the store's return after which a missing record means that
    /// its target is gone, in milliseconds.
    pub return_ms: Millis,
    /// The same for a record that the store lost when it came back from an older copy,
    /// in milliseconds.
    pub lost_ms: Millis,
    /// Time after which the record of a target that is gone has lapsed, in milliseconds.
    pub lapse_ms: Millis,
}

/// What a record says besides what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Of its last change in the store.
    pub at: Position,
    /// Which start of the target wrote it; later ones have larger numbers.
    pub start: u64,
    /// The target takes no new work.
    pub draining: bool,
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
    /// Rises with each change of an entry.
    changes: u64,
    store: StoreState,
    /// When all records were last read.
    read: Millis,
    /// When the store last came back from an older copy.
    era_began: Option<Millis>,
    /// Up to where the first list of the newest era told.
    listed: Position,
    gone: GoneStarts,
}

impl<R: PartialEq> TargetBook<R> {
    /// An empty book of a store that answers.
    pub fn new(timing: BookTiming) -> Self {
        TargetBook {
            timing,
            entries: BTreeMap::new(),
            changes: 0,
            store: StoreState::Back(0),
            read: 0,
            era_began: None,
            listed: Position::default(),
            gone: GoneStarts::default(),
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

    /// The store came back from an older copy about now: what it misses proves nothing for
    /// a while, and neither does what it still has of targets that had gone.
    pub fn era_began(&mut self, now: Millis) {
        self.store_away();
        self.store_back(now);
        self.era_began = Some(now);
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

    /// A record of some start was written at a position. True when the book changed.
    pub fn put(&mut self, id: &str, told: Told, record: R) -> bool {
        let known = self.entries.get(id);
        let is_older = |known: &Entry<R>| (told.start, told.at) < (known.start, known.at);
        if known.is_some_and(is_older) || (known.is_none() && self.gone.went_later(id, &told)) {
            // Late or not, a start that leaves never takes that back.
            return told.draining && self.left(id, told.start);
        }
        let same_start = known.filter(|known| known.start == told.start);
        let is_copy = same_start.is_some_and(|known| is_of_the_copy(known, &told, &record));
        let state = match known {
            Some(_) => same_start.map_or(told.state(), |known| known.state_after(&told, is_copy)),
            None => self.state_of_unknown(id, &told),
        };
        let changed = known.is_none_or(|known| known.state != state || known.record != record);
        let entry = Entry {
            record,
            start: told.start,
            at: same_start
                .filter(|_| is_copy)
                .map_or(told.at, |known| known.at),
            missing_at: same_start.map_or(Position::default(), |known| known.missing_at),
            state,
        };
        self.entries.insert(id.to_string(), entry);
        self.changes += 1;
        changed
    }

    /// A start said that it leaves, before what is known of it now. True when the book
    /// changed.
    fn left(&mut self, id: &str, start: u64) -> bool {
        if let Some(known) = self.entries.get_mut(id) {
            let is_news = known.start == start && known.state != State::Draining;
            if is_news {
                known.state = State::Draining;
                self.changes += 1;
            }
            return is_news;
        }
        self.gone.left(id, start);
        false
    }

    /// What a record makes of a target that isn't in the book.
    fn state_of_unknown(&self, id: &str, told: &Told) -> State {
        let may_be_copy = self.listed.era < told.at.era || told.at <= self.listed;
        let gone = self.gone.last(id);
        let gone = gone.filter(|gone| gone.start == told.start && gone.at.era < told.at.era);
        match gone.filter(|_| may_be_copy) {
            Some(gone) if gone.left => State::Draining,
            Some(_) if !told.draining => State::Returned,
            _ => told.state(),
        }
    }

    /// What lies under a target's key from a position on can't be used. True when the
    /// book changed.
    pub fn spoiled(&mut self, id: &str, at: Position) -> bool {
        let known = self.entries.get(id);
        let is_newer = known.is_some_and(|known| known.at <= at);
        self.changes += u64::from(is_newer);
        is_newer && self.entries.remove(id).is_some()
    }

    /// A record went; `is_unsettled` says whether that proves nothing, by the word of
    /// whoever tells of it. True when the book changed.
    pub fn deleted(&mut self, incarnation: &str, at: Position, is_unsettled: bool) -> bool {
        let Some(entry) = self.entries.get_mut(incarnation) else {
            return false;
        };
        if entry.at > at {
            return false;
        }
        entry.missing_at = entry.missing_at.max(at);
        if is_unsettled && entry.state.is_usable() {
            entry.state = State::Doubted;
            self.changes += 1;
            return false;
        }
        self.remove(incarnation);
        true
    }

    /// All records there are, as of a position: what isn't among them went.
    /// Returns the incarnations that left the book.
    pub fn reconcile(&mut self, present: &[&str], at: Position, now: Millis) -> Vec<String> {
        self.read = now;
        if self.listed.era < at.era {
            self.listed = at;
        }
        let is_unsettled = self.is_unsettled(now);
        let present: HashSet<&str> = present.iter().copied().collect();
        self.keys_where(|incarnation, _| !present.contains(incarnation))
            .into_iter()
            .filter(|incarnation| {
                !self.is_lost(incarnation, at) && self.deleted(incarnation, at, is_unsettled)
            })
            .collect()
    }

    /// True when a record that a list misses may be lost: it was last written before the
    /// list's era. Its target counts as one whose record lapsed.
    fn is_lost(&mut self, incarnation: &str, at: Position) -> bool {
        let entry = self.entries.get_mut(incarnation);
        let usable = entry.filter(|entry| entry.at.era < at.era && entry.state.is_usable());
        if let Some(entry) = usable {
            entry.state = State::Doubted;
            entry.missing_at = entry.missing_at.max(at);
            self.changes += 1;
            return true;
        }
        false
    }

    /// All records there are by the word of a peer that hears from the store: what
    /// isn't among them went, whatever the store's state here. Returns the
    /// incarnations that left the book.
    pub fn adopt(&mut self, present: &[&str], at: Position) -> Vec<String> {
        let present: HashSet<&str> = present.iter().copied().collect();
        let missing =
            self.keys_where(|incarnation, entry| entry.at <= at && !present.contains(incarnation));
        for id in &missing {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.missing_at = entry.missing_at.max(at);
            }
        }
        self.remove_all(&missing);
        missing
    }

    /// How long the watch on these records pauses between two answers, `longest` at the
    /// most: see [`watch_pause`].
    pub fn watch_pause(&self, now: Millis, longest: Millis) -> Millis {
        watch_pause(now.saturating_sub(self.read), longest)
    }

    /// Takes records that outlived the lapse of a target that is gone for good ones. True
    /// when the book changed.
    pub fn take_outlived(&mut self, now: Millis) -> bool {
        if self.outlived_at().is_none_or(|at| now < at) {
            return false;
        }
        let returned = self.entries.values_mut();
        let returned = returned.filter(|entry| entry.state == State::Returned);
        returned.for_each(|entry| entry.state = State::Recorded);
        self.changes += 1;
        true
    }

    /// When [`TargetBook::take_outlived`] has something to do, if ever.
    pub fn outlived_at(&self) -> Option<Millis> {
        let mut entries = self.entries.values();
        let has_returned = entries.any(|entry| entry.state == State::Returned);
        // An entry that hasn't seen the era begin counts from when it read the records.
        let began = self.era_began.unwrap_or(self.read);
        has_returned.then_some(began + self.timing.lapse_ms)
    }

    /// Drops what is still missing some time after the store's return.
    pub fn settle(&mut self, now: Millis) -> Vec<String> {
        if self.is_unsettled(now) {
            return Vec::new();
        }
        let settled = self.keys_where(|_, entry| {
            entry.state == State::Doubted && self.lost_until(entry).is_none_or(|at| at <= now)
        });
        self.remove_all(&settled);
        settled
    }

    /// Until when a record that the store lost may be written again.
    fn lost_until(&self, entry: &Entry<R>) -> Option<Millis> {
        let is_lost = entry.at.era < self.listed.era;
        let began = self.era_began.filter(|_| is_lost)?;
        Some(began + self.timing.lost_ms)
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
            self.remove(incarnation);
        }
    }

    /// A target is gone.
    fn remove(&mut self, incarnation: &str) {
        if let Some(entry) = self.entries.remove(incarnation) {
            self.gone.add(incarnation, &entry);
            self.changes += 1;
        }
    }

    /// When [`TargetBook::settle`] has something to do, if ever.
    pub fn settles_at(&self) -> Option<Millis> {
        let StoreState::Back(since) = self.store else {
            return None;
        };
        let settled = since + self.timing.return_ms;
        let doubted = self.entries.values();
        let doubted = doubted.filter(|entry| entry.state == State::Doubted);
        doubted
            .map(|entry| self.lost_until(entry).unwrap_or(0).max(settled))
            .min()
    }

    /// Targets that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &R> {
        self.usable_at().map(|(_, record)| record)
    }

    /// The same, each with the position of its last change.
    pub fn usable_at(&self) -> impl Iterator<Item = (Position, &R)> {
        let usable = self.entries.values();
        let usable = usable.filter(|entry| entry.state.is_usable());
        usable.map(|entry| (entry.at, &entry.record))
    }

    /// Every target that the store has or that is doubted, leaving ones included, with the
    /// position of its last change. One that had gone and whose record is back is among
    /// them: whoever is told decides on it by what it knows itself.
    pub fn all(&self) -> impl Iterator<Item = (Position, &R)> {
        self.entries.values().map(|entry| (entry.at, &entry.record))
    }

    /// A number that is another one whenever an entry has changed: what was worked out from
    /// the book holds as long as it stays.
    pub fn changes(&self) -> u64 {
        self.changes
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
