//! What this entry hears from the store, for the other entries of its hall.
//!
//! Control writes here what its watches tell while this entry is one of its hall's
//! readers ([`hollowsail_fleet::readers`]); peers ask for it with a [`FeedAsk`], which
//! waits like the store's own watch. An entry that doesn't read, or doesn't hear from the
//! store, says so at once, and the asker goes elsewhere.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hollowsail_fleet::{Position, Since, WatchLog};
use hollowsail_platform::store::{Change, Changes, Item, Range};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Path that takes a [`FeedAsk`] and answers with a [`FeedAnswer`].
pub const FEED_PATH: &str = "/hollowsail/feed";

/// Changes that are kept for those that ask: some seconds of a day on which all targets
/// of a large deployment come back.
const MOST_CHANGES: usize = 2_000;

/// Changes of targets beyond which none is told: one by one, what all targets write in the
/// seconds in which they start would fill the link of a reader many times over. Whoever asked
/// takes all records from some entry of its hall instead, in a fraction of the bytes.
const MOST_TOLD: usize = 400;

/// Keys of the store that are followed together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Keys {
    /// The operators' own.
    Operators,
    /// The targets' records.
    Targets,
    /// The entries' records.
    Entries,
}

impl Keys {
    /// All of them.
    pub const COUNT: usize = 3;

    /// Its position among all.
    pub fn position(self) -> usize {
        self as usize
    }
}

/// An entry asks for what changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedAsk {
    pub keys: Keys,
    /// It knows all changes up to this position.
    pub after: Position,
    /// Longest time for an answer, in milliseconds.
    pub wait_ms: u64,
}

/// What it is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedAnswer {
    Changed {
        changes: Changes,
        /// The store was away until lately: a record that has gone may come back.
        is_unsettled: bool,
    },
    /// All that is there; the changes after that position aren't known here any more.
    Whole {
        range: Range,
        /// As above.
        is_unsettled: bool,
    },
    /// Nothing changed in the time.
    NothingNew,
    /// The changes after that position aren't known here any more, or are too many to be told,
    /// and the whole isn't told here.
    Unknown,
    /// This entry doesn't hear from the store itself.
    NotReading,
}

/// The feed of some keys.
struct Feed {
    log: WatchLog<Change>,
    /// All that is there by the log, for keys whose lists are short.
    items: Option<BTreeMap<String, Item>>,
    /// This entry follows them at the store, for others too.
    is_read: bool,
}

/// Whether the store answers this entry.
#[derive(Debug, Clone, Copy)]
struct StoreSeen {
    is_away: bool,
    /// It owes this entry an answer; also before its first one.
    is_silent: bool,
    /// Until when a record that has gone may come back.
    unsettled_until: Option<Instant>,
}

/// All feeds; control writes, traffic answers.
pub struct Feeds {
    feeds: [Mutex<Feed>; Keys::COUNT],
    store: Mutex<StoreSeen>,
    changed: Notify,
}

impl Default for Feeds {
    fn default() -> Self {
        let feed = || {
            Mutex::new(Feed {
                log: WatchLog::new(MOST_CHANGES),
                items: None,
                is_read: false,
            })
        };
        Feeds {
            feeds: [feed(), feed(), feed()],
            store: Mutex::new(StoreSeen {
                is_away: false,
                is_silent: true,
                unsettled_until: None,
            }),
            changed: Notify::new(),
        }
    }
}

impl Feeds {
    fn feed(&self, keys: Keys) -> MutexGuard<'_, Feed> {
        self.feeds[keys.position()]
            .lock()
            .expect("no holder panics")
    }

    fn store(&self) -> MutexGuard<'_, StoreSeen> {
        self.store.lock().expect("no holder panics")
    }

    /// All keys were read as of a position.
    pub fn begin(&self, keys: Keys, at: Position) {
        let mut feed = self.feed(keys);
        feed.log.begin(at);
        feed.items = None;
    }

    /// The same, with what was read.
    pub fn begin_with(&self, keys: Keys, range: &Range) {
        let items = range.items.iter();
        let items = items.map(|item| (item.key.clone(), item.clone()));
        let mut feed = self.feed(keys);
        feed.log.begin(range.at);
        feed.items = Some(items.collect());
        drop(feed);
        self.changed.notify_waiters();
    }

    /// Changes came, from wherever.
    pub fn extend(&self, keys: Keys, changes: &Changes) {
        let each = changes.changes.iter();
        let each = each.map(|change| (change.at(), change.clone()));
        let mut feed = self.feed(keys);
        feed.log.extend(each, changes.at);
        if let Some(items) = &mut feed.items {
            changes
                .changes
                .iter()
                .for_each(|change| apply(items, change));
        }
        drop(feed);
        self.changed.notify_waiters();
    }

    /// This entry follows keys at the store for others from now on, or no longer.
    pub fn set_read(&self, keys: Keys, is_read: bool) {
        let was_read = std::mem::replace(&mut self.feed(keys).is_read, is_read);
        if was_read != is_read {
            self.changed.notify_waiters();
        }
    }

    /// The store stopped answering.
    pub fn store_away(&self) {
        self.store().is_away = true;
        self.changed.notify_waiters();
    }

    /// The store answers again; records may come back for a while.
    pub fn store_back(&self, unsettled_for: Duration) {
        let mut store = self.store();
        store.is_away = false;
        store.unsettled_until = Some(Instant::now() + unsettled_for);
    }

    /// The store answered a call at once, or owes an answer.
    pub fn set_silent(&self, is_silent: bool) {
        let was_silent = std::mem::replace(&mut self.store().is_silent, is_silent);
        if was_silent != is_silent {
            self.changed.notify_waiters();
        }
    }

    /// True when this entry follows any keys for others.
    pub fn is_read(&self) -> bool {
        let feeds = self.feeds.iter();
        let mut read = feeds.map(|feed| feed.lock().expect("no holder panics").is_read);
        read.any(|is_read| is_read)
    }

    /// Answers a peer, once there is something to tell or its time is over.
    pub async fn answer(&self, ask: &FeedAsk) -> FeedAnswer {
        let until = Instant::now() + Duration::from_millis(ask.wait_ms);
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if let Some(answer) = self.look(ask) {
                return answer;
            }
            if tokio::time::timeout_at(until.into(), changed)
                .await
                .is_err()
            {
                return FeedAnswer::NothingNew;
            }
        }
    }

    /// What there is to tell now, if anything.
    fn look(&self, ask: &FeedAsk) -> Option<FeedAnswer> {
        let store = *self.store();
        let feed = self.feed(ask.keys);
        if !feed.is_read || store.is_away || store.is_silent {
            return Some(FeedAnswer::NotReading);
        }
        let unsettled_until = store.unsettled_until;
        let is_unsettled = unsettled_until.is_some_and(|until| Instant::now() < until);
        match feed.log.since(ask.after) {
            Since::NothingNew => None,
            Since::Unknown => Some(match &feed.items {
                Some(items) => FeedAnswer::Whole {
                    range: Range {
                        items: items.values().cloned().collect(),
                        at: feed.log.known_to(),
                    },
                    is_unsettled,
                },
                None => FeedAnswer::Unknown,
            }),
            Since::Changes { changes, .. }
                if ask.keys == Keys::Targets && changes.len() > MOST_TOLD =>
            {
                Some(FeedAnswer::Unknown)
            }
            Since::Changes { changes, to } => Some(FeedAnswer::Changed {
                changes: Changes { changes, at: to },
                is_unsettled,
            }),
        }
    }
}

fn apply(items: &mut BTreeMap<String, Item>, change: &Change) {
    match change {
        Change::Put(item) => items.insert(item.key.clone(), item.clone()),
        Change::Deleted { key, .. } => items.remove(key),
    };
}
