//! Requests in flight at this entry, counted by organisation.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use hollowsail_routing::OrgUsage;

/// Counts of requests in flight by organisation.
#[derive(Debug, Default)]
pub struct InFlightByOrg(Mutex<HashMap<String, OrgCount>>);

#[derive(Debug, Clone, Copy)]
struct OrgCount {
    count: u32,
    weight: u32,
}

/// An admitted request; counts as in flight until dropped.
#[derive(Debug)]
pub struct Admitted {
    counts: Arc<InFlightByOrg>,
    org: String,
    /// Its organisation exceeded its share when it was admitted: it queues behind others.
    pub over_share: bool,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut all = self.counts.0.lock().expect("no panic while held");
        if let Some(org_count) = all.get_mut(&self.org) {
            org_count.count -= 1;
            if org_count.count == 0 {
                all.remove(&self.org);
            }
        }
    }
}

impl InFlightByOrg {
    /// Requests in flight of an organisation, compared with all others.
    pub fn usage_of(&self, org: &str, weight: u32) -> OrgUsage {
        let all = self.0.lock().expect("no panic while held");
        let others: u32 = all
            .iter()
            .filter(|(name, _)| *name != org)
            .map(|(_, org_count)| org_count.weight)
            .sum();
        OrgUsage {
            own: all.get(org).map_or(0, |org_count| org_count.count),
            all: all.values().map(|org_count| org_count.count).sum(),
            share: f64::from(weight) / f64::from(weight + others),
        }
    }

    /// Counts a request of an organisation until the result is dropped.
    pub fn admit(self: &Arc<Self>, org: &str, weight: u32, over_share: bool) -> Admitted {
        let mut all = self.0.lock().expect("no panic while held");
        let org_count = all
            .entry(org.to_string())
            .or_insert(OrgCount { count: 0, weight });
        org_count.count += 1;
        org_count.weight = weight;
        Admitted {
            counts: self.clone(),
            org: org.into(),
            over_share,
        }
    }
}
