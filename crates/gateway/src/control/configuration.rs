//! Follows the operators' configuration in the store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::deployment::{Deployment, KEY};
use hollowsail_platform::store::{Change, Item, Revision, StoreError};

use super::backoff::Backoff;
use super::Control;

/// How long a watch waits. Each is a call with a price; shorter than the time
/// for which the store keeps its history, so that a quiet watch can go on.
const WATCH_WAIT: Duration = Duration::from_secs(17);

/// Follows until the thread ends.
pub async fn follow(cx: Rc<Control>) {
    let mut backoff = Backoff::default();
    loop {
        match follow_once(&cx, &mut backoff).await {
            Ok(()) | Err(StoreError::HistoryGone) => {}
            Err(err) => {
                cx.store_failed(&err);
                backoff.pause().await;
            }
        }
    }
}

/// Reads the configuration, then takes its changes until the store fails.
async fn follow_once(cx: &Control, backoff: &mut Backoff) -> Result<(), StoreError> {
    let range = cx.store.range(KEY, false).await?;
    cx.store_answered();
    backoff.reset();
    for item in &range.items {
        cx.take_configuration(item);
    }
    let mut revision: Revision = range.revision;
    loop {
        let watch = cx.store.watch(KEY, revision, WATCH_WAIT);
        let changes = cx.until_store_lost(watch).await?;
        cx.store_answered();
        revision = changes.revision;
        for change in &changes.changes {
            if let Change::Put(item) = change {
                cx.take_configuration(item);
            }
        }
    }
}

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
