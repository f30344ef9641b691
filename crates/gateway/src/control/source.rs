//! Source of changes for this entry: the store, or a store follower of its hall.
//!
//! In a hall of many entries, two follow the store. The others query these in turn for all
//! changes after their own position, and skip for a while a follower that doesn't answer or
//! has lost the store. Without a usable follower an entry watches the store itself, as all
//! entries of a small hall do. Positions are the store's everywhere, so an entry may change
//! its source at any time without missing changes, except across the end of an epoch.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Pool, PoolRules};
use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::{store_followers, Position};
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::store::{Changes, Range, StoreError};
use hollowsail_routing::Millis;

use super::{Control, RECORD_RETURN_MS};
use crate::feed::{self, FeedRequest, FeedResponse, KeyGroup, FEED_PATH};
use crate::peer_call::{self, QueryError};
use crate::peers::PeerRecord;

/// Wait of a watch in a hall where all entries follow the store: long, as each watch has a cost,
/// but shorter than the store's history, so that an idle watch can continue. A watch on a
/// connection that fell silent goes unnoticed for as long.
const UNSHARED_WATCH_WAIT: Duration = Duration::from_secs(17);
/// Wait of a store follower's watch, as a share of the time within which operators' changes
/// must take effect: a watch on a connection that fell silent has to be abandoned, and the
/// list read again, within that time.
pub const FOLLOWER_WAIT_SHARE: f64 = 0.4;
/// Wait of a watch shortly after startup, when most entries of the hall aren't known yet.
const STARTUP_WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// How long after startup that wait is used, in milliseconds.
const STARTUP_MS: Millis = 3_000;
/// Known entries of a hall from which its store followers are chosen during startup.
const ENOUGH_ENTRIES: usize = 32;
/// How long a store follower may hold a query until changes arrive. A follower that lags delays
/// changes by as much.
const FEED_WAIT: Duration = Duration::from_millis(1_000);
/// The same for the entries' records, which are less urgent: a crashed entry is also
/// detected by unanswered messages.
const ENTRIES_FEED_WAIT: Duration = Duration::from_millis(4_000);
/// Additional time after which a follower counts as not answering.
const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How long a follower that didn't answer is skipped, in milliseconds.
const SILENT_SKIP_MS: Millis = 5_000;
/// The same for an entry that reports that it doesn't follow the store, in milliseconds.
const NOT_FOLLOWING_SKIP_MS: Millis = 1_500;
/// Timeout of a connection to a follower in the same hall.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Origin of received changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    Store,
    Follower {
        /// The follower lost the store until recently: a deleted record may reappear until then.
        unsettled_until: Option<Millis>,
    },
}

/// What a source returned.
pub enum Received {
    /// All changes since the position in the query.
    Changes(Changes),
    /// The complete list: changes since that position aren't known any more.
    List(Range),
}

/// Source of the next changes.
enum Source {
    Store { wait: Duration, for_others: bool },
    Follower(PeerRecord),
}

/// State about the store followers of this hall.
#[derive(Default)]
pub struct Followers {
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// When each skipped host may be queried again.
    skipped_until: RefCell<HashMap<String, Millis>>,
    /// Query counters by keys, for taking followers in turn. With a single counter, queries
    /// for some keys could always reach the same follower.
    turns: [Cell<usize>; KeyGroup::COUNT],
}

impl Control {
    /// Waits for changes of keys after a position, and returns their origin. Fails when the
    /// position's epoch has ended.
    pub(super) async fn next_changes(
        self: &Rc<Self>,
        keys: KeyGroup,
        prefix: &str,
        after: Position,
    ) -> Result<(Received, Origin), StoreError> {
        tokio::select! {
            changes = self.changes_from_any_source(keys, prefix, after) => changes,
            () = self.store.wait_for_later_epoch(after.epoch) => Err(StoreError::HistoryLost),
        }
    }

    async fn changes_from_any_source(
        self: &Rc<Self>,
        keys: KeyGroup,
        prefix: &str,
        after: Position,
    ) -> Result<(Received, Origin), StoreError> {
        loop {
            let follower = match self.source(keys) {
                Source::Follower(follower) => follower,
                Source::Store { wait, for_others } => {
                    self.feeds.set_followed(keys, for_others);
                    return self.watch_store(prefix, after, wait).await;
                }
            };
            self.feeds.set_followed(keys, false);
            match self.query_follower(&follower, keys, after).await {
                Ok((
                    FeedResponse::Changed {
                        changes,
                        is_unsettled,
                    },
                    unsettled_for,
                )) => {
                    let origin = self.follower_origin(is_unsettled, unsettled_for);
                    return Ok((Received::Changes(changes), origin));
                }
                Ok((
                    FeedResponse::List {
                        range,
                        is_unsettled,
                    },
                    unsettled_for,
                )) => {
                    let origin = self.follower_origin(is_unsettled, unsettled_for);
                    return Ok((Received::List(range), origin));
                }
                Ok((FeedResponse::NothingNew, _)) => self.confirm_list(keys, after),
                Ok((FeedResponse::Unknown, _)) => {
                    self.is_list_long
                        .set(keys == KeyGroup::Targets || self.is_list_long.get());
                    if keys == KeyGroup::Targets && self.may_query_hall() {
                        return Err(StoreError::HistoryLost);
                    }
                    return self.watch_store(prefix, after, STARTUP_WATCH_WAIT).await;
                }
                Ok((FeedResponse::NotFollowing, _)) => {
                    self.skip(
                        &follower,
                        NOT_FOLLOWING_SKIP_MS,
                        "it does not follow the store",
                    );
                }
                Err(err) => self.skip(&follower, SILENT_SKIP_MS, &err.to_string()),
            }
        }
    }

    async fn watch_store(
        self: &Rc<Self>,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<(Received, Origin), StoreError> {
        let watch = self.store.watch(prefix, after, wait);
        let changes = self.until_store_lost(watch).await?;
        self.store_answered();
        Ok((Received::Changes(changes), Origin::Store))
    }

    /// Chooses the source of the next changes.
    fn source(&self, keys: KeyGroup) -> Source {
        let peers = self.peers_now();
        let hall = self.hall_of(&peers);
        if self.clock.now() < STARTUP_MS && hall.len() < ENOUGH_ENTRIES {
            return Source::Store {
                wait: STARTUP_WATCH_WAIT,
                for_others: true,
            };
        }
        let Some(chosen) = self.followers_of(&hall) else {
            return Source::Store {
                wait: UNSHARED_WATCH_WAIT,
                for_others: false,
            };
        };
        let is_follower = chosen.iter().any(|peer| peer.host == self.me.host);
        match self.next_follower(keys, &chosen).filter(|_| !is_follower) {
            Some(follower) => Source::Follower(follower.clone()),
            None => Source::Store {
                wait: match keys {
                    KeyGroup::Operators | KeyGroup::Targets => self.pauses.follower_wait,
                    KeyGroup::Entries => UNSHARED_WATCH_WAIT,
                },
                for_others: is_follower,
            },
        }
    }

    /// Entries of this entry's hall.
    pub(super) fn hall_of<'a>(&self, peers: &'a [PeerRecord]) -> Vec<&'a PeerRecord> {
        let hall = peers.iter().filter(|peer| peer.hall == self.me.hall);
        hall.collect()
    }

    /// The hall's store followers; `None` if all its entries follow the store.
    pub(super) fn followers_of<'a>(&self, hall: &[&'a PeerRecord]) -> Option<Vec<&'a PeerRecord>> {
        let chosen = store_followers::choose(&self.me.hall, candidates(hall))?;
        Some(chosen.into_iter().map(|index| hall[index]).collect())
    }

    /// The next follower in turn that isn't skipped.
    fn next_follower<'a>(
        &self,
        keys: KeyGroup,
        followers: &[&'a PeerRecord],
    ) -> Option<&'a PeerRecord> {
        let now = self.clock.now();
        let skipped_until = self.followers.skipped_until.borrow();
        let is_usable =
            |peer: &&&PeerRecord| skipped_until.get(&peer.host).is_none_or(|t| *t <= now);
        let usable: Vec<&PeerRecord> = followers.iter().filter(is_usable).copied().collect();
        let turns = &self.followers.turns[keys.position()];
        let turn = turns.get();
        turns.set(turn.wrapping_add(1));
        (!usable.is_empty()).then(|| usable[turn % usable.len()])
    }

    fn skip(&self, follower: &PeerRecord, for_ms: Millis, why: &str) {
        let until = self.clock.now() + for_ms;
        let mut skipped_until = self.followers.skipped_until.borrow_mut();
        skipped_until.insert(follower.host.clone(), until);
        let fields = format_args!(
            "peer={} state=no_reader for_ms={for_ms} why={}",
            Field(&follower.host),
            Quoted(&why)
        );
        self.log.line(events::MEMBER, fields);
    }

    /// The origin of a follower's response. An older build doesn't say how long it is unsettled.
    fn follower_origin(&self, is_unsettled: bool, unsettled_for: Option<Duration>) -> Origin {
        let longest = Duration::from_millis(RECORD_RETURN_MS);
        let unsettled_for = unsettled_for.unwrap_or(longest).min(longest);
        let until = self.clock.now() + unsettled_for.as_millis() as Millis;
        Origin::Follower {
            unsettled_until: is_unsettled.then_some(until),
        }
    }

    /// Queries a follower; also returns for how long missing records aren't final there.
    async fn query_follower(
        &self,
        follower: &PeerRecord,
        keys: KeyGroup,
        after: Position,
    ) -> Result<(FeedResponse, Option<Duration>), QueryError> {
        let wait = match keys {
            KeyGroup::Operators | KeyGroup::Targets => FEED_WAIT,
            KeyGroup::Entries => ENTRIES_FEED_WAIT,
        };
        let request = FeedRequest {
            keys,
            after,
            wait_ms: wait.as_millis() as u64,
        };
        let pool = self.pool_of(follower.addr);
        let timeout = wait + ANSWER_SLACK;
        let answered = peer_call::query_with_headers(&pool, FEED_PATH, &request, timeout).await;
        answered.map(|(response, headers)| (response, feed::unsettled_for(&headers)))
    }

    pub(super) fn pool_of(&self, addr: SocketAddr) -> Rc<Pool> {
        let rules = PoolRules {
            dial_timeout: DIAL_TIMEOUT,
            max_idle: 3,
            idle_timeout: Duration::from_secs(20),
        };
        let mut pools = self.followers.pools.borrow_mut();
        pools
            .entry(addr)
            .or_insert_with(|| Pool::new(addr, rules))
            .clone()
    }
}

/// Entries of a hall as candidates for ownership.
pub(super) fn candidates<'a>(
    hall: &'a [&'a PeerRecord],
) -> impl Iterator<Item = Candidate<'a>> + Clone {
    hall.iter().map(|peer| Candidate {
        host: &peer.host,
        capacity: peer.capacity,
        is_lagging: false,
    })
}
