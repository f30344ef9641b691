//! Units of an allowance that all hosts share, each leased from the store by one process.
//!
//! A unit is a key that a process creates, if it is absent, under a lease that only this process
//! extends. The store decides who holds a unit, so nobody has to know which other hosts there are or
//! were: what a process leaves behind stays taken until its lease ends. The lease outlasts the last use
//! of a unit by as long as that use counts ([`QuotaTiming`]).
//!
//! [`Quota`] says which calls to make to the store, and learns what has become of them. Regularly a round
//! begins ([`Quota::begin_round`]), which extends the lease, removes the keys of units that were given up,
//! and claims units until the process holds its part. A call without a response may have been done, or
//! may be done later: its units aren't used, and are looked for in the next lists.
//!
//! A store that was restored from an older copy may have forgotten who holds what. Processes write their
//! own units again, and none claims others before all that were held until then have run out ([`plan`]).

mod plan;

use std::collections::BTreeMap;

use rand::Rng;

use crate::position::Position;
use crate::Millis;

pub use plan::{pressed_target, target};

/// Most keys that are written or removed at once: the store takes 32 rows, of which each key needs two.
pub const MAX_KEYS: usize = 16;
/// Conflicting writes in a round, after which the next round tries again.
const MAX_CONFLICTS: u32 = 4;
/// How long a call without a response may still be done, in milliseconds.
const LATE_CALL_MS: Millis = 10_000;

/// Number of a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UnitId(pub u32);

/// Times of a lease of units, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaTiming {
    /// How long units may be used after a call was sent that extended their lease.
    pub use_ms: Millis,
    /// How long the use of a unit counts if what was sent has settled.
    pub window_ms: Millis,
    /// How long it counts in any case.
    pub settle_ms: Millis,
    /// Time between two calls that extend the lease.
    pub extend_ms: Millis,
}

impl QuotaTiming {
    /// Time to live of the lease.
    pub fn ttl_ms(self) -> Millis {
        self.use_ms + self.settle_ms
    }
}

/// A unit's key in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedUnit {
    pub at: Position,
    /// This process wrote it.
    pub is_own: bool,
}

/// The units that the store lists as held.
#[derive(Debug, Clone, Default)]
pub struct UnitList {
    pub units: BTreeMap<UnitId, ListedUnit>,
    /// The mark that the units of earlier epochs have run out: its position, and the newest such epoch.
    pub settled: Option<(Position, u64)>,
}

/// A unit whose key is written if it is as expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnitWrite {
    pub unit: UnitId,
    /// Position of the key; `None` if it is absent.
    pub expected: Option<Position>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaCall {
    /// Takes a lease.
    TakeLease,
    /// Extends the lease.
    ExtendLease,
    /// Lists all units. A stale list costs the store less.
    List { allow_stale: bool },
    /// Writes keys under the lease, all or none.
    Write(Vec<UnitWrite>),
    /// Removes keys that are at these positions, all or none.
    Remove(Vec<(UnitId, Position)>),
    /// Puts keys that are at these positions under a lease of this length that nobody extends, all or
    /// none.
    Retire(Vec<(UnitId, Position)>, Millis),
    /// Marks the units before an epoch as run out, if the mark is at this position.
    MarkSettled {
        epoch: u64,
        expected: Option<Position>,
    },
}

/// What has become of a call.
#[derive(Debug, Clone)]
pub enum QuotaReply {
    /// Done, at a position if it was a write.
    Done(Position),
    Listed(UnitList),
    /// Nothing was done: a key isn't as expected.
    Conflict,
    /// Nothing was done: the lease or its epoch has ended.
    LeaseEnded,
    /// Nothing was done.
    Refused,
    /// It may have been done, or may still be.
    Unknown,
}

/// An epoch of the store, as this process knows it.
#[derive(Debug, Clone, Copy)]
struct Epoch {
    number: u64,
    known_since: Millis,
    /// Nobody uses units that the store has forgotten.
    is_settled: bool,
}

/// Units that may be used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsableUnits {
    pub count: usize,
    pub until: Millis,
}

/// How far a round is.
#[derive(Debug, Default)]
struct Round {
    total: u32,
    /// Units that are this process's part.
    part: usize,
    /// Units that it aims at; beyond its part they are borrowed.
    target: usize,
    list: Option<UnitList>,
    has_claimed: bool,
    conflicts: u32,
    /// A call failed that the others depend on.
    is_over: bool,
}

/// The units that this process holds.
#[derive(Debug)]
pub struct Quota {
    timing: QuotaTiming,
    epoch: Option<Epoch>,
    /// Epoch of the lease that is extended.
    lease: Option<u64>,
    /// When a call was sent that took or extended the lease of an epoch last.
    extended: BTreeMap<u64, Millis>,
    /// By position of the last write of their keys.
    held: BTreeMap<UnitId, Position>,
    /// Keys of units that were given up.
    to_remove: Vec<(UnitId, Position)>,
    /// Keys of units whose use counts for a window.
    to_retire: Vec<(UnitId, Position)>,
    /// Until when calls that weren't confirmed may be done.
    unknown_until: Millis,
    /// Before this time a list would show nothing new.
    next_list_at: Millis,
    round: Round,
}

impl Quota {
    pub fn new(timing: QuotaTiming) -> Self {
        Quota {
            timing,
            epoch: None,
            lease: None,
            extended: BTreeMap::new(),
            held: BTreeMap::new(),
            to_remove: Vec::new(),
            to_retire: Vec::new(),
            unknown_until: 0,
            next_list_at: 0,
            round: Round::default(),
        }
    }

    pub fn timing(&self) -> QuotaTiming {
        self.timing
    }

    /// Number of units that are held, usable or not.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Units that may be used now, and until when all of them may.
    pub fn usable(&self, now: Millis) -> UsableUnits {
        let ends = self.held.values().filter_map(|at| self.usable_until(*at));
        let usable = ends.filter(|until| *until > now);
        UsableUnits {
            count: usable.clone().count(),
            until: usable.min().unwrap_or(now),
        }
    }

    fn usable_until(&self, at: Position) -> Option<Millis> {
        let extended = self.extended.get(&at.epoch);
        extended.map(|sent_at| sent_at + self.timing.use_ms)
    }

    /// Units that are held beyond a target, or that aren't among `total`.
    pub fn surplus(&self, total: u32, target: usize) -> usize {
        let outside = self.held.range(UnitId(total)..).count();
        self.held.len().saturating_sub(target).max(outside)
    }

    /// Gives up some units, which aren't used from now on.
    pub fn give_up(&mut self, count: usize) {
        let given_up = (0..count).map_while(|_| self.held.pop_last());
        self.to_remove.extend(given_up);
    }

    /// Begins a round, in which this process claims units of `total` until it holds its part, and borrows
    /// free ones up to `target`.
    pub fn begin_round(&mut self, total: u32, part: usize, target: usize) {
        if target > self.round.target {
            self.next_list_at = 0;
        }
        self.round = Round {
            total,
            part,
            target,
            ..Round::default()
        };
    }

    /// Begins the last round, after which no unit is used: nothing counts of `spare` units, and `settled`
    /// ones count for a window.
    pub fn begin_last_round(&mut self, spare: usize, settled: usize) {
        self.give_up(spare);
        let retired = (0..settled).map_while(|_| self.held.pop_last());
        self.to_retire.extend(retired);
        self.round = Round {
            is_over: true,
            ..Round::default()
        };
    }

    /// The next call of the round; `None` when it is over.
    pub fn next_call(&mut self, now: Millis, rng: &mut impl Rng) -> Option<QuotaCall> {
        if !self.to_remove.is_empty() {
            let first = self.to_remove.len().saturating_sub(MAX_KEYS);
            return Some(QuotaCall::Remove(self.to_remove.split_off(first)));
        }
        if !self.to_retire.is_empty() {
            let first = self.to_retire.len().saturating_sub(MAX_KEYS);
            let keys = self.to_retire.split_off(first);
            return Some(QuotaCall::Retire(keys, self.timing.window_ms));
        }
        if self.round.is_over {
            return None;
        }
        if self.lease.is_none() {
            return Some(QuotaCall::TakeLease);
        }
        if self.is_extension_due(now) {
            return Some(QuotaCall::ExtendLease);
        }
        if !self.needs_list(now) {
            return None;
        }
        let Some(list) = self.round.list.take() else {
            let allow_stale = self.round.conflicts == 0;
            return Some(QuotaCall::List { allow_stale });
        };
        let call = self.call_for(now, &list, rng);
        self.round.list = Some(list);
        if call.is_none() {
            self.next_list_at = now + self.timing.extend_ms;
        }
        call
    }

    /// The call that a list asks for.
    fn call_for(&mut self, now: Millis, list: &UnitList, rng: &mut impl Rng) -> Option<QuotaCall> {
        let writes = self.plan_writes(now, list, rng);
        if !writes.is_empty() {
            return Some(QuotaCall::Write(writes));
        }
        let leftovers = self.leftovers(list);
        if !leftovers.is_empty() {
            return Some(QuotaCall::Remove(leftovers));
        }
        let epoch = self.newly_settled(now, list)?;
        let expected = list.settled.map(|(at, _)| at);
        Some(QuotaCall::MarkSettled { epoch, expected })
    }

    fn is_extension_due(&self, now: Millis) -> bool {
        let extended = self.lease.and_then(|epoch| self.extended.get(&epoch));
        extended.is_none_or(|sent_at| sent_at + self.timing.extend_ms <= now)
    }

    fn needs_list(&self, now: Millis) -> bool {
        if now < self.next_list_at {
            return false;
        }
        let is_settled = self.epoch.is_none_or(|epoch| epoch.is_settled);
        self.held.len() < self.round.target
            || self.outdated().next().is_some()
            || now < self.unknown_until
            || !is_settled
    }

    /// Records the epoch of a response. `is_restored`: the store was restored from an older copy, at any
    /// time.
    pub fn record_epoch(&mut self, now: Millis, number: u64, is_restored: bool) {
        if self.epoch.is_some_and(|epoch| epoch.number >= number) {
            return;
        }
        self.epoch = Some(Epoch {
            number,
            known_since: now,
            is_settled: !is_restored,
        });
        self.lease = None;
        // These are positions of an earlier epoch; a list shows what is left of them.
        self.to_remove.clear();
        self.to_retire.clear();
        self.next_list_at = 0;
        self.round.list = None;
    }

    /// Records what has become of a call that was sent at `sent_at`, in an epoch.
    pub fn record_reply(
        &mut self,
        now: Millis,
        sent_at: Millis,
        epoch: u64,
        call: &QuotaCall,
        reply: QuotaReply,
    ) {
        let is_done = matches!(reply, QuotaReply::Done(_));
        if matches!(call, QuotaCall::Remove(_)) && !is_done {
            self.unknown_until = now + LATE_CALL_MS;
        }
        match reply {
            QuotaReply::Done(at) => self.record_done(sent_at, epoch, call, at),
            QuotaReply::Listed(list) => self.record_list(list),
            QuotaReply::Conflict => self.record_conflict(),
            QuotaReply::LeaseEnded => self.record_lease_end(epoch),
            QuotaReply::Refused => self.round.is_over = true,
            QuotaReply::Unknown => {
                self.unknown_until = now + LATE_CALL_MS;
                self.round.is_over = true;
            }
        }
    }

    fn record_done(&mut self, sent_at: Millis, epoch: u64, call: &QuotaCall, at: Position) {
        match call {
            QuotaCall::TakeLease | QuotaCall::ExtendLease => {
                self.lease = Some(epoch);
                self.extended.insert(epoch, sent_at);
            }
            QuotaCall::Write(writes) => {
                let list = self.round.list.get_or_insert_default();
                for write in writes {
                    self.held.insert(write.unit, at);
                    list.units
                        .insert(write.unit, ListedUnit { at, is_own: true });
                }
                self.round.has_claimed = true;
            }
            QuotaCall::Remove(keys) => {
                if let Some(list) = &mut self.round.list {
                    list.units
                        .retain(|unit, _| keys.iter().all(|(removed, _)| removed != unit));
                }
            }
            QuotaCall::MarkSettled { epoch, .. } => {
                if let Some(list) = &mut self.round.list {
                    list.settled = Some((at, *epoch));
                }
                self.settle(*epoch);
            }
            QuotaCall::List { .. } | QuotaCall::Retire(..) => {}
        }
    }

    fn record_list(&mut self, list: UnitList) {
        if let Some((_, epoch)) = list.settled {
            self.settle(epoch);
        }
        self.round.list = Some(list);
    }

    fn settle(&mut self, settled: u64) {
        if let Some(epoch) = &mut self.epoch {
            epoch.is_settled |= epoch.number == settled;
        }
    }

    /// The units of a lease that ended while its epoch goes on belong to nobody.
    fn record_lease_end(&mut self, epoch: u64) {
        if self.lease.take() == Some(epoch) {
            self.held.retain(|_, at| at.epoch != epoch);
            self.extended.remove(&epoch);
        }
        self.record_conflict();
    }

    /// The list of this round doesn't hold any more.
    fn record_conflict(&mut self) {
        self.round.list = None;
        self.round.conflicts += 1;
        self.round.is_over |= self.round.conflicts >= MAX_CONFLICTS;
    }
}
