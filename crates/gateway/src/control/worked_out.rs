//! Parts of a view that are worked out from the books, and hold until these change.
//!
//! A view is published for each change, of whatever kind. Worked out anew for each, every
//! change of one target would cost time in proportion to the entries, and every change of
//! one entry time in proportion to the targets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;

use hollowsail_fleet::{EmptiedHalls, Position};
use hollowsail_platform::targets::TargetRecord;

use super::Control;
use crate::peers::PeerRecord;
use crate::view::{KnownRecords, Targets};

/// Something, and the number of the book's changes up to which it holds.
type AsOf<T> = RefCell<Option<(u64, T)>>;

/// All records with their positions.
type Records = Arc<[(Position, Arc<TargetRecord>)]>;

/// What was worked out last.
#[derive(Default)]
pub(super) struct WorkedOut {
    peers: AsOf<Arc<[PeerRecord]>>,
    records: AsOf<Records>,
    targets: AsOf<(EmptiedHalls, Arc<Targets>)>,
}

/// What is known, if it is as new as `changes`, else what `work_out` gives.
fn as_of<T: Clone>(known: &AsOf<T>, changes: u64, work_out: impl FnOnce() -> T) -> T {
    let mut known = known.borrow_mut();
    match known.as_ref().filter(|(as_of, _)| *as_of == changes) {
        Some((_, known)) => known.clone(),
        None => {
            let new = work_out();
            *known = Some((changes, new.clone()));
            new
        }
    }
}

impl Control {
    /// One record for each host: that of its newest run. The record of a run that was killed
    /// stays until its lease is over.
    pub(super) fn peers_now(&self) -> Arc<[PeerRecord]> {
        let book = self.peers.borrow();
        as_of(&self.worked_out.peers, book.changes(), || {
            let mut newest: BTreeMap<&str, (Position, &PeerRecord)> = BTreeMap::new();
            for (at, peer) in book.usable_at() {
                let known = newest.entry(&peer.host).or_insert((at, peer));
                if at > known.0 {
                    *known = (at, peer);
                }
            }
            newest.into_values().map(|(_, peer)| peer.clone()).collect()
        })
    }

    /// What peers may take over; nothing while the store is away here.
    pub(super) fn records_for_peers(&self) -> Option<KnownRecords> {
        let book = self.book.borrow();
        if book.is_store_away() {
            return None;
        }
        let records = as_of(&self.worked_out.records, book.changes(), || {
            let records = book.all().map(|(at, record)| (at, record.clone()));
            records.collect()
        });
        let at = self.records_at.get();
        Some(KnownRecords { at, records })
    }

    /// The targets, by the books and the emptied halls. Those of versions that have just come
    /// change with time: while there are any, nothing is kept.
    pub(super) fn targets_now(&self, emptied: &EmptiedHalls) -> Arc<Targets> {
        let changes = self.book.borrow().changes();
        let changes_with_time = self.changes_with_time();
        let mut known = self.worked_out.targets.borrow_mut();
        if let Some((as_of, (halls, targets))) = known.as_ref() {
            if *as_of == changes && halls == emptied && !changes_with_time {
                return targets.clone();
            }
        }
        let targets = Arc::new(Targets {
            usable: self.usable_targets(emptied),
            leaving: self.leaving_targets(),
            emptied_services: self.emptied_services(emptied),
        });
        *known = (!changes_with_time).then(|| (changes, (emptied.clone(), targets.clone())));
        targets
    }
}
