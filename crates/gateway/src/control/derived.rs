//! Parts of a view that are derived from the registries and cached until these change.
//!
//! A view is published for every change. Without the cache, each change of one target would
//! cost time in proportion to the number of entries, and the other way around.

use std::cell::RefCell;
use std::sync::Arc;

use hollowsail_fleet::{EvacuatedHalls, NewestRuns, Position};
use hollowsail_platform::targets::TargetRecord;

use super::Control;
use crate::peers::PeerRecord;
use crate::view::{KnownRecords, Targets};

/// A value, and the registry's change count that it is valid for.
type AsOf<T> = RefCell<Option<(u64, T)>>;

/// All records with their positions, and the missing ones.
type Records = (
    Arc<[(Position, Arc<TargetRecord>)]>,
    Arc<[(String, Position)]>,
);

/// The last derived values.
#[derive(Default)]
pub(super) struct Derived {
    peers: AsOf<Arc<[PeerRecord]>>,
    newest_runs: RefCell<NewestRuns>,
    records: AsOf<Records>,
    targets: AsOf<(EvacuatedHalls, Arc<Targets>)>,
}

/// The cached value if it is valid for `changes`, else the result of `derive`.
fn as_of<T: Clone>(known: &AsOf<T>, changes: u64, derive: impl FnOnce() -> T) -> T {
    let mut known = known.borrow_mut();
    match known.as_ref().filter(|(as_of, _)| *as_of == changes) {
        Some((_, known)) => known.clone(),
        None => {
            let new = derive();
            *known = Some((changes, new.clone()));
            new
        }
    }
}

impl Control {
    /// One record per host, that of its newest run. The record of a killed run stays until
    /// its lease expires, also after a later run has removed its own.
    pub(super) fn peers_now(&self) -> Arc<[PeerRecord]> {
        let registry = self.peers.borrow();
        as_of(&self.derived.peers, registry.change_count(), || {
            let records = registry.usable_with_positions();
            let mut newest_runs = self.derived.newest_runs.borrow_mut();
            let newest = newest_runs.choose(records, |peer: &PeerRecord| &peer.host);
            newest.into_iter().cloned().collect()
        })
    }

    /// Records that peers may adopt.
    pub(super) fn records_for_peers(&self) -> KnownRecords {
        let registry = self.registry.borrow();
        let (records, missing) = as_of(&self.derived.records, registry.change_count(), || {
            let records = registry.all().map(|(at, record)| (at, record.clone()));
            let missing = registry.missing().map(|(id, at)| (id.to_string(), at));
            (records.collect(), missing.collect())
        });
        KnownRecords {
            at: self.records_at.get(),
            lists_read: self.lists_read.get(),
            records,
            missing,
            missing_final_at: registry.settles_at(),
        }
    }

    /// The targets for a view. While some of them depend on the time, they aren't cached.
    pub(super) fn targets_now(&self, evacuated: &EvacuatedHalls) -> Arc<Targets> {
        let changes = self.registry.borrow().change_count();
        let depends_on_time = self.depends_on_time();
        let mut known = self.derived.targets.borrow_mut();
        if let Some((as_of, (halls, targets))) = known.as_ref() {
            if *as_of == changes && halls == evacuated && !depends_on_time {
                return targets.clone();
            }
        }
        let targets = Arc::new(Targets {
            usable: self.usable_targets(evacuated),
            draining: self.draining_targets(),
            restored: self.restored_targets(),
            evacuated_services: self.evacuated_services(evacuated),
            versions: self.listed_versions(),
        });
        *known = (!depends_on_time).then(|| (changes, (evacuated.clone(), targets.clone())));
        targets
    }
}
