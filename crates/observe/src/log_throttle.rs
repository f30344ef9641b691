//! Limits how often a log line that may occur with every answer is written.

use std::collections::HashMap;
use std::hash::Hash;

/// Subjects tracked at a time; further ones are not logged until some expire.
const MAX_SUBJECTS: usize = 256;

/// Times at which subjects were last logged, in milliseconds since process start.
#[derive(Debug)]
pub struct LogThrottle<K> {
    interval_ms: u64,
    last_logged: HashMap<K, u64>,
}

impl<K: Eq + Hash> LogThrottle<K> {
    /// Allows one line per subject and interval.
    pub fn new(interval_ms: u64) -> Self {
        LogThrottle {
            interval_ms,
            last_logged: HashMap::new(),
        }
    }

    /// True if `subject` is to be logged now; records it as logged.
    pub fn is_due(&mut self, now_ms: u64, subject: K) -> bool {
        let interval_ms = self.interval_ms;
        self.last_logged
            .retain(|_, logged_ms| now_ms < *logged_ms + interval_ms);
        if self.last_logged.contains_key(&subject) || self.last_logged.len() >= MAX_SUBJECTS {
            return false;
        }
        self.last_logged.insert(subject, now_ms);
        true
    }
}
