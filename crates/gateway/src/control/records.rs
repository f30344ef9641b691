//! The targets' records, as received from the store or a peer.

use std::rc::Rc;
use std::sync::Arc;

use hollowsail_fleet::{Position, RecordMeta};
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::store::{Change, Changes, Item, Range};
use hollowsail_platform::targets::{self, Incarnation, TargetRecord, PREFIX};

use super::follow::Subscription;
use super::source::Origin;
use super::Control;
use crate::feed::KeyGroup;
use crate::peers::{PositionedRecord, RecordsSnapshot, TargetList};

/// Batch size from which changed records are logged as one summary line.
const SUMMARY_THRESHOLD: usize = 200;

/// Follows the targets' records.
pub const SUBSCRIPTION: Subscription = Subscription {
    keys: KeyGroup::Targets,
    prefix: PREFIX,
    allow_stale_start: true,
    probes: false,
    on_page: |cx, items| cx.apply_record_page(items),
    // Its pages are applied already.
    on_part: |_, _| {},
    on_list: |cx, range| {
        cx.apply_record_list(range);
        cx.settle_records_later();
    },
    on_changes: |cx, changes, origin| {
        cx.note_follower_outage(origin);
        cx.apply_record_changes(changes, origin);
        cx.settle_records_later();
        cx.watch_pause(&cx.registry, cx.pauses.records)
    },
};

impl Control {
    /// Applies a page of the list, so that known targets serve requests before the whole
    /// list is read. With hundreds of hosts starting together, that takes seconds.
    fn apply_record_page(self: &Rc<Self>, items: &[Item]) {
        let mut changed = 0;
        for item in items {
            changed += usize::from(self.apply_record(item, items.len()));
        }
        if changed > 0 {
            self.log_listed(changed, "store");
            self.publish();
        }
    }

    /// Logs a summary of records that are too many to be logged one by one.
    fn log_listed(&self, changed: usize, from: &str) {
        if changed >= SUMMARY_THRESHOLD {
            let fields = format_args!("from={from} changed={changed}");
            self.log.line(events::TARGETS_LISTED, fields);
        }
    }

    /// Completes a list whose pages were applied: targets missing from it are gone.
    fn apply_record_list(&self, range: &Range) {
        let present: Vec<&str> = range
            .items
            .iter()
            .filter_map(|item| item.key.strip_prefix(PREFIX))
            .collect();
        let now = self.clock.now();
        let gone = self
            .registry
            .borrow_mut()
            .reconcile(&present, range.at, now);
        self.log_gone(&gone, "not_listed");
        self.lists_read.set(self.lists_read.get() + 1);
        self.records_at.set(range.at);
        self.publish();
    }

    fn apply_record_changes(self: &Rc<Self>, changes: &Changes, origin: Origin) {
        if changes.changes.len() >= SUMMARY_THRESHOLD {
            self.is_list_long.set(true);
        }
        self.records_at.set(changes.at);
        let mut changed = false;
        for change in &changes.changes {
            changed |= self.apply_record_change(change, origin, changes.changes.len());
        }
        if changed {
            self.publish();
        }
    }

    /// Applies one change. Returns true if the registry changed.
    fn apply_record_change(
        self: &Rc<Self>,
        change: &Change,
        origin: Origin,
        batch_size: usize,
    ) -> bool {
        match change {
            Change::Put(item) => self.apply_record(item, batch_size),
            Change::Deleted { key, at } => {
                let Some(incarnation) = key.strip_prefix(PREFIX) else {
                    return false;
                };
                let is_unsettled = self.is_unsettled(&self.registry, origin);
                let mut registry = self.registry.borrow_mut();
                let gone = registry.apply_deletion(incarnation, *at, is_unsettled);
                drop(registry);
                if gone {
                    self.log_gone(&[incarnation.to_string()], "record_deleted");
                }
                gone
            }
        }
    }

    /// Applies one record. Returns true if the registry changed. A malformed record takes
    /// its target out of use, whichever process wrote it.
    fn apply_record(self: &Rc<Self>, item: &Item, batch_size: usize) -> bool {
        let Some(id) = targets::target_id(&item.key) else {
            return false;
        };
        match targets::decode(id, &item.value) {
            Ok(record) => self.put_record(record, item.at, batch_size),
            Err(err) => {
                let fields = format_args!(
                    "key={} at={} bytes={} why={}",
                    Field(&item.key),
                    item.at,
                    item.value.len(),
                    Quoted(&err)
                );
                self.log.line(events::RECORD_UNREADABLE, fields);
                let gone = self.registry.borrow_mut().mark_malformed(id, item.at);
                if gone {
                    self.log_gone(&[id.to_string()], "record_unreadable");
                }
                gone
            }
        }
    }

    /// Adopts all records from a peer, and what it says of missing ones: these stay until they have had
    /// time to be written again.
    pub(super) fn adopt_list(self: &Rc<Self>, list: TargetList) {
        self.adopt_records(list.snapshot);
        let missing = list.missing.iter().map(|(id, at)| (id.as_str(), *at));
        let mut registry = self.registry.borrow_mut();
        let has_changed = registry.adopt_missing(missing);
        if has_changed {
            let now = self.clock.now();
            match list.final_in_ms {
                Some(final_in_ms) => registry.outage_reported_until(now, now + final_in_ms),
                None => registry.outage_reported(now),
            }
        }
        drop(registry);
        if has_changed {
            self.publish();
        }
        self.settle_records_later();
    }

    /// Adopts all records from a peer that follows the store.
    pub(super) fn adopt_records(self: &Rc<Self>, listed: RecordsSnapshot) {
        let present: Vec<String> = listed
            .records
            .iter()
            .map(|record| record.record.incarnation.id.clone())
            .collect();
        let batch_size = listed.records.len();
        let mut changed = false;
        for PositionedRecord { at, record } in listed.records {
            changed |= self.put_record(record, at, batch_size);
        }
        let present: Vec<&str> = present.iter().map(String::as_str).collect();
        let now = self.clock.now();
        let gone = self.registry.borrow_mut().adopt(&present, listed.at, now);
        self.log_gone(&gone, "told_by_peer");
        self.lists_read.set(self.lists_read.get() + 1);
        self.records_at.set(listed.at.max(self.records_at.get()));
        if changed || !gone.is_empty() {
            self.publish();
        }
    }

    /// Puts a record into the registry, as one of `batch_size`. Returns true if the
    /// registry changed.
    fn put_record(self: &Rc<Self>, record: TargetRecord, at: Position, batch_size: usize) -> bool {
        self.note_version(&record);
        let record = Arc::new(record);
        let Incarnation { id, started } = &record.incarnation;
        let draining = record.draining;
        let metadata = RecordMeta {
            at,
            incarnation: *started,
            draining,
        };
        let mut registry = self.registry.borrow_mut();
        let changed = registry.put(id, metadata, record.clone());
        if changed && batch_size < SUMMARY_THRESHOLD {
            let fields = format_args!(
                "target={} born={started} service={} addr={} hall={} draining={draining} at={at}",
                Field(&id),
                Field(&record.service),
                record.addr,
                Field(&record.hall)
            );
            self.log.line(events::TARGET_RECORD, fields);
        }
        changed
    }

    fn log_gone(&self, gone: &[String], why: &str) {
        for incarnation in gone {
            let fields = format_args!("target={} why={why}", Field(&incarnation));
            self.log.line(events::TARGET_GONE, fields);
        }
    }

    /// Removes targets that are still missing once the records have settled after an
    /// outage.
    pub(super) fn settle_records_later(self: &Rc<Self>) {
        self.settle_later(
            |cx| &cx.registry,
            |cx, gone| cx.log_gone(gone, "not_back_after_outage"),
        );
    }
}
