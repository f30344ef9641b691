//! Derives the targets that traffic may use from the control thread's state.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hollowsail_fleet::{EvacuatedHalls, WarmUpRecord};
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::targets::Incarnation;
use hollowsail_streams::ListedVersion;
use hollowsail_targets::UsableTarget;

use super::Control;
use crate::view::RestoredTarget;

impl Control {
    /// Targets that may get new work: usable, in no evacuated hall, and of no held version.
    pub(super) fn usable_targets(&self, evacuated: &EvacuatedHalls) -> Vec<UsableTarget> {
        let registry = self.registry.borrow();
        let warm_ups = self.warm_ups.borrow();
        let new_versions = self.new_versions.borrow();
        let held = new_versions.held(self.clock.now());
        let eligible = registry
            .usable()
            .filter(|target| !evacuated.contains(&target.hall))
            .filter(|target| !held.contains(&target.service, &target.version));
        let targets = eligible.map(|record| UsableTarget {
            warm_up_until: warm_ups.until(&record.incarnation.id),
            record: record.clone(),
        });
        targets.collect()
    }

    /// True if the usable targets also depend on the time.
    pub(super) fn depends_on_time(&self) -> bool {
        self.new_versions.borrow().holds_any(self.clock.now())
    }

    /// Targets that are draining by their records or by what peers have heard.
    pub(super) fn draining_targets(&self) -> Vec<Incarnation> {
        let registry = self.registry.borrow();
        let draining = registry.draining();
        draining.map(|record| record.incarnation.clone()).collect()
    }

    /// Takes over what a peer has heard of draining targets.
    pub(super) fn merge_draining(&self, received: &[Incarnation]) {
        let mut registry = self.registry.borrow_mut();
        let mut mark = |target: &&Incarnation| registry.mark_draining(&target.id, target.started);
        let marked: Vec<&Incarnation> = received.iter().filter(&mut mark).collect();
        drop(registry);
        for target in &marked {
            let fields = format_args!(
                "target={} born={} by=peer",
                Field(&target.id),
                target.started
            );
            self.log.line(events::TARGET_LEAVES, fields);
        }
        if !marked.is_empty() {
            self.publish();
        }
    }

    /// Targets that had left before the store was restored from a copy that still has their record.
    pub(super) fn restored_targets(&self) -> Vec<RestoredTarget> {
        let registry = self.registry.borrow();
        let restored = registry.restored().map(|(at, record)| RestoredTarget {
            incarnation: record.incarnation.clone(),
            at,
        });
        restored.collect()
    }

    /// Takes over which targets of a restored store had left, according to a peer.
    pub(super) fn merge_restored(self: &Rc<Self>, received: &[RestoredTarget]) {
        let mut registry = self.registry.borrow_mut();
        let mut mark = |target: &&RestoredTarget| {
            let Incarnation { id, started } = &target.incarnation;
            registry.mark_restored(id, *started, target.at)
        };
        let marked: Vec<&RestoredTarget> = received.iter().filter(&mut mark).collect();
        drop(registry);
        for target in &marked {
            let fields = format_args!(
                "target={} at={} why=told_by_peer",
                Field(&target.incarnation.id),
                target.at
            );
            self.log.line(events::TARGET_GONE, fields);
        }
        if !marked.is_empty() {
            self.publish();
            self.settle_records_later();
        }
    }

    /// Software versions of all targets, in order.
    pub(super) fn listed_versions(&self) -> Vec<ListedVersion> {
        let registry = self.registry.borrow();
        let mut is_ready: BTreeMap<(&str, &str), bool> = BTreeMap::new();
        for (_, record) in registry.all() {
            let version = (record.service.as_str(), record.version.as_str());
            *is_ready.entry(version).or_default() |= !record.draining;
        }
        let versions = is_ready.into_iter();
        let versions = versions.map(|((service, version), is_ready)| ListedVersion {
            service: service.to_string(),
            version: version.to_string(),
            is_ready,
        });
        versions.collect()
    }

    /// Updates warm-ups from the present records.
    pub(super) fn update_warm_ups(&self) {
        let registry = self.registry.borrow();
        let warming_up = registry.all().filter(|(_, record)| record.warm_up_ms > 0);
        let warming_up = warming_up.map(|(at, record)| WarmUpRecord {
            incarnation: &record.incarnation.id,
            at,
            remaining_ms: record.warm_up_ms,
        });
        self.warm_ups
            .borrow_mut()
            .replace(self.clock.now(), warming_up);
    }

    /// Services whose usable targets are all in evacuated halls.
    pub(super) fn evacuated_services(&self, evacuated: &EvacuatedHalls) -> BTreeSet<String> {
        let registry = self.registry.borrow();
        let services = |is_inside: bool| -> BTreeSet<&str> {
            let targets = registry.usable();
            let in_halls = targets.filter(|target| evacuated.contains(&target.hall) == is_inside);
            in_halls.map(|target| target.service.as_str()).collect()
        };
        let missing = &services(true) - &services(false);
        missing.into_iter().map(str::to_string).collect()
    }
}
