//! Requests that end targets, as the store keeps them for entries that start later.
//!
//! The entry that counted the last crash writes the request's digest under a lease that
//! lasts as long as the refusal. An entry reads them with the entries' own records. A
//! digest that goes is no longer refused: its lease is over, or operators deleted it.

use std::rc::Rc;

use hollowsail_clock::Moment;
use hollowsail_observe::events;
use hollowsail_platform::store::{Change, Item, StoreError};
use hollowsail_routing::crash_ledger::MOST_REFUSED_MS;
use hollowsail_routing::{Millis, RequestDigest};
use serde::{Deserialize, Serialize};

use super::backoff::Backoff;
use super::era;
use super::source::Teller;
use super::Control;
use crate::crashes::{NewRefusal, ToStore, PREFIX};

/// Times that a refusal is written before it is told to the entries alone.
const MOST_TRIES: u32 = 5;

/// What lies in the store under a refused request's key.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct RefusalRecord {
    /// How long the refusal lasts from when this was written, in milliseconds.
    for_ms: Millis,
}

/// A refusal that this entry wrote, and until when it holds.
struct Written {
    request: RequestDigest,
    until: Moment,
}

/// Writes refusals to the store as traffic decides on them, and again when the store has
/// come back from a copy without them.
pub async fn keep(cx: Rc<Control>, mut decided: ToStore) {
    let mut written: Vec<Written> = Vec::new();
    let mut era = cx.store.era();
    loop {
        tokio::select! {
            refusal = decided.recv() => {
                let Some(refusal) = refusal else { return };
                write_in_tries(&cx, refusal).await;
                written.retain(|known| known.request != refusal.request);
                let until = Moment::now() + refusal.lasts;
                written.push(Written { request: refusal.request, until });
            }
            () = cx.store.later_era(era) => {
                era = cx.store.era();
                era::spread().await;
                written.retain(|known| Moment::now() < known.until);
                for known in &written {
                    let lasts = known.until.saturating_since(Moment::now());
                    write_in_tries(&cx, NewRefusal { request: known.request, lasts }).await;
                }
            }
        }
    }
}

/// Writes a refusal, some times if it has to be.
async fn write_in_tries(cx: &Control, refusal: NewRefusal) {
    let mut backoff = Backoff::default();
    for _ in 0..MOST_TRIES {
        let Err(err) = write(cx, refusal).await else {
            return;
        };
        cx.store_failed(&err);
        let content = refusal.request;
        let fields = format_args!("content={content} standing=unrecorded why=\"{err}\"");
        cx.log.line(events::REQUEST_STANDING, fields);
        backoff.pause().await;
    }
}

async fn write(cx: &Control, refusal: NewRefusal) -> Result<(), StoreError> {
    let lease = cx.store.lease(refusal.lasts.max(cx.shortest_lease)).await?;
    let key = format!("{PREFIX}{}", refusal.request);
    let record = RefusalRecord {
        for_ms: refusal.lasts.as_millis() as Millis,
    };
    let value = rmp_serde::to_vec(&record).expect("this type always encodes");
    // The record of another entry, or of a refusal that is just over, may be there.
    let there = cx.store.get(&key).await?;
    let expected = there.map(|item| item.at);
    cx.store.put(&key, expected, &value, lease).await?;
    Ok(())
}

/// The refused request that a key stands for.
fn request_of(key: &str) -> Option<RequestDigest> {
    RequestDigest::parse(key.strip_prefix(PREFIX)?)
}

impl Control {
    /// Takes all refused requests that the store lists. One that it doesn't list was taken
    /// back, unless its lease may have run out in an outage, or its record is lost.
    pub(super) fn take_refused_list(&self, items: &[Item]) {
        let listed = items.iter().filter_map(|item| request_of(&item.key));
        let listed: Vec<RequestDigest> = listed.collect();
        if !self.peers.borrow().is_unsettled(self.clock.now()) {
            let mut refused = self.refused.borrow_mut();
            refused.retain(|request, _| listed.contains(request));
        }
        for item in items {
            self.take_refused(item);
        }
    }

    /// Takes one change. True when it is news.
    pub(super) fn take_refused_change(&self, change: &Change, teller: Teller) -> bool {
        match change {
            Change::Put(item) => self.take_refused(item),
            Change::Deleted { key, .. } => request_of(key).is_some_and(|request| {
                // Leases may run out while the store is away: that takes nothing back.
                !self.is_unsettled(&self.peers, teller)
                    && self.refused.borrow_mut().remove(&request).is_some()
            }),
        }
    }

    fn take_refused(&self, item: &Item) -> bool {
        let Some(request) = request_of(&item.key) else {
            return false;
        };
        match rmp_serde::from_slice::<RefusalRecord>(&item.value) {
            Ok(record) => self.refuse(request, record.for_ms),
            Err(err) => {
                let fields = format_args!("key={} why=\"{err}\"", item.key);
                self.log.line(events::RECORD_UNREADABLE, fields);
                false
            }
        }
    }

    /// Takes refused requests by the word of a peer.
    pub(super) fn adopt_refused(&self, told: Vec<(RequestDigest, Millis)>) {
        let told = told.into_iter();
        let news = told.filter(|(request, for_ms)| self.refuse(*request, *for_ms));
        if news.count() > 0 {
            self.publish();
        }
    }

    /// Notes a refused request. True when it is news.
    fn refuse(&self, request: RequestDigest, for_ms: Millis) -> bool {
        let until = self.clock.now() + for_ms.min(MOST_REFUSED_MS);
        let mut refused = self.refused.borrow_mut();
        let is_news = !refused.contains_key(&request);
        refused.entry(request).or_insert(until);
        is_news
    }
}
