//! Requests that were received and have no answer yet, and what each of them waits for.

use std::cell::RefCell;

use hollowsail_clock::BootInstant;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use slotmap::{new_key_type, SlotMap};

use crate::log::Log;

new_key_type! {
    /// A request without an answer.
    pub struct PendingKey;
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitsFor {
    /// Its own body.
    Body,
    /// Room for its stages, and their results.
    Stages,
    /// A target, and a connection to it.
    Target,
    /// The answer of a target that it was sent to.
    Answer,
}

impl WaitsFor {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            WaitsFor::Body => "body",
            WaitsFor::Stages => "stages",
            WaitsFor::Target => "target",
            WaitsFor::Answer => "answer",
        }
    }
}

struct PendingRequest {
    id: String,
    since: BootInstant,
    waits_for: WaitsFor,
    /// A target may have run it in an earlier attempt.
    may_have_run: bool,
}

/// All requests of this entry that have no answer yet.
#[derive(Default)]
pub struct PendingRequests(RefCell<SlotMap<PendingKey, PendingRequest>>);

impl PendingRequests {
    /// Adds a request whose head was received.
    pub fn add(&self, id: &str, since: BootInstant) -> PendingKey {
        self.0.borrow_mut().insert(PendingRequest {
            id: id.to_string(),
            since,
            waits_for: WaitsFor::Body,
            may_have_run: false,
        })
    }

    /// Removes a request that is answered, or whose caller has left.
    pub fn remove(&self, key: PendingKey) {
        self.0.borrow_mut().remove(key);
    }

    pub fn set(&self, key: PendingKey, waits_for: WaitsFor) {
        if let Some(request) = self.0.borrow_mut().get_mut(key) {
            request.waits_for = waits_for;
        }
    }

    /// Records that a target may have run it in an attempt that has ended.
    pub fn set_may_have_run(&self, key: PendingKey) {
        if let Some(request) = self.0.borrow_mut().get_mut(key) {
            request.may_have_run = true;
        }
    }

    /// False if no target has run it, nor runs it now.
    pub fn may_have_run(&self, key: PendingKey) -> bool {
        let requests = self.0.borrow();
        let request = requests.get(key);
        request.is_some_and(|request| request.may_have_run || request.waits_for == WaitsFor::Answer)
    }

    /// `None` once it is answered.
    pub fn waits_for(&self, key: PendingKey) -> Option<WaitsFor> {
        self.0.borrow().get(key).map(|request| request.waits_for)
    }

    /// Logs every request that is left.
    pub fn log_all(&self, log: &Log) {
        for request in self.0.borrow().values() {
            let fields = format_args!(
                "request={} phase={} ms={}",
                Field(&request.id),
                request.waits_for.name(),
                request.since.elapsed().as_millis()
            );
            log.line(events::STOP_UNANSWERED, fields);
        }
    }
}
