//! State of one registered target, and how a record changes it.

use super::RecordMeta;
use crate::Position;

/// State of a registered target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Its record is in the store.
    Recorded,
    /// Its record is missing, which doesn't yet mean that the target is gone; still usable.
    Unconfirmed,
    /// It takes no new work.
    Draining,
    /// Its record had been removed, but the store was restored from an older copy that still
    /// contains it; not usable yet.
    Restored,
}

impl State {
    /// True when the target may get new work.
    pub fn is_usable(self) -> bool {
        matches!(self, State::Recorded | State::Unconfirmed)
    }
}

/// A registered target.
#[derive(Debug, Clone)]
pub(super) struct Entry<R> {
    pub record: R,
    /// Incarnation of the target; later ones are greater.
    pub incarnation: u64,
    /// Position of the record's last change.
    pub at: Position,
    /// Position at which the record was last found missing. Kept apart from `at`, so that
    /// peers don't take the record for as new as its absence.
    pub missing_at: Position,
    pub state: State,
}

impl RecordMeta {
    /// State of a target of which only this record is known.
    pub(super) fn state(&self) -> State {
        match self.draining {
            true => State::Draining,
            false => State::Recorded,
        }
    }
}

impl<R> Entry<R> {
    /// State after another record of the same incarnation; `may_be_copy` when the store may have been
    /// restored with it.
    pub fn state_after(&self, meta: &RecordMeta, may_be_copy: bool) -> State {
        let is_not_new = may_be_copy || meta.at == self.at;
        match self.state {
            State::Draining => State::Draining,
            _ if meta.draining => State::Draining,
            // Written before it was found missing.
            State::Unconfirmed if meta.at <= self.missing_at => State::Unconfirmed,
            State::Restored if is_not_new => State::Restored,
            _ => State::Recorded,
        }
    }
}

/// True when a record of a new epoch is the known record, read from a restored store. It keeps
/// its position in the old epoch, so that later records of that epoch still replace it.
pub(super) fn is_restored_copy<R: PartialEq>(
    known: &Entry<R>,
    meta: &RecordMeta,
    record: &R,
) -> bool {
    known.incarnation == meta.incarnation
        && known.at.epoch < meta.at.epoch
        && known.at.revision == meta.at.revision
        && known.record == *record
}
