//! A long list of targets, from an entry of this hall that has it.
//!
//! Only the hall's readers read such a list at the store. The larger hosts ask the readers
//! for it, and all others any larger host, one after the other until one has it. An entry
//! that finds none in time reads on at the store. Positions are the store's everywhere, so
//! whoever has the list goes on from its position at any source.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::{ownership, Position};
use hollowsail_observe::events;
use hollowsail_routing::Millis;
use rand::seq::IndexedRandom;

use super::ask;
use super::source::candidates;
use super::Control;
use crate::peers::{PeerRecord, RecordsAsk, RecordsAt, RECORDS_PATH};

/// How long after its first list of entries an entry knows who reads, in milliseconds: in a
/// fleet that starts together, the first list has those that were faster.
const READERS_KNOWN_MS: Millis = 700;
/// How long the list of targets is sought in the hall: some times as long as a reader takes
/// for it.
const FOUND_WITHIN: Duration = Duration::from_millis(6_000);
/// Longest time for an answer: a megabyte on the link of a small host, and its processor.
const ANSWER_WITHIN: Duration = Duration::from_millis(2_500);
/// Between two questions while none has the list yet.
const ASK_EVERY: Duration = Duration::from_millis(200);

impl Control {
    /// Takes all records from an entry of this hall; gives the position that they are as of.
    /// `None` where this entry is to read them at the store.
    pub(super) async fn records_from_hall(self: &Rc<Self>) -> Option<Position> {
        let search = async {
            loop {
                let asked = self.list_holder()?;
                let question = RecordsAsk {
                    after: self.records_at.get(),
                };
                let pool = self.pool_of(asked.addr);
                let answer = ask::ask(&pool, RECORDS_PATH, &question, ANSWER_WITHIN).await;
                match answer {
                    Ok(Some(told)) => return Some(self.take_hall_records(&asked, told)),
                    Ok(None) => {}
                    Err(err) => log::debug!("{} gave no list of targets: {err}", asked.host),
                }
                tokio::time::sleep(ASK_EVERY).await;
            }
        };
        let found = tokio::time::timeout(FOUND_WITHIN, search).await;
        found.unwrap_or_else(|_| {
            let fields = format_args!("from=store why=\"no entry of the hall had the list\"");
            self.log.line(events::TARGETS_LISTED, fields);
            None
        })
    }

    fn take_hall_records(self: &Rc<Self>, from: &PeerRecord, told: RecordsAt) -> Position {
        let at = told.at;
        let fields = format_args!(
            "from={} targets={} at={at} before={}",
            from.host,
            told.records.len(),
            self.records_at.get()
        );
        self.log.line(events::TARGETS_LISTED, fields);
        self.adopt_records(told);
        at
    }

    /// True where the list is long, once the readers of this hall are known as well as they
    /// will be.
    pub(super) fn may_ask_hall(&self) -> bool {
        let listed = self.entries_listed.get();
        let are_known = listed.is_some_and(|at| self.clock.now() >= at + READERS_KNOWN_MS);
        are_known && self.is_list_long.get()
    }

    /// An entry that may have the list; `None` where this one reads it at the store.
    fn list_holder(&self) -> Option<PeerRecord> {
        let peers = self.peers_now();
        let hall = self.hall_of(&peers);
        let readers = self.readers_of(&hall)?;
        if readers.iter().any(|peer| peer.host == self.me.host) {
            return None;
        }
        let larger = ownership::owners(&self.me.hall, candidates(&hall), usize::MAX);
        let larger: Vec<&PeerRecord> = larger.into_iter().map(|at| hall[at]).collect();
        let is_larger = larger.iter().any(|peer| peer.host == self.me.host);
        let asked = if is_larger { &readers } else { &larger };
        asked.choose(&mut rand::rng()).map(|peer| (*peer).clone())
    }
}
