//! Targets whose version a service didn't have before.
//!
//! The order to roll a version out comes by another watch than the records of its targets,
//! so a record may be known first. Targets of a version that has just come beside another
//! one get nothing until an order would be known.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::settings::Bounds;
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::Millis;

use super::pauses::WatchPauses;
use super::Control;

/// What an order may need to come here besides the pause of its watch: some hops.
const ORDER_SLACK: Duration = Duration::from_millis(500);

/// When versions of services were first seen.
pub struct NewVersions {
    held_for: Duration,
    /// By service and version.
    seen: HashMap<String, HashMap<String, Millis>>,
}

/// Versions whose targets get nothing now.
pub struct Held<'a>(HashSet<(&'a str, &'a str)>);

impl Held<'_> {
    /// True when targets of a service with some version get nothing.
    pub fn contains(&self, service: &str, version: &str) -> bool {
        !self.0.is_empty() && self.0.contains(&(service, version))
    }
}

impl NewVersions {
    /// None seen yet.
    pub fn new(bounds: &Bounds) -> Self {
        NewVersions {
            held_for: WatchPauses::new(bounds).operators + ORDER_SLACK,
            seen: HashMap::new(),
        }
    }

    fn held_ms(&self) -> Millis {
        self.held_for.as_millis() as Millis
    }

    /// A version of a service was seen. True when it is held from now on.
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

    /// True when targets of some version get nothing, or did a moment ago.
    pub fn holds_any(&self, now: Millis) -> bool {
        let just_held = now.saturating_sub(self.held_ms());
        !self.held(now).0.is_empty() || !self.held(just_held).0.is_empty()
    }

    /// The versions that are held at a moment.
    pub fn held(&self, now: Millis) -> Held<'_> {
        let held_ms = self.held_ms();
        let mut held = HashSet::new();
        for (service, versions) in &self.seen {
            let new = versions.iter().filter(|(_, seen)| now < **seen + held_ms);
            let new = new.filter(|(_, seen)| is_beside_another(versions, **seen, held_ms));
            held.extend(new.map(|(version, _)| (service.as_str(), version.as_str())));
        }
        Held(held)
    }
}

/// True when a version that came at a moment came beside one that was known before.
fn is_beside_another(versions: &HashMap<String, Millis>, at: Millis, held_ms: Millis) -> bool {
    versions.values().any(|seen| seen + held_ms <= at)
}

impl Control {
    /// Notes the version that a record names.
    pub(super) fn note_version(self: &Rc<Self>, record: &TargetRecord) {
        let (service, version) = (&record.service, &record.version);
        let now = self.clock.now();
        let is_held = self.new_versions.borrow_mut().note(now, service, version);
        if !is_held {
            return;
        }
        let held_for = self.new_versions.borrow().held_for;
        let fields = format_args!(
            "service={service} version={version} for_ms={}",
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
