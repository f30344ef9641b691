//! The operators' keys in the store: the configuration, and the halls that they empty.
//!
//! Both are followed by one watch. The halls are taken before the configuration, so that
//! an entry which has just started serves nothing in a hall that is empty.

use std::rc::Rc;

use hollowsail_platform::deployment::KEY;
use hollowsail_platform::operators::PREFIX;
use hollowsail_platform::store::{Change, Changes, Range};

use super::follow::Followed;
use super::Control;
use crate::feed::Keys;

/// The operators' keys.
pub const FOLLOWED: Followed = Followed {
    keys: Keys::Operators,
    prefix: PREFIX,
    may_begin_old: false,
    probes: true,
    take_page: |_, _| {},
    take_all: |cx, range| cx.take_operators_keys(range),
    take_changes: |cx, changes, _| {
        cx.take_operators_changes(changes);
        cx.pauses.operators
    },
};

impl Control {
    fn take_operators_keys(self: &Rc<Self>, range: &Range) {
        self.take_emptied_list(range);
        for item in range.items.iter().filter(|item| item.key == KEY) {
            self.take_source(&item.value, "store");
        }
    }

    fn take_operators_changes(self: &Rc<Self>, changes: &Changes) {
        self.take_emptied_changes(changes);
        for change in &changes.changes {
            match change {
                Change::Put(item) if item.key == KEY => self.take_source(&item.value, "store"),
                Change::Put(_) | Change::Deleted { .. } => {}
            }
        }
    }
}
