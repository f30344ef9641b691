//! Rate limit for messages on subjects that may change with every reply.
//!
//! The first change of a subject is sent at once; later changes are combined and sent when a
//! pause has ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;

use crate::Millis;

/// When to send a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendTime {
    Now,
    /// The caller that receives this sends the message at the given time.
    At(Millis),
    /// A message that includes the change is already scheduled.
    Scheduled,
}

/// The current pause of each subject.
#[derive(Debug)]
pub struct Throttle<K> {
    pause_ms: Millis,
    pauses: RefCell<HashMap<K, Pause>>,
}

#[derive(Debug, Clone, Copy)]
struct Pause {
    until: Millis,
    /// A message is scheduled for the end of the pause.
    is_scheduled: bool,
}

impl<K: Eq + Hash + Clone> Throttle<K> {
    /// Sends messages on one subject at least `pause_ms` apart.
    pub fn new(pause_ms: Millis) -> Self {
        Throttle {
            pause_ms,
            pauses: RefCell::default(),
        }
    }

    /// Returns when to send a change of a subject.
    pub fn changed(&self, now: Millis, subject: &K) -> SendTime {
        let mut pauses = self.pauses.borrow_mut();
        pauses.retain(|_, pause| pause.is_scheduled || now < pause.until);
        match pauses.get_mut(subject) {
            None => {
                pauses.insert(subject.clone(), self.pause(now));
                SendTime::Now
            }
            Some(pause) if pause.is_scheduled => SendTime::Scheduled,
            Some(pause) => {
                pause.is_scheduled = true;
                SendTime::At(pause.until)
            }
        }
    }

    /// Starts the next pause after a scheduled message was sent.
    pub fn record_sent(&self, now: Millis, subject: &K) {
        let pause = self.pause(now);
        self.pauses.borrow_mut().insert(subject.clone(), pause);
    }

    fn pause(&self, now: Millis) -> Pause {
        Pause {
            until: now + self.pause_ms,
            is_scheduled: false,
        }
    }
}
