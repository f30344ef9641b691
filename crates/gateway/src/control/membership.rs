//! The entries' records, as received from the store or a peer.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::{Position, RecordMeta};
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::store::{Change, Changes, Item, Range};

use super::follow::Subscription;
use super::source::Origin;
use super::Control;
use crate::feed::KeyGroup;
use crate::peers::{PeerRecord, PREFIX};

/// Longest pause between two watches per live entry, so that the fleet's calls to the store
/// don't grow with the square of its size.
const WATCH_PAUSE_PER_ENTRY: Duration = Duration::from_millis(28);
/// Upper bound of that pause: at most half of the store's history (20 s or more), so that a
/// watch can continue after it.
const MAX_WATCH_PAUSE: Duration = Duration::from_secs(8);

/// Prefix of all keys that entries write: their records, the requests that they refuse, and
/// the phases of roll-outs.
const ENTRIES_PREFIX: &str = "hollowsail/";

/// Follows the keys that entries write.
pub const SUBSCRIPTION: Subscription = Subscription {
    keys: KeyGroup::Entries,
    prefix: ENTRIES_PREFIX,
    allow_stale_start: true,
    probes: false,
    // Owners depend on the whole list, so pages aren't applied on their own.
    on_page: |_, _| {},
    on_part: |cx, changes| cx.apply_peer_changes(changes, Origin::Store),
    on_list: |cx, range| {
        cx.apply_peer_list(range);
        cx.settle_peers_later();
    },
    on_changes: |cx, changes, origin| {
        cx.note_follower_outage(origin);
        cx.apply_peer_changes(changes, origin);
        cx.settle_peers_later();
        cx.watch_pause(&cx.peers, cx.max_peers_pause())
    },
};

/// Metadata of a live entry's record. Each key belongs to one run, so there is no
/// incarnation.
fn live_metadata(at: Position) -> RecordMeta {
    RecordMeta {
        at,
        incarnation: 0,
        draining: false,
    }
}

impl Control {
    /// Longest pause between two watches at the present fleet size.
    fn max_peers_pause(&self) -> Duration {
        let entries = self.peers.borrow().len() as u32;
        (WATCH_PAUSE_PER_ENTRY * entries.max(1)).min(MAX_WATCH_PAUSE)
    }

    /// Applies the complete list; entries missing from it are gone.
    fn apply_peer_list(self: &Rc<Self>, range: &Range) {
        for item in &range.items {
            self.apply_peer(item);
        }
        self.apply_refused_list(&range.items);
        self.apply_rollout_records(&range.items);
        let present: Vec<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
        let now = self.clock.now();
        let gone = self.peers.borrow_mut().reconcile(&present, range.at, now);
        self.log_peers_gone(&gone, "not_listed");
        if self.entries_listed_at.get().is_none() {
            self.entries_listed_at.set(Some(now));
        }
        self.publish();
    }

    fn log_peers_gone(&self, gone: &[String], why: &str) {
        for key in gone {
            let fields = format_args!("key={} state=gone why={why}", Field(&key));
            self.log.line(events::MEMBER, fields);
        }
    }

    fn apply_peer_changes(&self, changes: &Changes, origin: Origin) {
        let mut changed = false;
        for change in &changes.changes {
            changed |= self.apply_peer_change(change, origin);
            changed |= self.apply_refused_change(change, origin);
            changed |= self.apply_rollout_change(change);
        }
        if changed {
            self.publish();
        }
    }

    fn apply_peer(&self, item: &Item) -> bool {
        if !item.key.starts_with(PREFIX) {
            return false;
        }
        let record: PeerRecord = match rmp_serde::from_slice(&item.value) {
            Ok(record) => record,
            Err(err) => {
                let fields = format_args!("key={} why={}", Field(&item.key), Quoted(&err));
                self.log.line(events::RECORD_UNREADABLE, fields);
                return false;
            }
        };
        let line = format!(
            "peer={} addr={} hall={}",
            Field(&record.host),
            record.addr,
            Field(&record.hall)
        );
        let changed = self
            .peers
            .borrow_mut()
            .put(&item.key, live_metadata(item.at), record);
        if changed {
            self.log
                .line(events::MEMBER, format_args!("{line} state=live"));
        }
        changed
    }

    fn apply_peer_change(&self, change: &Change, origin: Origin) -> bool {
        match change {
            Change::Put(item) => self.apply_peer(item),
            Change::Deleted { key, at } => {
                let is_unsettled = self.is_unsettled(&self.peers, origin);
                let gone = self
                    .peers
                    .borrow_mut()
                    .apply_deletion(key, *at, is_unsettled);
                if gone {
                    self.log_peers_gone(std::slice::from_ref(key), "record_deleted");
                }
                gone
            }
        }
    }

    /// Removes peers that are still missing once the records have settled after an outage.
    pub(super) fn settle_peers_later(self: &Rc<Self>) {
        self.settle_later(
            |cx| &cx.peers,
            |cx, gone| cx.log_peers_gone(gone, "not_back_after_outage"),
        );
    }

    /// Merges entries received from a peer while the store is unreachable.
    pub(super) fn merge_peers(&self, peers: Vec<PeerRecord>) {
        let mut registry = self.peers.borrow_mut();
        let mut changed = false;
        for peer in peers {
            changed |= registry.put(&peer.key(), live_metadata(Position::default()), peer);
        }
        drop(registry);
        if changed {
            self.publish();
        }
    }
}
