//! Whether the store answers, and in which epoch: one state that all loops of the control thread share.
//!
//! Loops report each answer and each failed call ([`Control::store_answered`],
//! [`Control::store_failed`]), and wait on the state itself ([`StoreLink`]). A change is applied to the
//! registries, feeds and views before any waiting loop goes on.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::store_contact::{ContactChange, StoreContact};
use hollowsail_observe::events;
use hollowsail_observe::text::Quoted;
use hollowsail_platform::store::StoreError;
use hollowsail_routing::Millis;
use tokio::sync::watch;

use super::{Control, RECORD_RETURN_MS};
use crate::metrics;

/// The shared state. What changes it wakes all that wait on it.
pub struct StoreLink(watch::Sender<StoreContact>);

impl Default for StoreLink {
    fn default() -> Self {
        StoreLink(watch::Sender::new(StoreContact::default()))
    }
}

impl StoreLink {
    /// True unless the last calls failed.
    pub fn is_reachable(&self) -> bool {
        self.0.borrow().is_reachable()
    }

    /// The newest epoch that was applied; `None` before the first answer.
    pub fn epoch(&self) -> Option<u64> {
        self.0.borrow().epoch()
    }

    #[expect(clippy::expect_used, reason = "send_modify calls the function once")]
    fn update<T>(&self, record: impl FnOnce(&mut StoreContact) -> T) -> T {
        let mut result = None;
        self.0.send_modify(|contact| result = Some(record(contact)));
        result.expect("send_modify calls the function once")
    }

    /// Returns once the store is reachable.
    pub async fn until_reachable(&self) {
        self.until(StoreContact::is_reachable).await;
    }

    /// Returns once the store is unreachable.
    pub async fn until_unreachable(&self) {
        self.until(|contact| !contact.is_reachable()).await;
    }

    /// Waits for an epoch other than the known one, and returns it.
    #[expect(clippy::expect_used, reason = "an epoch that is known stays known")]
    pub async fn next_epoch(&self, known: Option<u64>) -> u64 {
        let contact = self.until(|contact| contact.epoch() != known).await;
        contact.epoch().expect("an epoch that is known stays known")
    }

    #[expect(
        clippy::expect_used,
        reason = "the sender lives as long as this reference"
    )]
    async fn until(&self, is_met: impl Fn(&StoreContact) -> bool) -> StoreContact {
        let mut changes = self.0.subscribe();
        let met = changes.wait_for(is_met).await;
        met.map(|contact| *contact)
            .expect("the sender lives as long as this reference")
    }
}

impl Control {
    /// Handles a successful call to the store. The end of an outage and the beginning of an epoch are
    /// logged and published.
    pub(super) fn store_answered(self: &Rc<Self>) {
        let (now, epoch) = (self.clock.now(), self.store.epoch());
        let change = self
            .store_link
            .update(|contact| contact.record_answer(now, epoch));
        self.apply_contact(change, epoch);
    }

    /// Handles an answer that may be stale: it shows the store's epoch, but not that the store is
    /// reachable.
    pub(super) fn store_answered_stale(self: &Rc<Self>) {
        let epoch = self.store.epoch();
        let change = self
            .store_link
            .update(|contact| contact.record_epoch(epoch));
        self.apply_contact(change, epoch);
    }

    fn apply_contact(self: &Rc<Self>, change: ContactChange, epoch: u64) {
        let now = self.clock.now();
        if change.is_regained {
            self.peers.borrow_mut().store_reachable(now);
            self.registry.borrow_mut().store_reachable(now);
            self.log
                .line(events::STORE_BACK, format_args!("era={epoch}"));
        }
        if let Some(before) = change.epoch_before {
            self.begin_epoch(before, epoch);
        }
        if change != ContactChange::default() {
            if self.store_link.is_reachable() {
                self.feeds
                    .store_reachable(Duration::from_millis(RECORD_RETURN_MS));
            }
            self.publish();
            self.settle_records_later();
            self.settle_peers_later();
        }
    }

    /// Handles a failed call to the store; an outage is logged and published.
    pub(super) fn store_failed(&self, err: &StoreError) {
        if !err.shows_outage() {
            return;
        }
        let began = match err {
            StoreError::TimedOut { timeout } => {
                let now = self.clock.now();
                Some(now.saturating_sub(timeout.as_millis() as Millis))
            }
            _ => None,
        };
        let is_lost = self
            .store_link
            .update(|contact| contact.record_failure(began));
        if is_lost {
            self.peers.borrow_mut().store_unreachable();
            self.registry.borrow_mut().store_unreachable();
            self.feeds.store_unreachable();
            self.log
                .line(events::STORE_LOST, format_args!("why={}", Quoted(&err)));
            metrics::count_store_outage();
            self.publish();
        }
    }
}
