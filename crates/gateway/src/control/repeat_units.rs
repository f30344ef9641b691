//! Maintains this process's units of the allowance of repeats, as keys in the store.
//!
//! Carries out what [`hollowsail_fleet::quota`] decides: once a second, and when little of the share is left,
//! a round begins; most of them need no call. The units are in force for traffic as soon as the store has
//! confirmed them, and until the lease may end ([`SharedShare`](crate::repeats::SharedShare)). At the end of
//! a planned stop units are free again as soon as nothing counts of them; those of a killed process stay
//! taken until their lease ends.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::quota::{
    self, ListedUnit, Quota, QuotaCall, QuotaReply, QuotaTiming, UnitId, UnitList,
};
use hollowsail_fleet::Position;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::settings::Bounds;
use hollowsail_platform::store::{Lease, Range, StoreError};
use hollowsail_routing::repeats::{RetiredUnits, LOST_MS};
use hollowsail_routing::Millis;
use rand::Rng;

use super::Control;
use crate::metrics;
use crate::repeats::ARRIVAL_MS;

/// Key prefix of the units; their numbers follow.
const PREFIX: &str = "hollowsail-repeats/";
/// Key of the mark that the units of earlier epochs have run out; its value is an epoch.
const SETTLED_KEY: &str = "hollowsail-repeats/settled";
/// Most units that an allowance is divided into.
const MAX_UNITS: f64 = 10_000.0;
/// Longest window of an allowance, in seconds.
const MAX_WINDOW_S: f64 = 3_600.0;
/// Time between two rounds while enough of the share is left, and in any case.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time that a planned stop waits for the store to have the units back.
const RETIRE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the list of hosts is awaited before units are claimed, in milliseconds.
const LIST_WAIT_MS: Millis = 500;
/// Delay before units are written again in a new epoch.
const NEW_EPOCH_DELAY: std::ops::Range<Duration> = Duration::from_secs(3)..Duration::from_secs(10);
/// How long units may be used while the store doesn't answer, in milliseconds.
const USE_MS: Millis = 20_000;
/// Time between two calls that extend the lease, in milliseconds.
const EXTEND_MS: Millis = 6_000;

/// The units, and what the store knows of this process.
struct Units<'a> {
    cx: &'a Rc<Control>,
    quota: Quota,
    lease: Option<Lease>,
    /// Value of the keys.
    owner: Vec<u8>,
}

/// Maintains the units until the end of a planned stop.
pub async fn maintain(cx: Rc<Control>) {
    let mut units = Units {
        cx: &cx,
        quota: Quota::new(timing(&cx.settings.load().bounds)),
        lease: None,
        owner: cx.me.key_under("").into_bytes(),
    };
    units.wait_for_hosts().await;
    while !cx.retiring.is_set() {
        if cx.store_link.is_reachable() {
            units.delay_in_new_epoch().await;
            units.run_round().await;
        }
        tokio::time::sleep(MIN_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(ROUND_INTERVAL) => {}
            () = cx.repeat_share.until_pressed() => {}
            () = cx.retiring.wait() => {}
        }
    }
    units.run_last_round().await;
    cx.retired.set();
}

impl Control {
    /// Gives up the units once nothing is sent any more, as far as that takes no longer than
    /// [`RETIRE_TIMEOUT`].
    pub async fn retire_units(&self) {
        self.retiring.set();
        let retired = tokio::time::timeout(RETIRE_TIMEOUT, self.retired.wait()).await;
        if retired.is_err() {
            let fields =
                format_args!("state=leaving why=\"units of repeats stay until their lease ends\"");
            self.log.line(events::MEMBER, fields);
        }
    }
}

fn timing(bounds: &Bounds) -> QuotaTiming {
    let window_s = bounds.retry_window_s.clamp(0.0, MAX_WINDOW_S);
    let window_ms = (window_s * 1_000.0) as Millis;
    QuotaTiming {
        use_ms: USE_MS,
        window_ms: ARRIVAL_MS + window_ms,
        settle_ms: LOST_MS + ARRIVAL_MS + window_ms,
        extend_ms: EXTEND_MS,
    }
}

/// Units of the whole allowance.
fn total(bounds: &Bounds) -> u32 {
    bounds.retry_extra.clamp(0.0, MAX_UNITS) as u32
}

fn key_of(unit: UnitId) -> String {
    format!("{PREFIX}{}", unit.0)
}

/// The unit of a key. Numbers that are spelt otherwise are another writer's.
fn unit_of(key: &str) -> Option<UnitId> {
    let number = key.strip_prefix(PREFIX)?.parse().ok()?;
    Some(UnitId(number)).filter(|unit| key_of(*unit) == key)
}

/// The units in a list of their keys, and the mark. Keys that can't be read are nobody's.
fn list_units(range: &Range, owner: &[u8]) -> UnitList {
    let items = range.items.iter();
    let units = items.clone().filter_map(|item| {
        let is_own = item.value == owner;
        let unit = ListedUnit {
            at: item.at,
            is_own,
        };
        Some((unit_of(&item.key)?, unit))
    });
    let mut marks = items.filter(|item| item.key == SETTLED_KEY);
    let settled = marks.find_map(|item| {
        let epoch = std::str::from_utf8(&item.value).ok()?;
        Some((item.at, epoch.parse().ok()?))
    });
    UnitList {
        units: units.collect(),
        settled,
    }
}

impl Units<'_> {
    /// Lets the more urgent records be written first after the store was restored. What is held stays
    /// usable meanwhile, and nobody else claims it.
    async fn delay_in_new_epoch(&self) {
        if self
            .lease
            .is_some_and(|lease| lease.epoch() < self.cx.store.epoch())
        {
            let delay = rand::rng().random_range(NEW_EPOCH_DELAY);
            tokio::time::sleep(delay).await;
        }
    }

    async fn run_round(&mut self) {
        let total = total(&self.cx.settings.load().bounds);
        let hosts = self.count_hosts();
        let held = self.quota.held();
        metrics::set_repeat_hosts(hosts);
        let part = quota::target(total, hosts);
        let target = match self.cx.repeat_share.lock().is_pressed() {
            true => quota::pressed_target(total, hosts),
            false => part,
        };
        self.give_up(self.quota.surplus(total, target));
        self.quota.begin_round(total, part, target);
        self.make_calls().await;
        if self.quota.held() != held {
            self.log_held(&format!(
                "target={} total={total} hosts={hosts}",
                Field(&target)
            ));
        }
    }

    async fn run_last_round(&mut self) {
        let RetiredUnits { spare, settled } = self.cx.repeat_share.lock().retire();
        self.quota.begin_last_round(spare, settled);
        self.make_calls().await;
        self.log_held("why=stopping");
    }

    fn log_held(&self, details: &str) {
        let fields = format_args!(
            "held={} epoch={} {details}",
            self.quota.held(),
            self.cx.store.epoch()
        );
        self.cx.log.line(events::REPEAT_UNITS, fields);
    }

    /// Waits for the first list of hosts, for a limited time.
    async fn wait_for_hosts(&self) {
        let control = self.cx;
        while control.entries_listed_at.get().is_none() && control.clock.now() < LIST_WAIT_MS {
            tokio::time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Hosts that have a record, and this one.
    fn count_hosts(&self) -> usize {
        let peers = self.cx.peers_now();
        let own = std::iter::once(self.cx.me.host.as_str());
        let listed = peers.iter().map(|peer| peer.host.as_str());
        listed.chain(own).collect::<BTreeSet<&str>>().len()
    }

    fn give_up(&mut self, units: usize) {
        let given_up = self.cx.repeat_share.lock().give_up(units);
        self.quota.give_up(given_up);
    }

    async fn make_calls(&mut self) {
        while let Some(call) = self.next_call() {
            let sent_at = self.cx.clock.now();
            let result = self.make_call(&call).await;
            self.record(sent_at, &call, result);
        }
    }

    fn next_call(&mut self) -> Option<QuotaCall> {
        let now = self.cx.clock.now();
        self.quota.next_call(now, &mut rand::rng())
    }

    async fn make_call(&mut self, call: &QuotaCall) -> Result<QuotaReply, StoreError> {
        let store = &self.cx.store;
        let done_at = match call {
            QuotaCall::TakeLease => {
                let ttl = Duration::from_millis(self.quota.timing().ttl_ms());
                self.lease = Some(store.lease(ttl.max(self.cx.min_lease)).await?);
                Position::default()
            }
            QuotaCall::ExtendLease => {
                store.renew(self.lease()?).await?;
                Position::default()
            }
            QuotaCall::List { allow_stale } => {
                let range = store.range(PREFIX, *allow_stale).await?;
                return Ok(QuotaReply::Listed(list_units(&range, &self.owner)));
            }
            QuotaCall::Write(writes) => {
                let keys = writes.iter();
                let keys: Vec<_> = keys
                    .map(|write| (key_of(write.unit), write.expected))
                    .collect();
                store.put_each(&keys, &self.owner, self.lease()?).await?
            }
            QuotaCall::Remove(keys) => {
                let keys = keys.iter().map(|(unit, at)| (key_of(*unit), *at));
                store.remove_each(&keys.collect::<Vec<_>>()).await?
            }
            QuotaCall::Retire(keys, ttl_ms) => {
                let ttl = Duration::from_millis(*ttl_ms);
                let lease = store.lease(ttl.max(self.cx.min_lease)).await?;
                let keys = keys.iter().map(|(unit, at)| (key_of(*unit), Some(*at)));
                let keys: Vec<_> = keys.collect();
                store.put_each(&keys, &self.owner, lease).await?
            }
            QuotaCall::MarkSettled { epoch, expected } => {
                let value = epoch.to_string();
                let puts = [(SETTLED_KEY, value.as_bytes())];
                store.put_all(*expected, &puts).await?
            }
        };
        Ok(QuotaReply::Done(done_at))
    }

    fn lease(&self) -> Result<Lease, StoreError> {
        self.lease.ok_or(StoreError::LeaseExpired)
    }

    fn record(
        &mut self,
        sent_at: Millis,
        call: &QuotaCall,
        result: Result<QuotaReply, StoreError>,
    ) {
        let store = &self.cx.store;
        let now = self.cx.clock.now();
        let reply = match result {
            Ok(reply) => reply,
            Err(StoreError::Conflict) => QuotaReply::Conflict,
            Err(StoreError::LeaseExpired) => QuotaReply::LeaseEnded,
            Err(err) => {
                self.cx.store_failed(&err);
                match err.is_outcome_unknown() {
                    true => QuotaReply::Unknown,
                    false => QuotaReply::Refused,
                }
            }
        };
        self.quota
            .record_epoch(now, store.epoch(), store.was_restored());
        let epoch = self.lease.map_or(store.epoch(), |lease| lease.epoch());
        self.quota.record_reply(now, sent_at, epoch, call, reply);
        let usable = self.quota.usable(now);
        let mut share = self.cx.repeat_share.lock();
        share.set_units(usable.count, usable.until);
    }
}
