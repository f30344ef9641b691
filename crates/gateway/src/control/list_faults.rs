//! Lists that can't be read to their end, or followed, although the store answers.
//!
//! Such a fault may stand as long as the store holds or sends the same. The list is read again
//! after pauses that grow to seconds. Until a read succeeds, what was read is in force, nothing
//! that is missing from it counts as gone, and peers are asked for the rest ([`super::peer_state`]).

use std::time::{Duration, Instant};

use hollowsail_observe::events;
use hollowsail_observe::text::Quoted;
use hollowsail_platform::store::StoreError;
use http::StatusCode;
use tokio::sync::watch;

use super::backoff::Backoff;
use super::Control;
use crate::feed::KeyGroup;
use crate::metrics;

/// Time for which a list is followed after which its next fault counts as a new one.
const SETTLED: Duration = Duration::from_secs(5);
/// Interval between log lines of a fault that stands.
const LOG_INTERVAL: Duration = Duration::from_secs(30);

/// True for an error that another attempt is likely to meet again while the store answers.
pub fn may_stand(err: &StoreError) -> bool {
    match err {
        // The rate limit is shared, and passes.
        StoreError::Refused { status } => {
            status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
        }
        StoreError::Connection { .. }
        | StoreError::Truncated { .. }
        | StoreError::TimedOut { .. }
        | StoreError::Lost
        | StoreError::HistoryLost => false,
        _ => true,
    }
}

/// Consecutive faults of one list.
pub struct ListFaults {
    keys: KeyGroup,
    in_row: u32,
    lost_histories: u32,
    backoff: Backoff,
    listed_at: Option<Instant>,
    logged_at: Option<Instant>,
}

impl ListFaults {
    pub fn new(keys: KeyGroup) -> Self {
        ListFaults {
            keys,
            in_row: 0,
            lost_histories: 0,
            backoff: Backoff::for_standing_faults(),
            listed_at: None,
            logged_at: None,
        }
    }

    /// Records that an attempt at the list begins.
    pub fn begin(&mut self) {
        self.listed_at = None;
    }

    /// Records that the list was read to its end.
    pub fn record_list(&mut self, cx: &Control) {
        self.listed_at = Some(Instant::now());
        cx.incomplete_lists.set(self.keys, false);
    }

    /// Records that the list is followed.
    pub fn record_changes(&mut self) {
        *self = ListFaults {
            listed_at: self.listed_at,
            ..ListFaults::new(self.keys)
        };
    }

    fn forget_settled(&mut self) {
        if self.listed_at.is_some_and(|at| at.elapsed() >= SETTLED) {
            self.record_changes();
        }
    }

    /// Pauses when the history is lost again before a change was received.
    pub async fn history_lost(&mut self) {
        self.forget_settled();
        self.lost_histories += 1;
        if self.lost_histories > 1 {
            self.backoff.pause().await;
        }
    }

    /// Records an error. Returns true, after a pause, if it may stand.
    pub async fn pause_after(&mut self, cx: &Control, err: &StoreError) -> bool {
        if !may_stand(err) {
            return false;
        }
        self.forget_settled();
        self.in_row += 1;
        let list = self.keys.name();
        metrics::count_list_fault(list);
        if self.listed_at.is_none() {
            cx.incomplete_lists.set(self.keys, true);
        }
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            self.logged_at = Some(Instant::now());
            let fields = format_args!("list={list} in_row={} why={}", self.in_row, Quoted(err));
            cx.log.line(events::LIST_UNREADABLE, fields);
        }
        self.backoff.pause().await;
        true
    }
}

/// Lists whose last read didn't reach their end.
#[derive(Default)]
pub struct IncompleteLists(watch::Sender<[bool; KeyGroup::COUNT]>);

impl IncompleteLists {
    fn set(&self, keys: KeyGroup, is_incomplete: bool) {
        self.0.send_if_modified(|lists| {
            std::mem::replace(&mut lists[keys.position()], is_incomplete) != is_incomplete
        });
    }

    /// True if the last read of a list didn't reach its end.
    pub fn contains(&self, keys: KeyGroup) -> bool {
        self.0.borrow()[keys.position()]
    }

    /// Returns once a list is incomplete.
    pub async fn until_any(&self) {
        let mut changes = self.0.subscribe();
        // The sender lives as long as this reference.
        let _met = changes.wait_for(|lists| lists.contains(&true)).await;
    }
}
