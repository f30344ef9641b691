//! Requests that crash targets, kept in the store for entries that start later.
//!
//! The entry that counted the last crash writes the request's digest under a lease as long
//! as the refusal. Entries read the digests together with the entries' records. A deleted
//! digest is no longer refused: its lease has expired, or operators deleted it.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::store::{Change, Item, StoreError};
use hollowsail_routing::crashes::requests::MAX_REFUSAL_MS;
use hollowsail_routing::{Millis, RequestDigest};
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::epoch;
use super::source::Origin;
use super::{Control, Shared};
use crate::crashes::{NewRefusal, RefusalChange, RefusalReceiver, PREFIX};

/// Attempts at writing a refusal, after which only the running entries know it.
const MAX_TRIES: u32 = 5;

/// Value stored under a refused request's key.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct RefusalRecord {
    /// Duration of the refusal from the time of the write, in milliseconds; 0 if it is over.
    for_ms: Millis,
}

/// A refusal written by this entry.
struct Written {
    refusal: NewRefusal,
    at: BootInstant,
}

impl Written {
    /// What is left of it.
    fn rest(&self) -> NewRefusal {
        NewRefusal {
            duration: self.refusal.duration.saturating_sub(self.at.elapsed()),
            lease: self.refusal.lease.saturating_sub(self.at.elapsed()),
            ..self.refusal
        }
    }
}

/// The record of what isn't refused any more; takes the place of the refusal until that expires.
fn lifted(request: RequestDigest) -> NewRefusal {
    NewRefusal {
        request,
        duration: Duration::ZERO,
        lease: Duration::from_millis(MAX_REFUSAL_MS),
    }
}

/// Writes refusals to the store as traffic decides them, and again when the store was
/// restored from an older copy.
pub async fn persist(cx: Rc<Control>, decided: Shared<RefusalReceiver>) {
    let mut decided = decided.lock().await;
    let mut written: Vec<Written> = Vec::new();
    let mut epoch = cx.store.epoch();
    loop {
        tokio::select! {
            change = decided.recv() => {
                let Some(change) = change else { return };
                let refusal = match change {
                    RefusalChange::Refuse(refusal) => refusal,
                    RefusalChange::Lift(request) => lifted(request),
                };
                write_with_retries(&cx, refusal).await;
                written.retain(|known| known.refusal.request != refusal.request);
                written.push(Written { refusal, at: BootInstant::now() });
            }
            () = cx.store.wait_for_later_epoch(epoch) => {
                epoch = cx.store.epoch();
                epoch::random_delay().await;
                written.retain(|known| known.at.elapsed() < known.refusal.lease);
                for known in &written {
                    write_with_retries(&cx, known.rest()).await;
                }
            }
        }
    }
}

/// Writes a refusal, with up to [`MAX_TRIES`] attempts.
async fn write_with_retries(cx: &Control, refusal: NewRefusal) {
    let mut backoff = Backoff::default();
    for _ in 0..MAX_TRIES {
        let Err(err) = write(cx, refusal).await else {
            return;
        };
        cx.store_failed(&err);
        let content = refusal.request;
        let fields = format_args!("content={content} standing=unrecorded why={}", Quoted(&err));
        cx.log.line(events::REQUEST_STANDING, fields);
        backoff.pause().await;
    }
}

async fn write(cx: &Control, refusal: NewRefusal) -> Result<(), StoreError> {
    let lease = cx.store.lease(refusal.lease.max(cx.min_lease)).await?;
    let key = format!("{PREFIX}{}", refusal.request);
    let record = RefusalRecord {
        for_ms: refusal.duration.as_millis() as Millis,
    };
    #[expect(clippy::expect_used, reason = "plain structs always encode")]
    let value = rmp_serde::to_vec(&record).expect("this type always encodes");
    // Another entry's record, or that of an expired refusal, may be present.
    let current = cx.store.get(&key).await?;
    let expected = current.map(|item| item.at);
    cx.store.put(&key, expected, &value, lease).await?;
    Ok(())
}

/// Parses the request's digest from a key.
fn request_of(key: &str) -> Option<RequestDigest> {
    RequestDigest::parse(key.strip_prefix(PREFIX)?)
}

impl Control {
    /// Applies the complete list. A request missing from it is no longer refused, unless
    /// its lease may have expired or its record may have been lost in an outage.
    pub(super) fn apply_refused_list(&self, items: &[Item]) {
        let listed = items.iter().filter_map(|item| request_of(&item.key));
        let listed: Vec<RequestDigest> = listed.collect();
        if !self.peers.borrow().is_unsettled(self.clock.now()) {
            let mut refused = self.refused.borrow_mut();
            refused.retain(|request, _| listed.contains(request));
        }
        for item in items {
            self.apply_refusal(item);
        }
    }

    /// Applies one change. Returns true if the refusals changed.
    pub(super) fn apply_refused_change(&self, change: &Change, origin: Origin) -> bool {
        match change {
            Change::Put(item) => self.apply_refusal(item),
            Change::Deleted { key, .. } => request_of(key).is_some_and(|request| {
                // Leases may expire while the store is unreachable, which lifts no refusal.
                !self.is_unsettled(&self.peers, origin)
                    && self.refused.borrow_mut().remove(&request).is_some()
            }),
        }
    }

    fn apply_refusal(&self, item: &Item) -> bool {
        let Some(request) = request_of(&item.key) else {
            return false;
        };
        match rmp_serde::from_slice::<RefusalRecord>(&item.value) {
            Ok(record) => self.insert_refusal(request, record.for_ms),
            Err(err) => {
                let fields = format_args!("key={} why={}", Field(&item.key), Quoted(&err));
                self.log.line(events::RECORD_UNREADABLE, fields);
                false
            }
        }
    }

    /// Merges refused requests received from a peer.
    pub(super) fn merge_refused(&self, received: Vec<(RequestDigest, Millis)>) {
        let received = received.into_iter();
        let added = received.filter(|(request, for_ms)| self.insert_refusal(*request, *for_ms));
        if added.count() > 0 {
            self.publish();
        }
    }

    /// Records a refused request, or that it isn't refused any more. Returns true if that is new.
    fn insert_refusal(&self, request: RequestDigest, for_ms: Millis) -> bool {
        let mut refused = self.refused.borrow_mut();
        if for_ms == 0 {
            return refused.remove(&request).is_some();
        }
        let now = self.clock.now();
        let until = now + for_ms.min(MAX_REFUSAL_MS);
        // One that is in force isn't extended by each entry that it is read from.
        let is_new = refused.get(&request).is_none_or(|known| *known <= now);
        if is_new {
            refused.insert(request, until);
        }
        is_new
    }
}
