//! Says whether something that may come with every answer is to be told again.

use std::collections::HashMap;
use std::hash::Hash;

/// Subjects remembered at most; beyond them nothing is told until some are forgotten.
const MOST_SUBJECTS: usize = 256;

/// When subjects were last told, in milliseconds since the process started.
#[derive(Debug)]
pub struct LogThrottle<K> {
    pause_ms: u64,
    told: HashMap<K, u64>,
}

impl<K: Eq + Hash> LogThrottle<K> {
    /// Tells each subject once in a pause at the most.
    pub fn new(pause_ms: u64) -> Self {
        LogThrottle {
            pause_ms,
            told: HashMap::new(),
        }
    }

    /// True when a subject that came now is to be told.
    pub fn is_due(&mut self, now_ms: u64, subject: K) -> bool {
        let pause_ms = self.pause_ms;
        self.told.retain(|_, told| now_ms < *told + pause_ms);
        if self.told.contains_key(&subject) || self.told.len() >= MOST_SUBJECTS {
            return false;
        }
        self.told.insert(subject, now_ms);
        true
    }
}
