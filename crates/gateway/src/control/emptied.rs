//! The data halls that operators empty, as the store or a peer tells them.

use hollowsail_fleet::EmptiedHalls;
use hollowsail_observe::events;
use hollowsail_platform::operators::emptied_hall;
use hollowsail_platform::store::{Change, Changes, Range};

use super::Control;

impl Control {
    /// Takes all emptied halls from the store.
    pub(super) fn take_emptied_list(&self, range: &Range) {
        let items = range.items.iter();
        let listed = items.filter_map(|item| {
            let hall = emptied_hall(&item.key)?;
            Some((hall.to_string(), item.at))
        });
        let listed = listed.collect();
        self.change_emptied("store", |halls| halls.take_list(range.at, listed));
    }

    /// Takes halls that were emptied or taken back since.
    pub(super) fn take_emptied_changes(&self, changes: &Changes) {
        self.change_emptied("store", |halls| {
            let mut changed = false;
            for change in &changes.changes {
                changed |= take_change(halls, change);
            }
            halls.told_until(changes.at);
            changed
        });
    }

    /// Takes a peer's account where it is newer.
    pub(super) fn adopt_emptied(&self, told: EmptiedHalls) {
        self.change_emptied("peer", |halls| halls.adopt(told));
    }

    /// Makes a change, and puts it in force when it is news.
    pub(super) fn change_emptied(
        &self,
        from: &str,
        change: impl FnOnce(&mut EmptiedHalls) -> bool,
    ) {
        let changed = change(&mut self.emptied.borrow_mut());
        if !changed {
            return;
        }
        let halls = self.emptied.borrow();
        let names: Vec<&str> = halls.names().collect();
        let fields = format_args!(
            "halls={} as_of={} from={from}",
            names.join(","),
            halls.as_of()
        );
        self.log.line(events::HALLS_EMPTIED, fields);
        drop(halls);
        self.publish();
    }
}

/// Takes one change. True when the emptied halls changed.
fn take_change(halls: &mut EmptiedHalls, change: &Change) -> bool {
    match change {
        Change::Put(item) => {
            emptied_hall(&item.key).is_some_and(|hall| halls.emptied(hall, item.at))
        }
        Change::Deleted { key, at } => {
            emptied_hall(key).is_some_and(|hall| halls.taken_back(hall, *at))
        }
    }
}
