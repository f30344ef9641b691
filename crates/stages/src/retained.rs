//! Results that the workers of a queue retain until they are released or expire.
//!
//! Found by their handle, and by the requester of their piece.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

use slotmap::{new_key_type, SlotMap};

use crate::{Millis, WorkerKey};

new_key_type! {
    struct ResultKey;
}

/// A result that a worker retains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedRecord<R> {
    pub worker: WorkerKey,
    pub bytes: u64,
    /// Start of the call that produced it, if known.
    pub called_at: Option<Millis>,
    /// Time at which the worker drops it unless released.
    pub expires: Millis,
    /// Who requested its piece, if it is known.
    pub requester: Option<R>,
}

/// The results of a queue; `R` names the requester of a piece.
#[derive(Debug)]
pub struct RetainedResults<R> {
    records: SlotMap<ResultKey, (Rc<str>, RetainedRecord<R>)>,
    by_handle: HashMap<Rc<str>, ResultKey>,
    by_requester: HashMap<R, ResultKey>,
}

impl<R> Default for RetainedResults<R> {
    fn default() -> Self {
        RetainedResults {
            records: SlotMap::with_key(),
            by_handle: HashMap::new(),
            by_requester: HashMap::new(),
        }
    }
}

impl<R: Copy + Eq + Hash> RetainedResults<R> {
    /// Adds a result. Returns the one that had its handle, whose memory isn't accounted for any more.
    #[must_use]
    pub fn insert(&mut self, handle: &str, record: RetainedRecord<R>) -> Option<RetainedRecord<R>> {
        let replaced = self.remove(handle);
        let handle: Rc<str> = handle.into();
        let key = self.records.insert((handle.clone(), record));
        self.by_handle.insert(handle, key);
        if let Some(requester) = record.requester {
            self.by_requester.insert(requester, key);
        }
        replaced
    }

    /// Removes a result; `None` if there is none with this handle.
    pub fn remove(&mut self, handle: &str) -> Option<RetainedRecord<R>> {
        let key = self.by_handle.remove(handle)?;
        let (_, record) = self.records.remove(key)?;
        self.forget_requester(key, &record);
        Some(record)
    }

    fn forget_requester(&mut self, key: ResultKey, record: &RetainedRecord<R>) {
        let requester = record.requester;
        if let Some(requester) = requester.filter(|r| self.by_requester.get(r) == Some(&key)) {
            self.by_requester.remove(&requester);
        }
    }

    /// Removes and returns the results that have expired.
    pub fn take_expired(&mut self, now: Millis) -> Vec<RetainedRecord<R>> {
        let expired = self.records.iter();
        let expired = expired.filter(|(_, (_, record))| record.expires <= now);
        let handles: Vec<Rc<str>> = expired.map(|(_, (handle, _))| handle.clone()).collect();
        let removed = handles.iter().filter_map(|handle| self.remove(handle));
        removed.collect()
    }

    pub fn contains(&self, handle: &str) -> bool {
        self.by_handle.contains_key(handle)
    }

    /// Handle of the result of a requester's piece.
    pub fn handle_of(&self, requester: &R) -> Option<Rc<str>> {
        let key = self.by_requester.get(requester)?;
        let (handle, _) = self.records.get(*key)?;
        Some(handle.clone())
    }

    /// Handles of the results whose requester matches.
    pub fn handles_where(&self, matches: impl Fn(&R) -> bool) -> Vec<Rc<str>> {
        let records = self.records.values();
        let matching =
            records.filter(|(_, record)| record.requester.as_ref().is_some_and(&matches));
        matching.map(|(handle, _)| handle.clone()).collect()
    }

    pub fn values(&self) -> impl Iterator<Item = &RetainedRecord<R>> {
        self.records.values().map(|(_, record)| record)
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
