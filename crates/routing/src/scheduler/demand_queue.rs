//! Demands that wait until an engine opens, by urgency and then by arrival.
//!
//! Waiting a short time costs callers less than a retry. A demand that can't be placed
//! in its time is rejected at once with a retry time; these are spaced at the rate of
//! the engines so that rejected callers don't all retry at once.

use std::collections::BTreeMap;

use crate::Millis;

/// Longest retry time: the limits that close the engines may end much sooner.
const MAX_RETRY_MS: Millis = 3_000;

/// Position in the queue: urgency (0 first), then arrival number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DemandKey(u8, u64);

/// Queue of demands by urgency and arrival.
#[derive(Debug)]
pub struct DemandQueue<T> {
    waiting: BTreeMap<DemandKey, Waiting<T>>,
    /// Arrival number of the last demand.
    arrivals: u64,
    /// Retry time of the last rejected demand.
    last_retry: Millis,
}

#[derive(Debug)]
struct Waiting<T> {
    until: Millis,
    demand: T,
}

impl<T> Default for DemandQueue<T> {
    fn default() -> Self {
        DemandQueue {
            waiting: BTreeMap::new(),
            arrivals: 0,
            last_retry: 0,
        }
    }
}

impl<T> DemandQueue<T> {
    /// Queues a demand until `until`.
    pub fn push(&mut self, urgency: u8, until: Millis, demand: T) -> DemandKey {
        self.arrivals += 1;
        let key = DemandKey(urgency, self.arrivals);
        self.waiting.insert(key, Waiting { until, demand });
        key
    }

    pub fn remove(&mut self, key: DemandKey) -> Option<T> {
        self.waiting.remove(&key).map(|waiting| waiting.demand)
    }

    /// Number of demands ahead of a new one of this urgency.
    pub fn ahead_of(&self, urgency: u8) -> usize {
        self.waiting.range(..=DemandKey(urgency, u64::MAX)).count()
    }

    /// Iterates in queue order.
    pub fn iter(&self) -> impl Iterator<Item = (DemandKey, &T)> {
        let waiting = self.waiting.iter();
        waiting.map(|(key, waiting)| (*key, &waiting.demand))
    }

    /// Removes and returns the demands whose wait has expired.
    pub fn take_expired(&mut self, now: Millis) -> Vec<T> {
        let waiting = self.waiting.iter();
        let expired = waiting.filter(|(_, waiting)| waiting.until <= now);
        let keys: Vec<DemandKey> = expired.map(|(key, _)| *key).collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Retry time of a rejected demand, in milliseconds: after its estimated wait `wait_ms`
    /// and behind those rejected before, at `per_s` requests per second.
    pub fn retry_after_ms(&mut self, now: Millis, wait_ms: Millis, per_s: f64) -> Millis {
        let after_last = self.last_retry + (1_000.0 / per_s).ceil() as Millis;
        let latest = now + MAX_RETRY_MS;
        self.last_retry = after_last.max(now + wait_ms).min(latest);
        (self.last_retry - now).max(1)
    }
}
