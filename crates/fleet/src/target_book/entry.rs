//! One target in the book, and what another record makes of it.

use super::Told;
use crate::Position;

/// What the book says of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Its record is there.
    Recorded,
    /// Its record went while the store was away; usable for now.
    Doubted,
    /// It takes no new work.
    Draining,
    /// It had gone, and the store came back from a copy that still has its record; not
    /// usable for now.
    Returned,
}

impl State {
    /// The target may get new work.
    pub fn is_usable(self) -> bool {
        matches!(self, State::Recorded | State::Doubted)
    }
}

/// A target in the book.
#[derive(Debug, Clone)]
pub(super) struct Entry<R> {
    pub record: R,
    /// Which start of the target this is; later ones have larger numbers.
    pub start: u64,
    /// Of the record's last change.
    pub at: Position,
    /// Where the record was last found missing. It isn't a place of the record: whoever is
    /// told of a doubted target must not take the record for as new as its absence.
    pub missing_at: Position,
    pub state: State,
}

impl Told {
    /// What a record makes of a target of which nothing else is known.
    pub(super) fn state(&self) -> State {
        match self.draining {
            true => State::Draining,
            false => State::Recorded,
        }
    }
}

impl<R> Entry<R> {
    /// What another record of the same start makes of it; `is_copy` when that is the
    /// record known before, from a store that came back.
    pub fn state_after(&self, told: &Told, is_copy: bool) -> State {
        let is_same_word = is_copy || told.at == self.at;
        match self.state {
            State::Draining => State::Draining,
            _ if told.draining => State::Draining,
            // A word from before it was found missing.
            State::Doubted if told.at <= self.missing_at => State::Doubted,
            State::Returned if is_same_word => State::Returned,
            _ => State::Recorded,
        }
    }
}

/// True when a record of a new era is the word that was known before, which the store has
/// from its copy. It keeps its place among the words of its own era: what was newer than it
/// then still is.
pub(super) fn is_of_the_copy<R: PartialEq>(known: &Entry<R>, told: &Told, record: &R) -> bool {
    known.start == told.start
        && known.at.era < told.at.era
        && known.at.revision == told.at.revision
        && known.record == *record
}
