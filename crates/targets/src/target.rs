//! One incarnation of a target.
//!
//! A [`Target`] holds its connection pool, the requests in flight that this entry sent, its
//! health, the load and speed that it reports, and the gate that paces sends during its warm-up.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_connect::{CrashCheck, Dialer, Pool, PoolRules, ProcessState};
use hollowsail_platform::deployment::Service;
use hollowsail_platform::headers::TargetLoad;
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::speed::report_weight;
use hollowsail_routing::{
    Millis, Observation, Stall, TargetHealth, TargetSpeed, WarmUp, WarmUpGate,
};

use crate::limit_report::LimitKind;

/// Connect timeout. Below the retransmission of a lost SYN, which takes seconds: another
/// target answers sooner.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection isn't reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of idle connections to one target.
const MAX_IDLE: u32 = 16;
/// Interval at which an entry repeats a target's limit to the entry that dispatches for all,
/// in milliseconds: a new owner of an engine scheduler may not have received it.
const LIMIT_REPEAT_INTERVAL_MS: Millis = 1_000;
/// Number of entries assumed to share a target's connections; the number of live ones isn't
/// known here.
const SHARING_ENTRIES: u32 = 16;

/// One incarnation of a target.
pub struct Target {
    pub record: Arc<TargetRecord>,
    pub pool: Rc<Pool>,
    /// Number of this entry's requests in flight.
    pub in_flight: Cell<u32>,
    /// Prompt tokens of this entry's requests whose prefill is pending.
    pub pending_prefill_tokens: Cell<u64>,
    pub health: RefCell<TargetHealth>,
    /// What it was sent and doesn't read.
    pub stall: RefCell<Stall>,
    /// Duration of its work in relation to the usual one.
    pub speed: Cell<TargetSpeed>,
    /// Its last load report, and when it was received.
    load_report: Cell<Option<(TargetLoad, Millis)>>,
    /// Set while it is warming up.
    pub warm_up: Cell<Option<WarmUp>>,
    /// Its limit in requests per second from all entries together, if it reported one.
    pub limit: Cell<Option<f64>>,
    /// Requests per second that it can refuse for want of room before it fails, if it reported that.
    pub refusal_limit: Cell<Option<f64>>,
    /// When this entry last repeated the limits to the entry that dispatches for all.
    limit_repeated: Cell<Option<Millis>>,
    /// Paces the sends of this entry during the warm-up.
    gate: Cell<WarmUpGate>,
    crash_check: CrashCheck,
}

/// Counts a request at a target until it is dropped.
pub struct InFlight {
    target: Rc<Target>,
    pending_prefill_tokens: u64,
}

impl Target {
    /// Creates an incarnation without connections, requests or observations. `dialer` opens its
    /// connections.
    pub fn new(record: Arc<TargetRecord>, service: &Service, dialer: Dialer) -> Rc<Self> {
        let rules = PoolRules {
            dial_timeout: DIAL_TIMEOUT,
            max_idle: (service.max_connections / SHARING_ENTRIES).clamp(1, MAX_IDLE) as usize,
            idle_timeout: IDLE_TIMEOUT,
        };
        Rc::new(Target {
            pool: Pool::with_dialer(record.addr, rules, dialer),
            record,
            in_flight: Cell::new(0),
            pending_prefill_tokens: Cell::new(0),
            health: RefCell::default(),
            stall: RefCell::default(),
            speed: Cell::default(),
            load_report: Cell::default(),
            warm_up: Cell::default(),
            limit: Cell::default(),
            refusal_limit: Cell::default(),
            limit_repeated: Cell::default(),
            gate: Cell::default(),
            crash_check: CrashCheck::default(),
        })
    }

    /// True if its process is known to be gone after one of its answers broke off.
    pub async fn has_crashed(&self) -> bool {
        self.process_state().await == ProcessState::Ended
    }

    /// Whether its process runs after one of its answers ended. Takes one or two round trips, and
    /// at most twice [`hollowsail_connect::CHECK_TIMEOUT`] and the time in which others are asked.
    pub async fn process_state(&self) -> ProcessState {
        let pool = self.pool.clone();
        let is_direct_failing = pool.is_direct_failing();
        let confirm = move |unreached| pool.confirm_state(unreached);
        self.crash_check
            .state(self.record.addr, is_direct_failing, confirm)
            .await
    }

    pub fn incarnation(&self) -> &Incarnation {
        &self.record.incarnation
    }

    /// True when this entry may send to it now: always after the warm-up, and during it no
    /// more often than `share` of the rate allowed. See [`WarmUpGate::update`] for `phase`.
    pub fn may_send(&self, now: Millis, share: f64, phase: f64) -> bool {
        let mut gate = self.gate.get();
        gate.update(now, self.warm_up.get(), share, phase);
        self.gate.set(gate);
        gate.is_open(now)
    }

    /// Counts a send of this entry, which has this share of the rate allowed in the warm-up.
    pub fn count_warm_up_send(&self, now: Millis, share: f64) {
        let mut gate = self.gate.get();
        gate.record_sent(now, share);
        self.gate.set(gate);
    }

    /// True while it stands still: it doesn't even close the connections of requests that were given
    /// up.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.stall.borrow().until(now).is_some()
    }

    /// True while it should get no request that another target can serve.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.health.borrow().is_ejected(now) || self.is_stalled(now)
    }

    /// True while a warm-up or a reported limit bounds what all entries together may send it.
    pub fn is_rate_limited(&self) -> bool {
        self.is_limited() || self.warm_up.get().is_some()
    }

    /// True while it reports a limit, which only a sender for all entries can apply.
    pub fn is_limited(&self) -> bool {
        self.limit.get().is_some() || self.refusal_limit.get().is_some()
    }

    /// Maximum number of requests of all entries at it: no more than it runs at once, while it
    /// must not refuse any.
    pub fn max_running(&self) -> Option<u32> {
        self.refusal_limit.get().map(|_| self.record.slots)
    }

    pub(crate) fn set_limit(&self, kind: LimitKind, limit: Option<f64>) {
        match kind {
            LimitKind::Requests => self.limit.set(limit),
            LimitKind::Refusals => self.refusal_limit.set(limit),
        }
    }

    /// True when its limits are due to be repeated; starts the next interval then.
    pub(crate) fn take_limit_repeat(&self, now: Millis) -> bool {
        let repeated = self.limit_repeated.get();
        let is_due = repeated.is_none_or(|repeated| now >= repeated + LIMIT_REPEAT_INTERVAL_MS);
        if is_due {
            self.limit_repeated.set(Some(now));
        }
        is_due
    }

    /// This entry's requests in flight as a fraction of the target's slots.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight.get()) / f64::from(self.record.slots)
    }

    /// Records a load report received now.
    pub fn record_load(&self, now: Millis, load: TargetLoad) {
        self.load_report.set(Some((load, now)));
        if let Some(percent) = load.work_percent {
            let mut speed = self.speed.get();
            speed.record_report(percent, now);
            self.speed.set(speed);
        }
    }

    /// The last reported duration of work in percent of the usual one, and when it was received.
    pub fn reported_work_percent(&self) -> Option<(u32, Millis)> {
        let (load, received_at) = self.load_report.get()?;
        Some((load.work_percent?, received_at))
    }

    /// Requests of all entries as a fraction of the target's slots, by its last report, which
    /// counts less with its age; 0 without reports.
    pub fn reported_load(&self, now: Millis) -> f64 {
        self.load_report.get().map_or(0.0, |(load, received_at)| {
            let requests = f64::from(load.running) + f64::from(load.waiting);
            requests / f64::from(load.slots.max(1)) * report_weight(now, received_at)
        })
    }

    /// Records an answer that took `actual_ms` where `expected_ms` is usual in its speed.
    pub fn record_speed(&self, now: Millis, actual_ms: f64, expected_ms: f64) {
        let mut speed = self.speed.get();
        speed.record_answer(actual_ms, expected_ms, now);
        self.speed.set(speed);
    }

    /// Counts a request and its prompt tokens to prefill until the guard is dropped.
    pub fn track_request(self: &Rc<Self>, pending_prefill_tokens: u64) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        let pending = self.pending_prefill_tokens.get();
        // The number is from a header of the caller.
        self.pending_prefill_tokens
            .set(pending.saturating_add(pending_prefill_tokens));
        InFlight {
            target: self.clone(),
            pending_prefill_tokens,
        }
    }

    /// Records the outcome of an attempt in its health; `typical_ms` is the usual latency.
    pub fn observe(&self, observation: Observation, typical_ms: Millis) {
        self.health.borrow_mut().observe(observation, typical_ms);
    }
}

impl InFlight {
    /// Releases the prompt tokens once the prefill is done.
    pub fn prefill_done(&mut self) {
        let pending = std::mem::take(&mut self.pending_prefill_tokens);
        let left = self
            .target
            .pending_prefill_tokens
            .get()
            .saturating_sub(pending);
        self.target.pending_prefill_tokens.set(left);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prefill_done();
        let left = self.target.in_flight.get().saturating_sub(1);
        self.target.in_flight.set(left);
    }
}
