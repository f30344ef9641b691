//! The sends of one request or piece, until they can't arrive any more.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::Millis;

/// How long a send of which nothing more will be heard may still arrive, in milliseconds. A target
/// that answers a later request ends that time.
pub const LOST_MS: Millis = 60_000;

/// The same for a send that was given up and whose connection is watched, which ends before.
const MAX_ABANDONED_MS: Millis = 2 * LOST_MS;

/// How far a send is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Permitted at this time; nothing was sent.
    Permitted(Millis),
    /// Sent at this time, and awaited.
    Sent(Millis),
    /// Given up at this time; its target may not have read it.
    Abandoned(Millis),
    /// Nothing more will be heard of it since this time.
    Lost(Millis),
    /// It can't arrive any more: it was answered, or its target closed the connection.
    Settled,
    /// Its permit was dropped before it was sent.
    Unused,
}

/// One send of a request or piece.
#[derive(Debug, Clone)]
pub struct TrackedSend(Rc<Tracked>);

#[derive(Debug)]
struct Tracked {
    state: Cell<State>,
    /// It passes through another host, which may keep it longer than its target does.
    is_relayed: Cell<bool>,
}

impl TrackedSend {
    pub(super) fn permitted(now: Millis) -> Self {
        TrackedSend(Rc::new(Tracked {
            state: Cell::new(State::Permitted(now)),
            is_relayed: Cell::new(false),
        }))
    }

    /// Records that it is sent, directly or through another host.
    pub fn begin(&self, now: Millis, is_relayed: bool) {
        self.0.is_relayed.set(is_relayed);
        self.0.state.set(State::Sent(now));
    }

    /// True if it was sent through another host.
    pub fn is_relayed(&self) -> bool {
        self.0.is_relayed.get()
    }

    /// Records that nothing was sent after all.
    pub fn withdraw(&self, now: Millis) {
        self.0.state.set(State::Permitted(now));
    }

    /// Records that it can't arrive any more.
    pub fn settle(&self) {
        self.0.state.set(State::Settled);
    }

    /// Records that nobody waits for its answer any more.
    pub fn abandon(&self, now: Millis) {
        if let State::Sent(_) = self.0.state.get() {
            self.0.state.set(State::Abandoned(now));
        }
    }

    /// Records that its connection failed without a sign of what the target has read.
    pub fn lose(&self, now: Millis) {
        if !self.is_settled(now) {
            self.0.state.set(State::Lost(now));
        }
    }

    /// Records that the target answered a request that was sent at `sent_at`, so that it has read, or
    /// reads now, what reached it before.
    pub fn target_answered(&self, sent_at: Millis) {
        match self.0.state.get() {
            State::Abandoned(at) | State::Lost(at) if at < sent_at && !self.0.is_relayed.get() => {
                self.settle()
            }
            _ => {}
        }
    }

    /// True if it was given up, and the end of its connection will show that it can't arrive any
    /// more.
    pub fn is_watched(&self) -> bool {
        matches!(self.0.state.get(), State::Abandoned(_))
    }

    /// When it was given up or lost, while it may still arrive.
    pub fn abandoned_at(&self, now: Millis) -> Option<Millis> {
        match self.0.state.get() {
            _ if self.is_settled(now) => None,
            State::Abandoned(at) | State::Lost(at) => Some(at),
            State::Permitted(_) | State::Sent(_) | State::Settled | State::Unused => None,
        }
    }

    /// True if it can't arrive any more.
    pub fn is_settled(&self, now: Millis) -> bool {
        match self.0.state.get() {
            State::Settled | State::Unused => true,
            State::Lost(at) => at + LOST_MS <= now,
            State::Abandoned(at) => at + MAX_ABANDONED_MS <= now,
            State::Permitted(_) | State::Sent(_) => false,
        }
    }

    /// Forgets a permit that wasn't used.
    pub(super) fn drop_permit(&self) {
        if let State::Permitted(_) = self.0.state.get() {
            self.0.state.set(State::Unused);
        }
    }
}

/// A request or a piece, with all of its sends to one service.
#[derive(Debug, Clone, Default)]
pub struct Work(Rc<RefCell<Vec<TrackedSend>>>);

impl Work {
    /// Adds a send that is permitted now.
    pub(super) fn permit(&self, now: Millis) -> TrackedSend {
        let send = TrackedSend::permitted(now);
        self.0.borrow_mut().push(send.clone());
        send
    }

    /// Number of sends that may still arrive.
    pub fn unsettled(&self, now: Millis) -> usize {
        let sends = self.0.borrow();
        sends.iter().filter(|send| !send.is_settled(now)).count()
    }

    /// Number of sends but the last one that may still arrive.
    pub(super) fn unsettled_earlier(&self, now: Millis) -> usize {
        let sends = self.0.borrow();
        let earlier = sends.split_last().map_or(&[][..], |(_, earlier)| earlier);
        earlier.iter().filter(|send| !send.is_settled(now)).count()
    }

    /// True if a permit was dropped without being used here.
    pub(super) fn has_unused(&self) -> bool {
        let sends = self.0.borrow();
        let is_unused = |send: &TrackedSend| send.0.state.get() == State::Unused;
        sends.iter().any(is_unused)
    }

    /// True if a send was given up that its target may not have read.
    pub fn is_unread(&self, now: Millis) -> bool {
        let sends = self.0.borrow();
        sends.iter().any(|send| send.abandoned_at(now).is_some())
    }

    pub(super) fn is_same(&self, other: &Work) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}
