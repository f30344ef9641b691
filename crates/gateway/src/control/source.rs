//! Where this entry hears what changed: at the store, or from a reader of its hall.
//!
//! In a hall of many entries two read the store, and the others ask them in turn, each
//! time for all that changed after the position that they know. A reader that lies behind
//! tells nothing for a second, and the other one is asked next; one that doesn't answer,
//! or doesn't hear from the store, is passed over for a while. Without any reader left an
//! entry goes to the store itself, as all do in a small hall. Positions are the same
//! everywhere, so it may change its source at any time and misses nothing; across the end of
//! an era nobody goes on.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Pool, PoolRules};
use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::{readers, Position};
use hollowsail_observe::events;
use hollowsail_platform::store::{Changes, Range, StoreError};
use hollowsail_routing::Millis;

use super::ask::{self, AskError};
use super::Control;
use crate::feed::{FeedAnswer, FeedAsk, Keys, FEED_PATH};
use crate::peers::PeerRecord;

/// How long a watch at the store waits where all entries of a hall read. Each is a call
/// with a price; shorter than the time for which the store keeps its history, so that a
/// quiet watch can go on. A watch on a connection that fell silent while others work goes
/// unnoticed for as long.
const ALONE_WAIT: Duration = Duration::from_secs(17);
/// The same for a reader, on which others rely, as a part of the time for which what
/// operators write may be unknown: a watch on a connection that fell silent while others
/// work has to be given up within it, some time after its wait, and the list read again.
pub const READER_WAIT_SHARE: f64 = 0.4;
/// The same shortly after the start, when most entries of the hall aren't known yet.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);
/// How long after the start that is, in milliseconds.
const YOUNG_MS: Millis = 3_000;
/// Entries of a hall from which on the readers among them are known well enough.
const MANY_ENTRIES: usize = 32;
/// How long a reader may take to tell of changes: one that lies behind costs as long.
const TOLD_WITHIN: Duration = Duration::from_millis(1_000);
/// The same for the entries' records, which matter less: a lost one is found silent.
const ENTRIES_TOLD_WITHIN: Duration = Duration::from_millis(4_000);
/// Time beyond it after which a reader is taken to be gone.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long a reader that didn't answer is passed over, in milliseconds.
const SILENT_FOR_MS: Millis = 5_000;
/// The same for one that doesn't read, or not yet, which it says at once.
const NOT_READING_FOR_MS: Millis = 1_500;
/// Longest time for a connection to a reader: a hop inside a hall takes a millisecond.
const DIAL_WITHIN: Duration = Duration::from_millis(300);

/// Who told of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Teller {
    Store,
    Reader {
        /// The store was away there until lately: a record that has gone may come back.
        is_unsettled: bool,
    },
}

/// What was heard.
pub enum Heard {
    /// All that changed since.
    Changes(Changes),
    /// All that is there: what changed since isn't known any more.
    Whole(Range),
}

/// Where to ask next.
enum Source {
    Store { wait: Duration, for_others: bool },
    Reader(PeerRecord),
}

/// What is remembered of the readers of this entry's hall.
#[derive(Default)]
pub struct Readers {
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Until when each host is passed over.
    passed_over: RefCell<HashMap<String, Millis>>,
    /// Rise with each question about some keys, so that readers are asked in turn. One
    /// count for all keys would let some of them ask the same reader each time.
    turns: [Cell<usize>; Keys::COUNT],
}

impl Control {
    /// Waits for changes of keys after a position, and tells where they came from. An
    /// error when the position's era is over, by whatever answer that shows.
    pub(super) async fn next_changes(
        &self,
        keys: Keys,
        prefix: &str,
        after: Position,
    ) -> Result<(Heard, Teller), StoreError> {
        tokio::select! {
            changes = self.changes_from_anywhere(keys, prefix, after) => changes,
            () = self.store.later_era(after.era) => Err(StoreError::HistoryGone),
        }
    }

    async fn changes_from_anywhere(
        &self,
        keys: Keys,
        prefix: &str,
        after: Position,
    ) -> Result<(Heard, Teller), StoreError> {
        loop {
            let reader = match self.source(keys) {
                Source::Reader(reader) => reader,
                Source::Store { wait, for_others } => {
                    self.feeds.set_read(keys, for_others);
                    return self.watch_store(prefix, after, wait).await;
                }
            };
            self.feeds.set_read(keys, false);
            match self.ask_reader(&reader, keys, after).await {
                Ok(FeedAnswer::Changed {
                    changes,
                    is_unsettled,
                }) => return Ok((Heard::Changes(changes), Teller::Reader { is_unsettled })),
                Ok(FeedAnswer::Whole {
                    range,
                    is_unsettled,
                }) => return Ok((Heard::Whole(range), Teller::Reader { is_unsettled })),
                Ok(FeedAnswer::NothingNew) => {}
                Ok(FeedAnswer::Unknown) => {
                    self.is_list_long
                        .set(keys == Keys::Targets || self.is_list_long.get());
                    if keys == Keys::Targets && self.may_ask_hall() {
                        return Err(StoreError::HistoryGone);
                    }
                    return self.watch_store(prefix, after, FIRST_WAIT).await;
                }
                Ok(FeedAnswer::NotReading) => {
                    self.pass_over(&reader, NOT_READING_FOR_MS, "it doesn't read");
                }
                Err(err) => self.pass_over(&reader, SILENT_FOR_MS, &err.to_string()),
            }
        }
    }

    async fn watch_store(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<(Heard, Teller), StoreError> {
        let watch = self.store.watch(prefix, after, wait);
        let changes = self.until_store_lost(watch).await?;
        self.store_answered();
        Ok((Heard::Changes(changes), Teller::Store))
    }

    /// Where to ask now.
    fn source(&self, keys: Keys) -> Source {
        let peers = self.peers_now();
        let hall = self.hall_of(&peers);
        if self.clock.now() < YOUNG_MS && hall.len() < MANY_ENTRIES {
            return Source::Store {
                wait: FIRST_WAIT,
                for_others: true,
            };
        }
        let Some(chosen) = self.readers_of(&hall) else {
            return Source::Store {
                wait: ALONE_WAIT,
                for_others: false,
            };
        };
        let is_reader = chosen.iter().any(|peer| peer.host == self.me.host);
        match self.next_reader(keys, &chosen).filter(|_| !is_reader) {
            Some(reader) => Source::Reader(reader.clone()),
            None => Source::Store {
                wait: match keys {
                    Keys::Operators | Keys::Targets => self.pauses.reader_wait,
                    Keys::Entries => ALONE_WAIT,
                },
                for_others: is_reader,
            },
        }
    }

    /// The entries of this one's hall.
    pub(super) fn hall_of<'a>(&self, peers: &'a [PeerRecord]) -> Vec<&'a PeerRecord> {
        let hall = peers.iter().filter(|peer| peer.hall == self.me.hall);
        hall.collect()
    }

    /// Those of the hall's entries that read for the others; `None` where all read.
    pub(super) fn readers_of<'a>(&self, hall: &[&'a PeerRecord]) -> Option<Vec<&'a PeerRecord>> {
        let chosen = readers::choose(&self.me.hall, candidates(hall))?;
        Some(chosen.into_iter().map(|at| hall[at]).collect())
    }

    /// The reader whose turn it is, of those that aren't passed over.
    fn next_reader<'a>(&self, keys: Keys, readers: &[&'a PeerRecord]) -> Option<&'a PeerRecord> {
        let now = self.clock.now();
        let passed_over = self.readers.passed_over.borrow();
        let is_usable = |peer: &&&PeerRecord| passed_over.get(&peer.host).is_none_or(|t| *t <= now);
        let usable: Vec<&PeerRecord> = readers.iter().filter(is_usable).copied().collect();
        let turns = &self.readers.turns[keys.position()];
        let turn = turns.get();
        turns.set(turn.wrapping_add(1));
        (!usable.is_empty()).then(|| usable[turn % usable.len()])
    }

    fn pass_over(&self, reader: &PeerRecord, for_ms: Millis, why: &str) {
        let until = self.clock.now() + for_ms;
        let mut passed_over = self.readers.passed_over.borrow_mut();
        passed_over.insert(reader.host.clone(), until);
        let fields = format_args!(
            "peer={} state=no_reader for_ms={for_ms} why=\"{why}\"",
            reader.host
        );
        self.log.line(events::MEMBER, fields);
    }

    async fn ask_reader(
        &self,
        reader: &PeerRecord,
        keys: Keys,
        after: Position,
    ) -> Result<FeedAnswer, AskError> {
        let wait = match keys {
            Keys::Operators | Keys::Targets => TOLD_WITHIN,
            Keys::Entries => ENTRIES_TOLD_WITHIN,
        };
        let question = FeedAsk {
            keys,
            after,
            wait_ms: wait.as_millis() as u64,
        };
        let pool = self.pool_of(reader.addr);
        ask::ask(&pool, FEED_PATH, &question, wait + ANSWER_SLACK).await
    }

    pub(super) fn pool_of(&self, addr: SocketAddr) -> Rc<Pool> {
        let rules = PoolRules {
            dial_within: DIAL_WITHIN,
            max_idle: 3,
            idle_for: Duration::from_secs(20),
        };
        let mut pools = self.readers.pools.borrow_mut();
        pools
            .entry(addr)
            .or_insert_with(|| Pool::new(addr, rules))
            .clone()
    }
}

/// The entries of a hall, as those that may own something.
pub(super) fn candidates<'a>(
    hall: &'a [&'a PeerRecord],
) -> impl Iterator<Item = Candidate<'a>> + Clone {
    hall.iter().map(|peer| Candidate {
        host: &peer.host,
        capacity: peer.capacity,
        is_slow: false,
    })
}
