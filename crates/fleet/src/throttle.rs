//! Spaces messages on one subject that may change with every answer.
//!
//! The first is sent at once; what comes soon after it is sent together, once a pause is
//! over.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;

use crate::Millis;

/// When something that has just changed is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tell {
    Now,
    /// At this moment, by whoever was told so.
    At(Millis),
    /// Somebody tells it soon.
    IsDue,
}

/// When each subject was told last, and whether it is to be told again.
#[derive(Debug)]
pub struct Throttle<K> {
    pause_ms: Millis,
    /// Until when the pause of a subject lasts; its next message may be due then.
    pauses: RefCell<HashMap<K, Pause>>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Millis,
    is_due: bool,
}

impl<K: Eq + Hash + Clone> Throttle<K> {
    /// Spaces messages on a subject by a pause.
    pub fn new(pause_ms: Millis) -> Self {
        Throttle {
            pause_ms,
            pauses: RefCell::default(),
        }
    }

    /// A subject changed.
    pub fn changed(&self, now: Millis, subject: &K) -> Tell {
        let mut pauses = self.pauses.borrow_mut();
        pauses.retain(|_, pause| pause.is_due || now < pause.until);
        match pauses.get_mut(subject) {
            None => {
                pauses.insert(subject.clone(), self.pause(now));
                Tell::Now
            }
            Some(pause) if pause.is_due => Tell::IsDue,
            Some(pause) => {
                pause.is_due = true;
                Tell::At(pause.until)
            }
        }
    }

    /// The moment has come at which a subject was to be told.
    pub fn told(&self, now: Millis, subject: &K) {
        let pause = self.pause(now);
        self.pauses.borrow_mut().insert(subject.clone(), pause);
    }

    fn pause(&self, now: Millis) -> Pause {
        Pause {
            until: now + self.pause_ms,
            is_due: false,
        }
    }
}
