//! The data halls that operators have evacuated, as received from the store or a peer.

use hollowsail_fleet::EvacuatedHalls;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::operators::evacuated_hall;
use hollowsail_platform::store::{Change, Changes, Range};

use super::Control;

impl Control {
    /// Replaces the evacuated halls by the store's list.
    pub(super) fn apply_evacuated_list(&self, range: &Range) {
        let items = range.items.iter();
        let listed = items.filter_map(|item| {
            let hall = evacuated_hall(&item.key)?;
            Some((hall.to_string(), item.at))
        });
        let listed = listed.collect();
        self.update_evacuated("store", |halls| halls.apply_list(range.at, listed));
    }

    /// Applies evacuations and reinstatements reported by a watch.
    pub(super) fn apply_evacuated_changes(&self, changes: &Changes) {
        self.update_evacuated("store", |halls| {
            let mut changed = false;
            for change in &changes.changes {
                changed |= apply_change(halls, change);
            }
            halls.advance_to(changes.at);
            changed
        });
    }

    /// Adopts a peer's list if it is newer.
    pub(super) fn adopt_evacuated(&self, reported: EvacuatedHalls) {
        self.update_evacuated("peer", |halls| halls.adopt(reported));
    }

    /// Applies `change`; logs and publishes the result if the halls changed.
    pub(super) fn update_evacuated(
        &self,
        from: &str,
        change: impl FnOnce(&mut EvacuatedHalls) -> bool,
    ) {
        let changed = change(&mut self.evacuated.borrow_mut());
        if !changed {
            return;
        }
        let halls = self.evacuated.borrow();
        let names: Vec<&str> = halls.names().collect();
        let fields = format_args!(
            "halls={} as_of={} from={from}",
            Field(&names.join(",")),
            halls.as_of()
        );
        self.log.line(events::HALLS_EMPTIED, fields);
        drop(halls);
        self.publish();
    }
}

/// Applies one change. Returns true if the evacuated halls changed.
fn apply_change(halls: &mut EvacuatedHalls, change: &Change) -> bool {
    match change {
        Change::Put(item) => {
            evacuated_hall(&item.key).is_some_and(|hall| halls.apply_evacuation(hall, item.at))
        }
        Change::Deleted { key, at } => {
            evacuated_hall(key).is_some_and(|hall| halls.apply_reinstatement(hall, *at))
        }
    }
}
