//! Requests in flight at this entry, counted by organisation.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use hollowsail_routing::Holding;

/// Counts of requests in flight by organisation.
#[derive(Debug, Default)]
pub struct Holdings(Mutex<HashMap<String, Held>>);

#[derive(Debug, Clone, Copy)]
struct Held {
    count: u32,
    weight: u32,
}

/// An admitted request; counts as in flight until dropped.
#[derive(Debug)]
pub struct Admitted {
    holdings: Arc<Holdings>,
    org: String,
    /// Its organisation exceeded its share when it was admitted: it queues behind others.
    pub over_share: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut all = self.holdings.0.lock().expect("no panic while held");
        if let Some(held) = all.get_mut(&self.org) {
            held.count -= 1;
            if held.count == 0 {
                all.remove(&self.org);
            }
        }
    }
}

impl Holdings {
    /// Requests in flight of an organisation, compared with all others.
    pub fn of(&self, org: &str, weight: u32) -> Holding {
        let all = self.0.lock().expect("no panic while held");
        let others: u32 = all
            .iter()
            .filter(|(name, _)| *name != org)
            .map(|(_, held)| held.weight)
            .sum();
        Holding {
            own: all.get(org).map_or(0, |held| held.count),
            all: all.values().map(|held| held.count).sum(),
            share: f64::from(weight) / f64::from(weight + others),
        }
    }

    /// Counts a request of an organisation until the result is dropped.
    pub fn admit(self: &Arc<Self>, org: &str, weight: u32, over_share: bool) -> Admitted {
        let mut all = self.0.lock().expect("no panic while held");
        let held = all
            .entry(org.to_string())
            .or_insert(Held { count: 0, weight });
        held.count += 1;
        held.weight = weight;
        Admitted {
            holdings: self.clone(),
            org: org.into(),
            over_share,
        }
    }
}
