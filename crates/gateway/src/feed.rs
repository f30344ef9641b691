//! Serves changes of the store to the other entries of the hall.
//!
//! Control records here what it receives from its watches while this entry is a store follower
//! of its hall ([`hollowsail_fleet::store_followers`]). Peers request changes with a [`FeedRequest`],
//! which waits like a watch of the store. An entry that is not a follower or cannot reach the
//! store responds with that at once, and the peer tries another entry.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hollowsail_fleet::{ChangesSince, Position, WatchLog};
use hollowsail_platform::store::{Change, Changes, Item, Range};
use http::{HeaderMap, HeaderName};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::lock::lock;

/// Path that accepts a [`FeedRequest`] and returns a [`FeedResponse`].
pub const FEED_PATH: &str = "/hollowsail/feed";

/// Number of changes kept for each group of keys; covers a few seconds in which all targets of
/// a large deployment restart.
const MAX_CHANGES: usize = 2_000;

/// Maximum size of these changes, in bytes, as other writers may write large values among them.
const MAX_CHANGE_BYTES: usize = 4 << 20;

/// Maximum number of target changes in one response. Beyond it the requester fetches all
/// records from an entry of its hall, which takes a fraction of the bytes.
const MAX_SENT_CHANGES: usize = 400;

/// A group of keys in the store that is followed as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyGroup {
    /// Keys written by operators.
    Operators,
    /// Target records.
    Targets,
    /// Records of the entries.
    Entries,
}

impl KeyGroup {
    /// All groups, by position.
    pub const ALL: [KeyGroup; 3] = [KeyGroup::Operators, KeyGroup::Targets, KeyGroup::Entries];
    /// Number of groups.
    pub const COUNT: usize = Self::ALL.len();

    /// Index of the group.
    pub fn position(self) -> usize {
        self as usize
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            KeyGroup::Operators => "operators",
            KeyGroup::Targets => "targets",
            KeyGroup::Entries => "entries",
        }
    }
}

/// Request for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRequest {
    pub keys: KeyGroup,
    /// Position up to which the requester has all changes.
    pub after: Position,
    /// Longest time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Time until records that are missing at the sender are final, in milliseconds. A header, since
/// older builds decode messages of a fixed length only.
static UNSETTLED_MS: HeaderName = HeaderName::from_static("hollowsail-unsettled-ms");

/// Says for how long missing records aren't final.
pub fn set_unsettled_for(headers: &mut HeaderMap, unsettled_for: Duration) {
    let ms = u64::try_from(unsettled_for.as_millis()).unwrap_or(u64::MAX);
    headers.insert(UNSETTLED_MS.clone(), ms.into());
}

/// For how long missing records aren't final at the sender, if it says so.
pub fn unsettled_for(headers: &HeaderMap) -> Option<Duration> {
    let ms = headers.get(&UNSETTLED_MS)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

/// Response to a [`FeedRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedResponse {
    Changed {
        changes: Changes,
        /// The store was unreachable until recently: deleted records may be written again.
        is_unsettled: bool,
    },
    /// All items, as the log does not reach back to the requested position.
    #[serde(rename = "Whole")]
    List {
        range: Range,
        /// As above.
        is_unsettled: bool,
    },
    /// Nothing changed within the waiting time.
    NothingNew,
    /// The log does not reach back to the requested position or has too many changes since,
    /// and all items are not sent for these keys.
    Unknown,
    /// This entry is not a store follower or cannot reach the store.
    #[serde(rename = "NotReading")]
    NotFollowing,
}

/// Feed of one group of keys.
struct Feed {
    log: WatchLog<Change>,
    /// All items at the end of the log, for groups that are short.
    items: Option<BTreeMap<String, Item>>,
    /// True while this entry follows the keys on behalf of its hall.
    is_followed: bool,
}

/// Reachability of the store.
#[derive(Debug, Clone, Copy)]
struct StoreState {
    is_unreachable: bool,
    /// A reply of the store is overdue; also true before the first reply.
    is_silent: bool,
    /// Until when deleted records may be written again.
    unsettled_until: Option<Instant>,
}

/// All feeds; written by the control thread, read by the traffic thread.
pub struct Feeds {
    feeds: [Mutex<Feed>; KeyGroup::COUNT],
    store: Mutex<StoreState>,
    changed: Notify,
}

impl Default for Feeds {
    fn default() -> Self {
        let feed = || {
            Mutex::new(Feed {
                log: WatchLog::new(MAX_CHANGES).with_max_bytes(MAX_CHANGE_BYTES, Change::size),
                items: None,
                is_followed: false,
            })
        };
        Feeds {
            feeds: [feed(), feed(), feed()],
            store: Mutex::new(StoreState {
                is_unreachable: false,
                is_silent: true,
                unsettled_until: None,
            }),
            changed: Notify::new(),
        }
    }
}

impl Feeds {
    fn feed(&self, keys: KeyGroup) -> MutexGuard<'_, Feed> {
        lock(&self.feeds[keys.position()])
    }

    fn store(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.store)
    }

    /// Changes a feed, and wakes all that wait for an answer.
    fn change_feed(&self, keys: KeyGroup, change: impl FnOnce(&mut Feed)) {
        change(&mut self.feed(keys));
        self.changed.notify_waiters();
    }

    /// Changes the state of the store, and wakes all that wait for an answer.
    fn change_store(&self, change: impl FnOnce(&mut StoreState)) {
        change(&mut self.store());
        self.changed.notify_waiters();
    }

    /// Restarts the log after all keys were read at a position.
    pub fn restart_at(&self, keys: KeyGroup, at: Position) {
        self.change_feed(keys, |feed| {
            feed.log.restart_at(at);
            feed.items = None;
        });
    }

    /// Restarts the log with the items that were read.
    pub fn restart_with(&self, keys: KeyGroup, range: &Range) {
        let items = range.items.iter();
        let items = items.map(|item| (item.key.clone(), item.clone()));
        self.change_feed(keys, |feed| {
            feed.log.restart_at(range.at);
            feed.items = Some(items.collect());
        });
    }

    /// Appends changes from the store or from a peer.
    pub fn extend(&self, keys: KeyGroup, changes: &Changes) {
        let each = changes.changes.iter();
        let each = each.map(|change| (change.at(), change.clone()));
        self.change_feed(keys, |feed| {
            feed.log.extend(each, changes.at);
            if let Some(items) = &mut feed.items {
                changes
                    .changes
                    .iter()
                    .for_each(|change| apply(items, change));
            }
        });
    }

    /// Sets whether this entry follows the keys on behalf of its hall.
    pub fn set_followed(&self, keys: KeyGroup, is_followed: bool) {
        if self.feed(keys).is_followed != is_followed {
            self.change_feed(keys, |feed| feed.is_followed = is_followed);
        }
    }

    /// The store became unreachable.
    pub fn store_unreachable(&self) {
        self.change_store(|store| store.is_unreachable = true);
    }

    /// The store is reachable again; deleted records may be written again for a time.
    pub fn store_reachable(&self, unsettled_for: Duration) {
        self.change_store(|store| {
            store.is_unreachable = false;
            store.unsettled_until = Some(Instant::now() + unsettled_for);
        });
    }

    /// Sets whether a reply of the store is overdue.
    pub fn set_store_silent(&self, is_silent: bool) {
        if self.store().is_silent != is_silent {
            self.change_store(|store| store.is_silent = is_silent);
        }
    }

    /// True when this entry follows any keys on behalf of its hall.
    pub fn is_followed(&self) -> bool {
        let feeds = self.feeds.iter();
        let mut followed = feeds.map(|feed| lock(feed).is_followed);
        followed.any(|is_followed| is_followed)
    }

    /// Time until records that are missing after an outage are final; zero if they are now.
    pub fn unsettled_for(&self) -> Duration {
        let until = self.store().unsettled_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Answers a peer as soon as there are changes, or after its waiting time.
    pub async fn answer(&self, request: &FeedRequest) -> FeedResponse {
        let until = Instant::now() + Duration::from_millis(request.wait_ms);
        loop {
            let mut changed = std::pin::pin!(self.changed.notified());
            changed.as_mut().enable();
            if let Some(answer) = self.try_answer(request) {
                return answer;
            }
            if tokio::time::timeout_at(until.into(), changed)
                .await
                .is_err()
            {
                return FeedResponse::NothingNew;
            }
        }
    }

    /// The response that can be given now, if any.
    fn try_answer(&self, request: &FeedRequest) -> Option<FeedResponse> {
        let store = *self.store();
        let feed = self.feed(request.keys);
        if !feed.is_followed || store.is_unreachable || store.is_silent {
            return Some(FeedResponse::NotFollowing);
        }
        let unsettled_until = store.unsettled_until;
        let is_unsettled = unsettled_until.is_some_and(|until| Instant::now() < until);
        match feed.log.since(request.after) {
            ChangesSince::NothingNew => None,
            ChangesSince::Unknown => Some(match &feed.items {
                Some(items) => FeedResponse::List {
                    range: Range {
                        items: items.values().cloned().collect(),
                        at: feed.log.end(),
                    },
                    is_unsettled,
                },
                None => FeedResponse::Unknown,
            }),
            ChangesSince::Changes { changes, .. }
                if request.keys == KeyGroup::Targets && changes.len() > MAX_SENT_CHANGES =>
            {
                Some(FeedResponse::Unknown)
            }
            ChangesSince::Changes { changes, to } => Some(FeedResponse::Changed {
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
