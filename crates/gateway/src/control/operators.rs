//! The operators' keys in the store: the configuration, evacuated halls, and orders to roll
//! versions out.
//!
//! One watch follows them all. Halls and orders are applied before the configuration, so
//! that an entry that has just started sends nothing to an evacuated hall or to a version
//! on trial.

use std::rc::Rc;

use hollowsail_platform::deployment::KEY;
use hollowsail_platform::operators::PREFIX;
use hollowsail_platform::store::{Change, Changes, Range};

use super::follow::Subscription;
use super::Control;
use crate::feed::KeyGroup;

/// Follows the operators' keys.
pub const SUBSCRIPTION: Subscription = Subscription {
    keys: KeyGroup::Operators,
    prefix: PREFIX,
    allow_stale_start: false,
    probes: true,
    on_page: |_, _| {},
    on_part: |cx, changes| cx.apply_operator_changes(changes),
    on_list: |cx, range| cx.apply_operator_keys(range),
    on_changes: |cx, changes, _| {
        cx.apply_operator_changes(changes);
        cx.pauses.operators
    },
};

impl Control {
    fn apply_operator_keys(self: &Rc<Self>, range: &Range) {
        self.apply_evacuated_list(range);
        self.apply_order_list(range);
        for item in range.items.iter().filter(|item| item.key == KEY) {
            self.apply_configuration(&item.value, "store");
        }
    }

    fn apply_operator_changes(self: &Rc<Self>, changes: &Changes) {
        self.apply_evacuated_changes(changes);
        self.apply_order_changes(changes);
        for change in &changes.changes {
            match change {
                Change::Put(item) if item.key == KEY => {
                    self.apply_configuration(&item.value, "store")
                }
                Change::Put(_) | Change::Deleted { .. } => {}
            }
        }
    }
}
