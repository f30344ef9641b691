//! One start of a target.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_connect::{EndCheck, Pool, PoolRules};
use hollowsail_platform::deployment::Service;
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::{Cold, ColdGate, Millis, Observation, TargetHealth};

/// Longest time for a connection to a target: a lost opening packet is sent
/// again after seconds, and another target is quicker than that.
const DIAL_WITHIN: Duration = Duration::from_millis(400);
/// Longest rest of a connection that is used again.
const IDLE_FOR: Duration = Duration::from_secs(8);
/// Most idle connections kept to one target.
const MOST_IDLE: u32 = 16;
/// How often an entry repeats a target's limit to whoever sends for all, in milliseconds:
/// one that has just become the owner of a desk may know nothing of it.
const TELL_EVERY_MS: Millis = 1_000;
/// Entries among which a target's connections are shared at least; the number
/// of live ones isn't known here.
const SHARING_ENTRIES: u32 = 16;

/// One incarnation of a target.
pub struct Target {
    pub record: Arc<TargetRecord>,
    pub pool: Rc<Pool>,
    /// Requests of this entry that it has.
    pub in_flight: Cell<u32>,
    /// Prompt tokens of this entry's requests that it has yet to read.
    pub unread_tokens: Cell<u64>,
    pub health: RefCell<TargetHealth>,
    /// Set while it is cold.
    pub cold: Cell<Option<Cold>>,
    /// Requests a second that it takes from all entries together, while it names that.
    pub limit: Cell<Option<f64>>,
    /// When this entry last told whoever sends for all what it knows of that.
    limit_told: Cell<Option<Millis>>,
    /// When this entry may send to it while it is cold.
    gate: Cell<ColdGate>,
    end: EndCheck,
}

/// Counts a request at a target until it is dropped.
pub struct InFlight {
    target: Rc<Target>,
    unread_tokens: u64,
}

impl Target {
    /// One that nothing is known of yet.
    pub fn new(record: Arc<TargetRecord>, service: &Service) -> Rc<Self> {
        let rules = PoolRules {
            dial_within: DIAL_WITHIN,
            max_idle: (service.max_connections / SHARING_ENTRIES).clamp(1, MOST_IDLE) as usize,
            idle_for: IDLE_FOR,
        };
        Rc::new(Target {
            pool: Pool::new(record.addr, rules),
            record,
            in_flight: Cell::new(0),
            unread_tokens: Cell::new(0),
            health: RefCell::default(),
            cold: Cell::default(),
            limit: Cell::default(),
            limit_told: Cell::default(),
            gate: Cell::default(),
            end: EndCheck::default(),
        })
    }

    /// True when its process isn't there any more, after an answer of its broke off. Takes
    /// a hop or two, and [`hollowsail_connect::SEEN_WITHIN`] twice at the most.
    pub async fn has_ended(&self) -> bool {
        self.end.has_ended(self.record.addr).await
    }

    /// Which start of the target this is.
    pub fn incarnation(&self) -> &Incarnation {
        &self.record.incarnation
    }

    /// True when this entry may send to it now: always while it is warm, else no more
    /// often than a share of what it bears. See [`ColdGate::meet`] for `phase`.
    pub fn may_get_one(&self, now: Millis, share: f64, phase: f64) -> bool {
        let mut gate = self.gate.get();
        gate.meet(now, self.cold.get(), share, phase);
        self.gate.set(gate);
        gate.is_open(now)
    }

    /// Counts a send of this entry, with its share of what the target bears while cold.
    pub fn sent_while_cold(&self, now: Millis, share: f64) {
        let mut gate = self.gate.get();
        gate.sent(now, share);
        self.gate.set(gate);
    }

    /// True while it is cold or names a limit: it takes so much from all entries together.
    pub fn is_rationed(&self) -> bool {
        self.limit.get().is_some() || self.cold.get().is_some()
    }

    /// True when this entry is to tell its limit again; so often at most.
    pub(crate) fn tells_limit_now(&self, now: Millis) -> bool {
        let told = self.limit_told.get();
        let is_due = told.is_none_or(|told| now >= told + TELL_EVERY_MS);
        if is_due {
            self.limit_told.set(Some(now));
        }
        is_due
    }

    /// Part of its slots that this entry's requests take.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight.get()) / f64::from(self.record.slots)
    }

    /// Counts a request, with the prompt tokens that the target has to read.
    pub fn enter(self: &Rc<Self>, unread_tokens: u64) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.unread_tokens
            .set(self.unread_tokens.get() + unread_tokens);
        InFlight {
            target: self.clone(),
            unread_tokens,
        }
    }

    /// Takes what an attempt showed.
    pub fn observe(&self, observation: Observation, typical_ms: Millis) {
        self.health.borrow_mut().observe(observation, typical_ms);
    }
}

impl InFlight {
    /// The prompt is read.
    pub fn prompt_read(&mut self) {
        let unread = std::mem::take(&mut self.unread_tokens);
        let left = self.target.unread_tokens.get().saturating_sub(unread);
        self.target.unread_tokens.set(left);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prompt_read();
        let left = self.target.in_flight.get().saturating_sub(1);
        self.target.in_flight.set(left);
    }
}
