//! Holds back targets of a version that is new to its service.
//!
//! The order to roll a version out and the records of its targets arrive by separate
//! watches, so a record may come first. Targets of a version that appears beside an older
//! one get no requests until an order would have arrived.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::settings::Bounds;
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::Millis;

use super::pauses::WatchPauses;
use super::Control;

/// Allowance for the delivery of an order, in addition to the pause of its watch.
const ORDER_SLACK: Duration = Duration::from_millis(500);

/// When each version of each service was first seen.
pub struct NewVersions {
    held_for: Duration,
    /// First sightings by service and version.
    seen: HashMap<String, HashMap<String, Millis>>,
}

/// Versions whose targets get no requests.
pub struct HeldVersions<'a>(HashSet<(&'a str, &'a str)>);

impl HeldVersions<'_> {
    /// True if targets of this service and version get no requests.
    pub fn contains(&self, service: &str, version: &str) -> bool {
        !self.0.is_empty() && self.0.contains(&(service, version))
    }
}

impl NewVersions {
    pub fn new(bounds: &Bounds) -> Self {
        NewVersions {
            held_for: WatchPauses::new(bounds).operators + ORDER_SLACK,
            seen: HashMap::new(),
        }
    }

    fn held_ms(&self) -> Millis {
        self.held_for.as_millis() as Millis
    }

    /// Records a version of a service. Returns true if it is held from now on.
    fn note(&mut self, now: Millis, service: &str, version: &str) -> bool {
        let held_ms = self.held_ms();
        let versions = match self.seen.get_mut(service) {
            Some(versions) => versions,
            None => self.seen.entry(service.to_string()).or_default(),
        };
        if versions.contains_key(version) {
            return false;
        }
        let is_beside = is_beside_another(versions, now, held_ms);
        versions.insert(version.to_string(), now);
        is_beside
    }

    /// True if any version is held, or was until a moment ago.
    pub fn holds_any(&self, now: Millis) -> bool {
        let just_held = now.saturating_sub(self.held_ms());
        !self.held(now).0.is_empty() || !self.held(just_held).0.is_empty()
    }

    /// The versions held at `now`.
    pub fn held(&self, now: Millis) -> HeldVersions<'_> {
        let held_ms = self.held_ms();
        let mut held = HashSet::new();
        for (service, versions) in &self.seen {
            let new = versions.iter().filter(|(_, seen)| now < **seen + held_ms);
            let new = new.filter(|(_, seen)| is_beside_another(versions, **seen, held_ms));
            held.extend(new.map(|(version, _)| (service.as_str(), version.as_str())));
        }
        HeldVersions(held)
    }
}

/// True if an older version was known when a version appeared at `seen_at`.
fn is_beside_another(versions: &HashMap<String, Millis>, seen_at: Millis, held_ms: Millis) -> bool {
    versions.values().any(|seen| seen + held_ms <= seen_at)
}

impl Control {
    /// Records the version of a target and publishes again when its hold ends.
    pub(super) fn note_version(self: &Rc<Self>, record: &TargetRecord) {
        let (service, version) = (&record.service, &record.version);
        let now = self.clock.now();
        let is_held = self.new_versions.borrow_mut().note(now, service, version);
        if !is_held {
            return;
        }
        let held_for = self.new_versions.borrow().held_for;
        let fields = format_args!(
            "service={} version={} for_ms={}",
            Field(&service),
            Field(&version),
            held_for.as_millis()
        );
        self.log.line(events::VERSION_HELD, fields);
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(held_for).await;
            cx.publish();
        });
    }
}
