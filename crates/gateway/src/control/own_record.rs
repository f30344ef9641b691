//! Keeps this entry's record in the store, by which its peers know that it
//! lives.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::store::{Lease, StoreError};

use super::backoff::Backoff;
use super::era;
use super::Control;

/// How long the record of an entry that fell silent stays. Peers notice a dead one
/// sooner, when it owes them an answer, and a planned stop ends the lease. An entry that
/// the store alone can't reach serves on, so its record must outlast that: else those that
/// see the record of a queue's owner lapse take another entry for the owner, those that
/// are cut off don't, and both send calls to the same workers.
pub(super) const LEASE: Duration = Duration::from_secs(30);
/// Between two renewals; two may be lost. They also show that the store answers:
/// a watch that hears nothing looks the same when nothing changes.
const RENEW_EVERY: Duration = Duration::from_millis(1_900);
/// The same for each live entry, where that is longer: all entries together renew no more
/// often than so.
const RENEW_EACH: Duration = Duration::from_millis(4);
/// The same at most, in a very large fleet: three renewals may be lost.
const MOST_RENEW: Duration = Duration::from_millis(7_500);
/// The same at a store that names its era: that it came back from an older copy may show in
/// no watch, and this is how it is found within the 2 s for a target that leaves.
const RENEW_WITH_ERAS_EVERY: Duration = Duration::from_millis(1_500);

/// The same while others hear from the store through this entry: they have to know soon
/// when it doesn't hear itself. A renewal costs a tenth of other calls.
const RENEW_FOR_OTHERS_EVERY: Duration = Duration::from_millis(500);
/// How long the store may owe the answer to a renewal before others are told: longer than
/// it takes while it is slow.
const ANSWERED_WITHIN: Duration = Duration::from_millis(600);

/// Keeps the record of this entry until a planned stop.
pub async fn keep(cx: Rc<Control>) {
    let mut backoff = Backoff::default();
    while !cx.is_leaving.get() {
        if let Err(err) = keep_once(&cx, &mut backoff).await {
            let lease = cx.lease.take();
            cx.feeds.set_silent(true);
            cx.store_failed(&err);
            cx.log.line(
                events::MEMBER,
                format_args!("state=unrecorded why=\"{err}\""),
            );
            let is_era_over = lease.is_some_and(|lease| lease.era() < cx.store.era());
            if !is_era_over {
                backoff.pause().await;
            }
        }
    }
}

/// Writes the record and renews its lease until that fails.
async fn keep_once(cx: &Rc<Control>, backoff: &mut Backoff) -> Result<(), StoreError> {
    let lease = cx.store.lease(LEASE.max(cx.shortest_lease)).await?;
    let value = rmp_serde::to_vec(&cx.me).expect("this type always encodes");
    match cx.store.put(&cx.me.key(), None, &value, lease).await {
        Ok(_) => {}
        // The record of an earlier lease, whose answer was lost, is still there.
        Err(StoreError::Conflict) => replace_record(cx, &value, lease).await?,
        Err(err) => return Err(err),
    }
    cx.note_era();
    cx.lease.set(Some(lease));
    cx.feeds.set_silent(false);
    backoff.reset();
    if cx.is_leaving.get() {
        // The stop came before the store had answered, and knew of no lease yet.
        cx.leave().await;
    }
    while !cx.is_leaving.get() {
        tokio::select! {
            () = wait_for_renewal(cx) => renew(cx, lease).await?,
            () = cx.store.later_era(lease.era()) => {
                // Others heard of it by the same answer; renewals are spread as they are.
                era::spread().await;
                return Err(StoreError::LeaseOver);
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

/// Waits until the next renewal is due, sooner when others begin to rely on this entry.
async fn wait_for_renewal(cx: &Control) {
    let every = match cx.store.era() {
        0 => (RENEW_EACH * cx.peers_now().len() as u32).clamp(RENEW_EVERY, MOST_RENEW),
        _ => RENEW_WITH_ERAS_EVERY,
    };
    let mut waited = Duration::ZERO;
    while waited < every {
        tokio::time::sleep(RENEW_FOR_OTHERS_EVERY).await;
        waited += RENEW_FOR_OTHERS_EVERY;
        if cx.feeds.is_read() {
            return;
        }
    }
}

/// Renews; others are told meanwhile when the store owes the answer.
async fn renew_in_time(cx: &Control, lease: Lease) -> Result<(), StoreError> {
    let mut renewing = std::pin::pin!(cx.store.renew(lease));
    let renewed = match tokio::time::timeout(ANSWERED_WITHIN, renewing.as_mut()).await {
        Ok(renewed) => renewed,
        Err(_) => {
            cx.feeds.set_silent(true);
            renewing.await
        }
    };
    cx.feeds.set_silent(renewed.is_err());
    renewed
}

/// Renews until the lease is over; a store that is away says nothing of it.
async fn renew(cx: &Control, lease: Lease) -> Result<(), StoreError> {
    match renew_in_time(cx, lease).await {
        Err(StoreError::LeaseOver) => Err(StoreError::LeaseOver),
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
    /// Gives this entry's record up, so that peers pass it over at once.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        // Those that ask here go elsewhere at once.
        self.feeds.store_away();
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(err) = self.store.end_lease(lease).await {
            let fields = format_args!("state=leaving why=\"{err}\"");
            self.log.line(events::MEMBER, fields);
        }
    }
}
