//! Demands that wait until an engine opens: the most urgent first, and of these the first
//! to come.
//!
//! Where every engine that may serve has had what it takes, waiting for a moment is better
//! for callers than coming back. A demand that can't have its turn in its time is told at
//! once when to come back. Those are given turns one after the other, so that they don't
//! all come back together.

use std::collections::BTreeMap;

use crate::Millis;

/// Longest time after which a demand that is turned away is to come back, in milliseconds:
/// the limits that close the engines may be over long before.
const MOST_RETURN_MS: Millis = 3_000;

/// A demand's place in the queue: its urgency, 0 first, and its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DemandKey(u8, u64);

/// Demands in their order.
#[derive(Debug)]
pub struct DemandQueue<T> {
    waiting: BTreeMap<DemandKey, Waiting<T>>,
    /// Demands that came so far.
    came: u64,
    /// When the last one that was turned away is to come back.
    last_return: Millis,
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
            came: 0,
            last_return: 0,
        }
    }
}

impl<T> DemandQueue<T> {
    /// Puts a demand in, which waits until a moment.
    pub fn push(&mut self, urgency: u8, until: Millis, demand: T) -> DemandKey {
        self.came += 1;
        let key = DemandKey(urgency, self.came);
        self.waiting.insert(key, Waiting { until, demand });
        key
    }

    /// A demand waits no longer.
    pub fn remove(&mut self, key: DemandKey) -> Option<T> {
        self.waiting.remove(&key).map(|waiting| waiting.demand)
    }

    /// Demands that have their turn before a new one of an urgency.
    pub fn ahead_of(&self, urgency: u8) -> usize {
        self.waiting.range(..=DemandKey(urgency, u64::MAX)).count()
    }

    /// Demands in their order.
    pub fn iter(&self) -> impl Iterator<Item = (DemandKey, &T)> {
        let waiting = self.waiting.iter();
        waiting.map(|(key, waiting)| (*key, &waiting.demand))
    }

    /// Takes the demands out whose time is over.
    pub fn take_expired(&mut self, now: Millis) -> Vec<T> {
        let waiting = self.waiting.iter();
        let expired = waiting.filter(|(_, waiting)| waiting.until <= now);
        let keys: Vec<DemandKey> = expired.map(|(key, _)| *key).collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// In how many milliseconds a demand that is turned away is to come back: once its
    /// turn would come, and behind those turned away before it, at the rate at which the
    /// engines take requests.
    pub fn return_in(&mut self, now: Millis, turn_in: Millis, per_s: f64) -> Millis {
        let behind = self.last_return + (1_000.0 / per_s).ceil() as Millis;
        let latest = now + MOST_RETURN_MS;
        self.last_return = behind.max(now + turn_in).min(latest);
        (self.last_return - now).max(1)
    }
}
