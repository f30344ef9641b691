//! Follows keys of the store: reads their list once, then waits for changes from the store
//! or from a store follower of this hall ([`super::source`]).
//!
//! The first read at startup may be stale, which costs less; the watch continues from its
//! position and delivers what changed since. Every later read is fresh, since a stale list
//! would bring deleted records back until the watch catches up. While a watch waits, other
//! calls show whether the store is reachable ([`super::store_link`]).

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::Position;
use hollowsail_observe::events;
use hollowsail_platform::store::{Change, Changes, Item, Range, StoreError};

use super::backoff::Backoff;
use super::list_faults::{self, ListFaults};
use super::source::{Origin, Received};
use super::Control;
use crate::feed::KeyGroup;
use crate::list_states::Activity;
use crate::metrics;

/// Longest pause after changes from a store follower, which costs the store nothing and
/// pauses on its own.
const PAUSE_AFTER_FOLLOWER: Duration = Duration::from_millis(50);

/// Number of changes in one response of the store above which the next watch starts without
/// a pause.
const LARGE_BATCH_CHANGES: usize = 100;
/// Pause after a list was read from an entry of this hall, which may still be receiving
/// changes.
const PAUSE_AFTER_HALL_LIST: Duration = Duration::from_millis(300);

/// Keys to follow, and the functions that apply their contents.
pub struct Subscription {
    pub keys: KeyGroup,
    pub prefix: &'static str,
    /// Allows a stale first read: at startup there is no newer state to overwrite.
    pub allow_stale_start: bool,
    /// This loop probes an unreachable store; the other loops wait until it is reachable.
    pub probes: bool,
    /// Applies one page of the list as soon as it is read.
    pub on_page: fn(&Rc<Control>, &[Item]),
    /// Applies what was read of a list that can't be completed; what is missing from it stays.
    pub on_part: fn(&Rc<Control>, &Changes),
    /// Applies the whole list.
    pub on_list: fn(&Rc<Control>, &Range),
    /// Applies changes. Returns the pause before the next watch, which lets successive
    /// changes share a response.
    pub on_changes: fn(&Rc<Control>, &Changes, Origin) -> Duration,
}

/// Follows the keys until the thread ends.
pub async fn follow(cx: Rc<Control>, subscription: Subscription) {
    let mut backoff = Backoff::default();
    let mut faults = ListFaults::new(subscription.keys);
    let is_first = cx.lists.freshness(subscription.keys, 0).is_none();
    let mut allow_stale = subscription.allow_stale_start && is_first;
    loop {
        let result = follow_once(&cx, &subscription, allow_stale, &mut backoff, &mut faults).await;
        allow_stale = false;
        match result {
            Ok(()) => {}
            Err(StoreError::HistoryLost) => {
                faults.history_lost().await;
                cx.delay_in_new_epoch(subscription.keys).await;
            }
            Err(err) => {
                cx.store_failed(&err);
                cx.lists
                    .set_activity(subscription.keys, Activity::BackingOff);
                if !faults.pause_after(&cx, &err).await {
                    backoff.pause().await;
                }
                if !subscription.probes {
                    cx.lists
                        .set_activity(subscription.keys, Activity::AwaitingStore);
                    cx.store_link.until_reachable().await;
                }
            }
        }
    }
}

/// Reads the list, then applies changes until the store fails.
async fn follow_once(
    cx: &Rc<Control>,
    subscription: &Subscription,
    allow_stale: bool,
    backoff: &mut Backoff,
    faults: &mut ListFaults,
) -> Result<(), StoreError> {
    faults.begin();
    cx.lists.set_activity(subscription.keys, Activity::Reading);
    let mut position = match read_all(cx, subscription, allow_stale).await? {
        ListSource::Store(range) => cx.apply_list(subscription, &range),
        ListSource::HallPeer(at) => {
            cx.feeds.restart_at(subscription.keys, at);
            tokio::time::sleep(PAUSE_AFTER_HALL_LIST).await;
            at
        }
    };
    backoff.reset();
    faults.record_list(cx);
    cx.confirm_list(subscription.keys, position);
    cx.lists.set_activity(subscription.keys, Activity::Watching);
    loop {
        let received = cx
            .next_changes(subscription.keys, subscription.prefix, position)
            .await?;
        faults.record_changes();
        match received {
            (Received::Changes(changes), origin) => {
                position = changes.at;
                cx.confirm_list(subscription.keys, position);
                cx.feeds.extend(subscription.keys, &changes);
                let pause = (subscription.on_changes)(cx, &changes, origin);
                let pause = match origin {
                    // The store sends some hundreds of changes at a time, so more may be
                    // pending.
                    Origin::Store if changes.changes.len() >= LARGE_BATCH_CHANGES => Duration::ZERO,
                    Origin::Store => pause,
                    Origin::Follower { .. } => pause.min(PAUSE_AFTER_FOLLOWER),
                };
                tokio::time::sleep(pause).await;
            }
            (Received::List(range), origin) => {
                cx.note_follower_outage(origin);
                position = cx.apply_list(subscription, &range);
                cx.confirm_list(subscription.keys, position);
            }
        }
    }
}

/// Items of a list as changes that put them.
fn puts_of(range: Range) -> Changes {
    Changes {
        changes: range.items.into_iter().map(Change::Put).collect(),
        at: range.at,
    }
}

/// Where a complete list was read.
enum ListSource {
    Store(Range),
    /// Position of the list, which is applied already.
    HallPeer(Position),
}

/// Reads the complete list. The rest of a long list of targets is read from an entry of
/// this hall that has it; read by every entry, it would load the store in proportion to
/// entries times targets.
async fn read_all(
    cx: &Rc<Control>,
    subscription: &Subscription,
    allow_stale: bool,
) -> Result<ListSource, StoreError> {
    let may_query = subscription.keys == KeyGroup::Targets;
    let mut has_queried = false;
    let mut reading = cx.store.read_pages(subscription.prefix, allow_stale);
    let list = subscription.keys.name();
    let mut pages = 0;
    loop {
        if may_query && !has_queried && cx.may_query_hall() {
            has_queried = true;
            if let Some(at) = cx.records_from_hall().await {
                return Ok(ListSource::HallPeer(at));
            }
        }
        let items = match reading.next_page().await {
            Ok(items) => items,
            Err(err) => {
                if list_faults::may_stand(&err) {
                    (subscription.on_part)(cx, &puts_of(reading.into_range()));
                }
                return Err(err);
            }
        };
        match allow_stale {
            true => cx.store_answered_stale(),
            false => cx.store_answered(),
        }
        (subscription.on_page)(cx, items);
        pages += 1;
        metrics::count_list_page(list);
        if reading.is_complete() {
            let range = reading.into_range();
            let (items, at) = (range.items.len(), range.at);
            let fields = format_args!("list={list} pages={pages} items={items} at={at}");
            cx.log.line(events::LIST_READ, fields);
            return Ok(ListSource::Store(range));
        }
        cx.is_list_long.set(true);
    }
}

impl Control {
    /// Applies a complete list from the store or a store follower. Returns its position.
    fn apply_list(self: &Rc<Self>, subscription: &Subscription, range: &Range) -> Position {
        (subscription.on_list)(self, range);
        match subscription.keys {
            KeyGroup::Targets => self.feeds.restart_at(subscription.keys, range.at),
            KeyGroup::Operators | KeyGroup::Entries => {
                self.feeds.restart_with(subscription.keys, range)
            }
        }
        range.at
    }

    /// Records that a list is complete up to a position.
    pub(super) fn confirm_list(&self, keys: KeyGroup, at: Position) {
        self.lists.confirm(keys, self.clock.now(), at);
    }

    /// Waits for a watch, but only as long as the store answers other calls.
    pub(super) async fn until_store_lost<T>(
        &self,
        watch: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        tokio::select! {
            result = watch => result,
            () = self.store_link.until_unreachable() => Err(StoreError::Lost),
        }
    }
}
