//! Keeps this entry's record in the store, and takes the other entries'.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::store::{Change, Changes, Item, Lease, Range, StoreError};

use super::backoff::Backoff;
use super::follow::Followed;
use super::Control;
use crate::peers::{PeerRecord, PREFIX};

/// How long the record of an entry that fell silent stays. Peers notice a dead
/// one sooner, when it owes them an answer.
const LEASE: Duration = Duration::from_secs(6);
/// Between two renewals; two may be lost. They also show that the store answers:
/// a watch that hears nothing looks the same when nothing changes.
const RENEW_EVERY: Duration = Duration::from_millis(1_900);
/// Pause between two watches for each live entry, so that the entries of a fleet
/// that starts together are told in a few answers, and calls grow no faster than
/// the fleet. An entry that is lost is noticed sooner, when it owes an answer.
const WATCH_PAUSE_EACH: Duration = Duration::from_millis(28);

/// Keeps the record of this entry until a planned stop.
pub async fn keep_own_record(cx: Rc<Control>) {
    let mut backoff = Backoff::default();
    while !cx.is_leaving.get() {
        if let Err(err) = keep_once(&cx, &mut backoff).await {
            cx.lease.set(None);
            cx.store_failed(&err);
            cx.log.line(
                events::MEMBER,
                format_args!("state=unrecorded why=\"{err}\""),
            );
            backoff.pause().await;
        }
    }
}

/// Writes the record and renews its lease until that fails.
async fn keep_once(cx: &Control, backoff: &mut Backoff) -> Result<(), StoreError> {
    let lease = cx.store.lease(LEASE).await?;
    let value = rmp_serde::to_vec(&cx.me).expect("this type always encodes");
    match cx.store.put(&cx.me.key(), 0, &value, lease).await {
        Ok(_) => {}
        // The record of an earlier lease, whose answer was lost, is still there.
        Err(StoreError::Conflict) => replace_record(cx, &value, lease).await?,
        Err(err) => return Err(err),
    }
    cx.lease.set(Some(lease));
    backoff.reset();
    while !cx.is_leaving.get() {
        tokio::time::sleep(RENEW_EVERY).await;
        renew(cx, lease).await?;
    }
    Ok(())
}

async fn replace_record(cx: &Control, value: &[u8], lease: Lease) -> Result<(), StoreError> {
    let key = cx.me.key();
    let revision = cx.store.get(&key).await?.map_or(0, |item| item.revision);
    cx.store.put(&key, revision, value, lease).await?;
    Ok(())
}

/// Renews until the lease is over; a store that is away says nothing of it.
async fn renew(cx: &Control, lease: Lease) -> Result<(), StoreError> {
    match cx.store.renew(lease).await {
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

/// The keys of the entries' records.
pub const FOLLOWED: Followed = Followed {
    prefix: PREFIX,
    probes: false,
    take_all: |cx, range| {
        cx.take_peers(range);
        cx.settle_peers_later();
    },
    take_changes: |cx, changes| {
        cx.take_peer_changes(changes);
        cx.settle_peers_later();
        let entries = cx.peers.borrow().len() as u32;
        WATCH_PAUSE_EACH * entries.max(1)
    },
};

impl Control {
    /// Takes all entries' records: those that the store doesn't list are gone.
    fn take_peers(&self, range: &Range) {
        for item in &range.items {
            self.take_peer(item);
        }
        let present: Vec<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
        let now = self.clock.now();
        self.peers
            .borrow_mut()
            .reconcile(&present, range.revision, now);
        self.publish();
    }

    fn take_peer_changes(&self, changes: &Changes) {
        let mut changed = false;
        for change in &changes.changes {
            changed |= self.take_peer_change(change);
        }
        if changed {
            self.publish();
        }
    }

    fn take_peer(&self, item: &Item) -> bool {
        let record: PeerRecord = match rmp_serde::from_slice(&item.value) {
            Ok(record) => record,
            Err(err) => {
                let fields = format_args!("key={} why=\"{err}\"", item.key);
                self.log.line(events::RECORD_UNREADABLE, fields);
                return false;
            }
        };
        let line = format!(
            "peer={} addr={} hall={}",
            record.host, record.addr, record.hall
        );
        let changed = self
            .peers
            .borrow_mut()
            .put(&item.key, item.revision, record, false);
        if changed {
            self.log
                .line(events::MEMBER, format_args!("{line} state=live"));
        }
        changed
    }

    fn take_peer_change(&self, change: &Change) -> bool {
        match change {
            Change::Put(item) => self.take_peer(item),
            Change::Deleted { key, revision } => {
                let now = self.clock.now();
                let gone = self.peers.borrow_mut().deleted(key, *revision, now);
                if gone {
                    let fields = format_args!("key={key} state=gone why=record_deleted");
                    self.log.line(events::MEMBER, fields);
                }
                gone
            }
        }
    }

    /// Drops peers that are still missing once the store's return is settled.
    fn settle_peers_later(self: &Rc<Self>) {
        let Some(at) = self.peers.borrow().settles_at() else {
            return;
        };
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(cx.clock.moment(at).into()).await;
            if !cx.peers.borrow_mut().settle(cx.clock.now()).is_empty() {
                cx.publish();
            }
        });
    }

    /// Takes entries by the word of a peer, as long as the store doesn't tell.
    pub(super) fn adopt_peers(&self, peers: Vec<PeerRecord>) {
        let mut book = self.peers.borrow_mut();
        let mut changed = false;
        for peer in peers {
            changed |= book.put(&peer.key(), 0, peer, false);
        }
        drop(book);
        if changed {
            self.publish();
        }
    }

    /// Gives this entry's record up, so that peers pass it over at once.
    pub async fn leave(&self) {
        self.is_leaving.set(true);
        let Some(lease) = self.lease.take() else {
            return;
        };
        if let Err(err) = self.store.end_lease(lease).await {
            let fields = format_args!("state=leaving why=\"{err}\"");
            self.log.line(events::MEMBER, fields);
        }
    }
}
