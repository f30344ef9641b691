//! The targets' records, as the store or a peer tells them.

use std::rc::Rc;
use std::sync::Arc;

use hollowsail_fleet::{Position, Told};
use hollowsail_observe::events;
use hollowsail_platform::store::{Change, Changes, Item, Range};
use hollowsail_platform::targets::{self, Incarnation, TargetRecord, PREFIX};

use super::follow::Followed;
use super::source::Teller;
use super::Control;
use crate::feed::Keys;
use crate::peers::{RecordAt, RecordsAt};

/// Records that come together from which on they are counted in one line instead of told one
/// by one: a whole fleet's, at each entry, are more than anybody reads.
const MANY_RECORDS: usize = 200;

/// The records' keys.
pub const FOLLOWED: Followed = Followed {
    keys: Keys::Targets,
    prefix: PREFIX,
    may_begin_old: true,
    probes: false,
    take_page: |cx, items| cx.take_some_records(items),
    take_all: |cx, range| {
        cx.take_records(range);
        cx.settle_records_later();
    },
    take_changes: |cx, changes, teller| {
        cx.hear_of_outage(teller);
        cx.take_record_changes(changes, teller);
        cx.settle_records_later();
        cx.watch_pause(&cx.book, cx.pauses.records)
    },
};

impl Control {
    /// Takes a part of the records from the store, so that requests are served by the
    /// targets known so far. Where hundreds of hosts start together and read thousands of
    /// records each, the whole list takes seconds on the store's link.
    fn take_some_records(self: &Rc<Self>, items: &[Item]) {
        let mut changed = 0;
        for item in items {
            changed += usize::from(self.take_record(item, items.len()));
        }
        if changed > 0 {
            self.log_listed(changed, "store");
            self.publish();
        }
    }

    /// Tells of records that came together and are too many to be told one by one.
    fn log_listed(&self, changed: usize, from: &str) {
        if changed >= MANY_RECORDS {
            let fields = format_args!("from={from} changed={changed}");
            self.log.line(events::TARGETS_LISTED, fields);
        }
    }

    /// Takes the rest of a list whose parts were taken: records that it doesn't have are
    /// gone.
    fn take_records(&self, range: &Range) {
        let present: Vec<&str> = range
            .items
            .iter()
            .filter_map(|item| item.key.strip_prefix(PREFIX))
            .collect();
        let now = self.clock.now();
        let gone = self.book.borrow_mut().reconcile(&present, range.at, now);
        self.log_gone(&gone, "not_listed");
        self.records_at.set(range.at);
        self.publish();
    }

    fn take_record_changes(self: &Rc<Self>, changes: &Changes, teller: Teller) {
        if changes.changes.len() >= MANY_RECORDS {
            self.is_list_long.set(true);
        }
        self.records_at.set(changes.at);
        let mut changed = false;
        for change in &changes.changes {
            changed |= self.take_change(change, teller, changes.changes.len());
        }
        if changed {
            self.publish();
        }
    }

    /// Takes one change into the book. True when the book changed.
    fn take_change(self: &Rc<Self>, change: &Change, teller: Teller, together: usize) -> bool {
        match change {
            Change::Put(item) => self.take_record(item, together),
            Change::Deleted { key, at } => {
                let Some(incarnation) = key.strip_prefix(PREFIX) else {
                    return false;
                };
                let is_unsettled = self.is_unsettled(&self.book, teller);
                let mut book = self.book.borrow_mut();
                let gone = book.deleted(incarnation, *at, is_unsettled);
                drop(book);
                if gone {
                    self.log_gone(&[incarnation.to_string()], "record_deleted");
                }
                gone
            }
        }
    }

    /// Takes one record into the book. True when the book changed. One that can't be used
    /// takes its target out of use: others may write there, too, and who did isn't known.
    fn take_record(self: &Rc<Self>, item: &Item, together: usize) -> bool {
        let Some(id) = targets::id_of(&item.key) else {
            return false;
        };
        match targets::decode(id, &item.value) {
            Ok(record) => self.put_record(record, item.at, together),
            Err(err) => {
                let fields = format_args!(
                    "key={} at={} bytes={} why=\"{err}\"",
                    item.key,
                    item.at,
                    item.value.len()
                );
                self.log.line(events::RECORD_UNREADABLE, fields);
                let gone = self.book.borrow_mut().spoiled(id, item.at);
                if gone {
                    self.log_gone(&[id.to_string()], "record_unreadable");
                }
                gone
            }
        }
    }

    /// Takes all records by the word of a peer that hears from the store.
    pub(super) fn adopt_records(self: &Rc<Self>, told: RecordsAt) {
        let present: Vec<String> = told
            .records
            .iter()
            .map(|record| record.record.incarnation.id.clone())
            .collect();
        let together = told.records.len();
        let mut changed = false;
        for RecordAt { at, record } in told.records {
            changed |= self.put_record(record, at, together);
        }
        let present: Vec<&str> = present.iter().map(String::as_str).collect();
        let gone = self.book.borrow_mut().adopt(&present, told.at);
        self.log_gone(&gone, "told_by_peer");
        self.records_at.set(told.at.max(self.records_at.get()));
        if changed || !gone.is_empty() {
            self.publish();
        }
    }

    /// Puts a record into the book, one of so many that came together. True when the book
    /// changed.
    fn put_record(self: &Rc<Self>, record: TargetRecord, at: Position, together: usize) -> bool {
        self.note_version(&record);
        let record = Arc::new(record);
        let Incarnation { id, born } = &record.incarnation;
        let draining = record.draining;
        let told = Told {
            at,
            start: *born,
            draining,
        };
        let mut book = self.book.borrow_mut();
        let changed = book.put(id, told, record.clone());
        if changed && together < MANY_RECORDS {
            let fields = format_args!(
                "target={id} born={born} service={} addr={} hall={} draining={draining} at={at}",
                record.service, record.addr, record.hall
            );
            self.log.line(events::TARGET_RECORD, fields);
        }
        changed
    }

    fn log_gone(&self, gone: &[String], why: &str) {
        for incarnation in gone {
            let fields = format_args!("target={incarnation} why={why}");
            self.log.line(events::TARGET_GONE, fields);
        }
    }

    /// Drops targets that are still missing once the store's return is settled.
    fn settle_records_later(self: &Rc<Self>) {
        self.settle_later(
            |cx| &cx.book,
            |cx, gone| cx.log_gone(gone, "not_back_after_outage"),
        );
    }
}
