//! The operators' configuration, as the store or a peer tells it.

use std::sync::Arc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::deployment::{Deployment, KEY};
use hollowsail_platform::store::{Change, Item};

use super::follow::Followed;
use super::Control;

/// The configuration's key, which is written seldom: no pause between watches.
pub const FOLLOWED: Followed = Followed {
    prefix: KEY,
    take_all: |cx, range| {
        range
            .items
            .iter()
            .for_each(|item| cx.take_configuration(item))
    },
    take_changes: |cx, changes| {
        for change in &changes.changes {
            if let Change::Put(item) = change {
                cx.take_configuration(item);
            }
        }
        Duration::ZERO
    },
};

impl Control {
    /// Puts a configuration in force unless one as new already is.
    fn take_configuration(&self, item: &Item) {
        if item.key == KEY {
            self.take_source(&item.value, "store");
        }
    }

    /// The same, whoever brought it.
    pub(super) fn take_source(&self, source: &[u8], from: &str) {
        let deployment = match Deployment::decode(source) {
            Ok(deployment) => deployment,
            Err(err) => {
                let fields = format_args!("from={from} why=\"{err}\"");
                self.log.line(events::CONFIGURATION_UNREADABLE, fields);
                return;
            }
        };
        let known = self
            .deployment
            .borrow()
            .as_ref()
            .map_or(0, |known| known.version);
        if deployment.version <= known && known > 0 {
            return;
        }
        self.log.line(
            events::CONFIGURATION_IN_FORCE,
            format_args!(
                "version={} before={known} routes={} services={} from={from}",
                deployment.version,
                deployment.routes.len(),
                deployment.services.len(),
            ),
        );
        *self.deployment.borrow_mut() = Some(Arc::new(deployment));
        *self.source.borrow_mut() = Some(source.into());
        self.publish();
    }
}
