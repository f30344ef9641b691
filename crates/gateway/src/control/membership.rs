//! The entries' records, as the store or a peer tells them.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::{Position, Told};
use hollowsail_observe::events;
use hollowsail_platform::store::{Change, Changes, Item, Range};

use super::follow::Followed;
use super::source::Teller;
use super::Control;
use crate::feed::Keys;
use crate::peers::{PeerRecord, PREFIX};

/// Longest pause between two watches for each live entry, so that calls grow no
/// faster than the fleet. An entry that is lost is noticed sooner, when it owes an
/// answer.
const WATCH_PAUSE_EACH: Duration = Duration::from_millis(28);
/// The same in a large fleet: within half of the time for which the store keeps its
/// history (20 s at the least), so that a watch can go on after a pause.
const MOST_WATCH_PAUSE: Duration = Duration::from_secs(8);

/// What entries write: their own records, the requests that they refuse, and the verdicts
/// on roll-outs.
const WRITTEN: &str = "hollowsail/";

/// The keys that entries write.
pub const FOLLOWED: Followed = Followed {
    keys: Keys::Entries,
    prefix: WRITTEN,
    may_begin_old: true,
    probes: false,
    // Owners are decided on the whole list.
    take_page: |_, _| {},
    take_all: |cx, range| {
        cx.take_peers(range);
        cx.settle_peers_later();
    },
    take_changes: |cx, changes, teller| {
        cx.hear_of_outage(teller);
        cx.take_peer_changes(changes, teller);
        cx.settle_peers_later();
        cx.watch_pause(&cx.peers, cx.longest_peers_pause())
    },
};

/// What a live entry's record says of itself; a key stands for one run.
fn live_at(at: Position) -> Told {
    Told {
        at,
        start: 0,
        draining: false,
    }
}

impl Control {
    /// Longest pause between two looks for entries that came or went.
    fn longest_peers_pause(&self) -> Duration {
        let entries = self.peers.borrow().len() as u32;
        (WATCH_PAUSE_EACH * entries.max(1)).min(MOST_WATCH_PAUSE)
    }

    /// Takes all entries' records: those that the store doesn't list are gone.
    fn take_peers(&self, range: &Range) {
        for item in &range.items {
            self.take_peer(item);
        }
        self.take_refused_list(&range.items);
        self.take_rollout_records(&range.items);
        let present: Vec<&str> = range.items.iter().map(|item| item.key.as_str()).collect();
        let now = self.clock.now();
        let gone = self.peers.borrow_mut().reconcile(&present, range.at, now);
        self.log_peers_gone(&gone, "not_listed");
        if self.entries_listed.get().is_none() {
            self.entries_listed.set(Some(now));
        }
        self.publish();
    }

    fn log_peers_gone(&self, gone: &[String], why: &str) {
        for key in gone {
            let fields = format_args!("key={key} state=gone why={why}");
            self.log.line(events::MEMBER, fields);
        }
    }

    fn take_peer_changes(&self, changes: &Changes, teller: Teller) {
        let mut changed = false;
        for change in &changes.changes {
            changed |= self.take_peer_change(change, teller);
            changed |= self.take_refused_change(change, teller);
            changed |= self.take_rollout_change(change);
        }
        if changed {
            self.publish();
        }
    }

    fn take_peer(&self, item: &Item) -> bool {
        if !item.key.starts_with(PREFIX) {
            return false;
        }
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
            .put(&item.key, live_at(item.at), record);
        if changed {
            self.log
                .line(events::MEMBER, format_args!("{line} state=live"));
        }
        changed
    }

    fn take_peer_change(&self, change: &Change, teller: Teller) -> bool {
        match change {
            Change::Put(item) => self.take_peer(item),
            Change::Deleted { key, at } => {
                let is_unsettled = self.is_unsettled(&self.peers, teller);
                let gone = self.peers.borrow_mut().deleted(key, *at, is_unsettled);
                if gone {
                    self.log_peers_gone(std::slice::from_ref(key), "record_deleted");
                }
                gone
            }
        }
    }

    /// Drops peers that are still missing once the store's return is settled.
    fn settle_peers_later(self: &Rc<Self>) {
        self.settle_later(
            |cx| &cx.peers,
            |cx, gone| cx.log_peers_gone(gone, "not_back_after_outage"),
        );
    }

    /// Takes entries by the word of a peer, as long as the store doesn't tell.
    pub(super) fn adopt_peers(&self, peers: Vec<PeerRecord>) {
        let mut book = self.peers.borrow_mut();
        let mut changed = false;
        for peer in peers {
            changed |= book.put(&peer.key(), live_at(Position::default()), peer);
        }
        drop(book);
        if changed {
            self.publish();
        }
    }
}
