//! Maintains this entry's record in the store, by which peers detect that it is live.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_observe::text::Quoted;
use hollowsail_platform::store::{Lease, StoreError};

use super::backoff::Backoff;
use super::epoch;
use super::Control;

/// Lease of the record. An entry that only the store can't reach continues to serve, so its
/// record must outlast that: if peers disagreed on whether a queue's owner is live, two
/// owners would send calls to the same workers. A crashed entry is detected sooner, by
/// unanswered messages.
pub(super) const LEASE: Duration = Duration::from_secs(30);
/// Interval between renewals; a lease survives two lost ones. Renewals also show that the
/// store answers, which an idle watch doesn't.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_900);
/// Minimum interval per live entry, which bounds the fleet's rate of renewals.
const RENEW_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(4);
/// Upper bound of the interval in a very large fleet; a lease survives three lost renewals.
const MAX_RENEW_INTERVAL: Duration = Duration::from_millis(7_500);
/// Interval at a store that reports epochs: an idle watch may not show a new epoch, which
/// must be found within the 2 s for a draining target.
const RENEW_INTERVAL_WITH_EPOCHS: Duration = Duration::from_millis(1_500);

/// Interval while other entries receive changes through this one and must learn soon that
/// it lost the store. A renewal costs a tenth of other calls.
const RENEW_INTERVAL_FOR_OTHERS: Duration = Duration::from_millis(500);
/// Time without an answer to a renewal after which other entries are notified: longer than
/// the store takes while it is slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maintains the record of this entry until a planned stop.
pub async fn maintain(cx: Rc<Control>) {
    let mut backoff = Backoff::default();
    while !cx.is_stopping.get() {
        if let Err(err) = maintain_once(&cx, &mut backoff).await {
            let lease = cx.lease.take();
            cx.feeds.set_store_silent(true);
            cx.store_failed(&err);
            cx.log.line(
                events::MEMBER,
                format_args!("state=unrecorded why={}", Quoted(&err)),
            );
            let is_epoch_over = lease.is_some_and(|lease| lease.epoch() < cx.store.epoch());
            if !is_epoch_over {
                backoff.pause().await;
            }
        }
    }
}

/// Writes the record and renews its lease until that fails.
async fn maintain_once(cx: &Rc<Control>, backoff: &mut Backoff) -> Result<(), StoreError> {
    let lease = cx.store.lease(LEASE.max(cx.min_lease)).await?;
    #[expect(clippy::expect_used, reason = "plain structs always encode")]
    let value = rmp_serde::to_vec(&cx.me).expect("this type always encodes");
    match cx.store.put(&cx.me.key(), None, &value, lease).await {
        Ok(_) => {}
        // The record of an earlier lease, whose response was lost, is still there.
        Err(StoreError::Conflict) => replace_record(cx, &value, lease).await?,
        Err(err) => return Err(err),
    }
    cx.store_answered();
    cx.lease.set(Some(lease));
    cx.feeds.set_store_silent(false);
    backoff.reset();
    if cx.is_stopping.get() {
        // The stop began before the lease was known.
        cx.deregister().await;
    }
    while !cx.is_stopping.get() {
        tokio::select! {
            () = wait_for_renewal(cx) => renew(cx, lease).await?,
            () = cx.store.wait_for_later_epoch(lease.epoch()) => {
                // Other entries learned of the new epoch at the same time.
                epoch::random_delay().await;
                return Err(StoreError::LeaseExpired);
            }
        }
    }
    Ok(())
}

async fn replace_record(cx: &Control, value: &[u8], lease: Lease) -> Result<(), StoreError> {
    let key = cx.me.key();
    let expected = cx.store.get(&key).await?.map(|item| item.at);
    cx.store.put(&key, expected, value, lease).await?;
    Ok(())
}

/// Waits until the next renewal is due, or until other entries begin to rely on this one.
async fn wait_for_renewal(cx: &Control) {
    let interval = match cx.store.epoch() {
        0 => (RENEW_INTERVAL_PER_ENTRY * cx.peers_now().len() as u32)
            .clamp(RENEW_INTERVAL, MAX_RENEW_INTERVAL),
        _ => RENEW_INTERVAL_WITH_EPOCHS,
    };
    let mut waited = Duration::ZERO;
    while waited < interval {
        tokio::time::sleep(RENEW_INTERVAL_FOR_OTHERS).await;
        waited += RENEW_INTERVAL_FOR_OTHERS;
        if cx.feeds.is_followed() {
            return;
        }
    }
}

/// Renews the lease. Notifies dependent entries if the store doesn't answer within
/// [`ANSWER_TIMEOUT`].
async fn renew_in_time(cx: &Control, lease: Lease) -> Result<(), StoreError> {
    let mut renewing = std::pin::pin!(cx.store.renew(lease));
    let renewed = match tokio::time::timeout(ANSWER_TIMEOUT, renewing.as_mut()).await {
        Ok(renewed) => renewed,
        Err(_) => {
            cx.feeds.set_store_silent(true);
            renewing.await
        }
    };
    cx.feeds.set_store_silent(renewed.is_err());
    renewed
}

/// Renews the lease. Fails only when the lease has ended; an unreachable store doesn't show
/// that.
async fn renew(cx: &Rc<Control>, lease: Lease) -> Result<(), StoreError> {
    match renew_in_time(cx, lease).await {
        Err(StoreError::LeaseExpired) => Err(StoreError::LeaseExpired),
        Err(err) => {
            cx.store_failed(&err);
            Ok(())
        }
        Ok(()) => {
            cx.store_answered();
            Ok(())
        }
    }
}

impl Control {
    /// Removes this entry's record, so that peers stop using it at once.
    pub async fn deregister(&self) {
        self.is_stopping.set(true);
        // Entries that follow the store through this one switch at once.
        self.feeds.store_unreachable();
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(err) = self.store.end_lease(lease).await {
            let fields = format_args!("state=leaving why={}", Quoted(&err));
            self.log.line(events::MEMBER, fields);
        }
    }
}
