//! Which targets traffic may use, by all that control knows.

use std::collections::BTreeSet;

use hollowsail_fleet::{ColdRecord, EmptiedHalls};
use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::UsableTarget;

use super::Control;

impl Control {
    /// Targets that may get new work: usable, and in no emptied hall.
    pub(super) fn usable_targets(&self, emptied: &EmptiedHalls) -> Vec<UsableTarget> {
        let book = self.book.borrow();
        let cold = self.cold.borrow();
        let new_versions = self.new_versions.borrow();
        let held = new_versions.held(self.clock.now());
        let outside = book
            .usable()
            .filter(|target| !emptied.contains(&target.hall))
            .filter(|target| !held.contains(&target.service, &target.version));
        let targets = outside.map(|record| UsableTarget {
            cold_until: cold.until(&record.incarnation.id),
            record: record.clone(),
        });
        targets.collect()
    }

    /// True while which targets may get new work depends on the time, too.
    pub(super) fn changes_with_time(&self) -> bool {
        self.new_versions.borrow().holds_any(self.clock.now())
    }

    /// Targets whose records say that they leave.
    pub(super) fn leaving_targets(&self) -> Vec<Incarnation> {
        let book = self.book.borrow();
        let leaving = book.all().filter(|(_, record)| record.draining);
        leaving
            .map(|(_, record)| record.incarnation.clone())
            .collect()
    }

    /// Takes what the records at hand tell of cold spells.
    pub(super) fn take_cold_spells(&self) {
        let book = self.book.borrow();
        let cold = book.all().filter(|(_, record)| record.cold_ms > 0);
        let cold = cold.map(|(at, record)| ColdRecord {
            incarnation: &record.incarnation.id,
            at,
            cold_ms: record.cold_ms,
        });
        self.cold.borrow_mut().take(self.clock.now(), cold);
    }

    /// Names of services that have usable targets, all of them in emptied halls.
    pub(super) fn emptied_services(&self, emptied: &EmptiedHalls) -> BTreeSet<String> {
        let book = self.book.borrow();
        let services = |is_inside: bool| -> BTreeSet<&str> {
            let targets = book.usable();
            let there = targets.filter(|target| emptied.contains(&target.hall) == is_inside);
            there.map(|target| target.service.as_str()).collect()
        };
        let missing = &services(true) - &services(false);
        missing.into_iter().map(str::to_string).collect()
    }
}
