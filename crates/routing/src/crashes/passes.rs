//! What an entry has seen pass lately: parts of prompts, and answers by software version.

use std::collections::{HashMap, VecDeque};

use super::parts::PASS_MEMORY_MS;
use crate::{Millis, RequestDigest};

/// Maximum number of parts; those that passed the longest ago go first.
const CAPACITY: usize = 4_000;
/// Maximum number of answers of a version that are remembered.
const MAX_ANSWERS: usize = 64;

/// Last passes of parts, and the times of whole answers by service and software version.
#[derive(Debug, Clone, Default)]
pub struct RecentPasses {
    parts: HashMap<RequestDigest, Millis>,
    answers: HashMap<(String, String), VecDeque<Millis>>,
}

impl RecentPasses {
    /// Records a pass of a part.
    pub fn record_part(&mut self, now: Millis, part: RequestDigest) {
        if self.parts.len() >= CAPACITY && !self.parts.contains_key(&part) {
            self.evict(now);
        }
        self.parts.insert(part, now);
    }

    /// Records a whole answer of a target.
    pub fn record_answer(&mut self, now: Millis, service: &str, version: &str) {
        let key = (service.to_string(), version.to_string());
        let times = self.answers.entry(key).or_default();
        if times.len() == MAX_ANSWERS {
            times.pop_front();
        }
        times.push_back(now);
    }

    /// When a part passed last, if lately.
    pub fn last_pass(&self, now: Millis, part: RequestDigest) -> Option<Millis> {
        let passed_at = self.parts.get(&part).copied();
        passed_at.filter(|at| now < at + PASS_MEMORY_MS)
    }

    /// Number of whole answers of a version since some time.
    pub fn answers_since(&self, since: Millis, service: &str, version: &str) -> u32 {
        let key = (service.to_string(), version.to_string());
        let times = self.answers.get(&key);
        let times = times.into_iter().flatten();
        times.filter(|at| **at >= since).count() as u32
    }

    /// Drops what is over, or else the oldest quarter.
    fn evict(&mut self, now: Millis) {
        self.parts.retain(|_, at| now < *at + PASS_MEMORY_MS);
        if self.parts.len() < CAPACITY {
            return;
        }
        let mut times: Vec<Millis> = self.parts.values().copied().collect();
        times.sort_unstable();
        let oldest_kept = times[CAPACITY / 4];
        self.parts.retain(|_, at| *at >= oldest_kept);
    }
}
