//! A store that holds units under leases, can be restored from older copies, and may lose answers.

use std::collections::BTreeMap;

use hollowsail_fleet::quota::{ListedUnit, QuotaCall, QuotaReply, UnitId, UnitList, MAX_KEYS};
use hollowsail_fleet::Position;

use super::{Defect, Millis, TIMING};

/// Identifies a run of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(pub u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lease(u64);

/// How calls of one process fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    Up,
    /// Calls aren't done.
    Down,
    /// Calls are done, some of them later than answers are awaited; no answer arrives.
    Mute {
        late_ms: Millis,
    },
}

#[derive(Debug, Clone, Copy)]
struct Unit {
    owner: Run,
    revision: u64,
    lease: Lease,
}

#[derive(Debug, Clone, Default)]
struct State {
    units: BTreeMap<UnitId, Unit>,
    /// When each lease ends.
    leases: BTreeMap<Lease, Millis>,
    settled: Option<(u64, u64)>,
}

/// A call that is done later.
#[derive(Debug, Clone)]
struct LateCall {
    due: Millis,
    epoch: u64,
    run: Run,
    lease: Option<Lease>,
    call: QuotaCall,
}

#[derive(Debug)]
pub struct Store {
    pub epoch: u64,
    pub is_up: bool,
    revision: u64,
    next_lease: u64,
    state: State,
    copies: Vec<(Millis, State)>,
    late: Vec<LateCall>,
    pub defect: Option<Defect>,
}

/// Interval between copies, in milliseconds.
const COPY_INTERVAL: Millis = 1_000;

impl Store {
    pub fn new(defect: Option<Defect>) -> Self {
        Store {
            epoch: 1,
            is_up: true,
            revision: 1,
            next_lease: 0,
            state: State::default(),
            copies: Vec::new(),
            late: Vec::new(),
            defect,
        }
    }

    /// Ends leases, does late calls, and keeps copies.
    pub fn tick(&mut self, now: Millis) {
        if self
            .copies
            .last()
            .is_none_or(|(at, _)| at + COPY_INTERVAL <= now)
        {
            self.copies.push((now, self.state.clone()));
        }
        if !self.is_up {
            return;
        }
        let epoch = self.epoch;
        let (due, late): (Vec<LateCall>, _) = self.late.drain(..).partition(|call| call.due <= now);
        self.late = late;
        for late in due.into_iter().filter(|call| call.epoch == epoch) {
            let mut lease = late.lease;
            self.apply(now, late.run, &mut lease, &late.call);
        }
        self.state.leases.retain(|_, ends| *ends > now);
        let leases = &self.state.leases;
        let units = &mut self.state.units;
        units.retain(|_, unit| leases.contains_key(&unit.lease));
    }

    /// Goes back to a copy. `keeps_leases`: those of the copy run anew, else none is left.
    pub fn restore(&mut self, now: Millis, lost: Millis, keeps_leases: bool) {
        let copies = self.copies.iter().rev();
        let copy = copies.clone().find(|(at, _)| at + lost <= now);
        self.state = copy.map(|(_, state)| state.clone()).unwrap_or_default();
        for ends in self.state.leases.values_mut() {
            *ends = now + TIMING.ttl_ms();
        }
        if !keeps_leases {
            self.state.leases.clear();
            self.state.units.clear();
        }
        self.epoch += 1;
        self.copies.push((now, self.state.clone()));
    }

    /// Ends the lease of a process that was killed, if that is how the store is played.
    pub fn forget(&mut self, lease: Option<Lease>) {
        if self.defect == Some(Defect::LeaseEndsWithProcess) {
            self.state.units.retain(|_, unit| Some(unit.lease) != lease);
        }
    }

    /// Does a call of a process whose link is like this.
    pub fn call(
        &mut self,
        now: Millis,
        link: Link,
        run: Run,
        lease: &mut Option<Lease>,
        call: &QuotaCall,
    ) -> QuotaReply {
        match link {
            _ if !self.is_up => QuotaReply::Refused,
            Link::Up => self.apply(now, run, lease, call),
            Link::Down => QuotaReply::Refused,
            Link::Mute { late_ms } => {
                self.late.push(LateCall {
                    due: now + late_ms,
                    epoch: self.epoch,
                    run,
                    lease: *lease,
                    call: call.clone(),
                });
                QuotaReply::Unknown
            }
        }
    }

    fn at(&self, revision: u64) -> Position {
        Position::new(self.epoch, revision)
    }

    fn is_expected(&self, unit: UnitId, expected: Option<Position>) -> bool {
        let listed = self.state.units.get(&unit).map(|unit| unit.revision);
        let is_guarded = self.defect != Some(Defect::UnguardedWrites);
        !is_guarded || listed == expected.map(|at| at.revision)
    }

    fn apply(
        &mut self,
        now: Millis,
        run: Run,
        lease: &mut Option<Lease>,
        call: &QuotaCall,
    ) -> QuotaReply {
        let held_lease = lease.filter(|lease| self.state.leases.contains_key(lease));
        self.revision += 1;
        let revision = self.revision;
        match call {
            QuotaCall::TakeLease => {
                self.next_lease += 1;
                *lease = Some(Lease(self.next_lease));
                let ends = now + TIMING.ttl_ms();
                self.state.leases.insert(Lease(self.next_lease), ends);
            }
            QuotaCall::ExtendLease => {
                let Some(lease) = held_lease else {
                    return QuotaReply::LeaseEnded;
                };
                self.state.leases.insert(lease, now + TIMING.ttl_ms());
            }
            QuotaCall::List { allow_stale } => {
                let stale = self.copies.last().filter(|_| *allow_stale);
                let state = stale.map_or(&self.state, |(_, state)| state);
                let units = state.units.iter().map(|(id, unit)| {
                    let at = self.at(unit.revision);
                    let is_own = unit.owner == run;
                    (*id, ListedUnit { at, is_own })
                });
                let settled = state.settled;
                return QuotaReply::Listed(UnitList {
                    units: units.collect(),
                    settled: settled.map(|(revision, epoch)| (self.at(revision), epoch)),
                });
            }
            QuotaCall::Write(writes) => {
                assert!(writes.len() <= MAX_KEYS);
                let mut expected = writes.iter();
                if !expected.all(|write| self.is_expected(write.unit, write.expected)) {
                    return QuotaReply::Conflict;
                }
                let Some(lease) = held_lease else {
                    return QuotaReply::LeaseEnded;
                };
                let unit = Unit {
                    owner: run,
                    revision,
                    lease,
                };
                let units = writes.iter().map(|write| (write.unit, unit));
                self.state.units.extend(units);
            }
            QuotaCall::Remove(keys) => {
                assert!(keys.len() <= MAX_KEYS);
                let mut listed = keys.iter();
                if !listed.all(|(unit, at)| self.is_expected(*unit, Some(*at))) {
                    return QuotaReply::Conflict;
                }
                for (unit, _) in keys {
                    self.state.units.remove(unit);
                }
            }
            QuotaCall::Retire(keys, ttl_ms) => {
                let mut listed = keys.iter();
                if !listed.all(|(unit, at)| self.is_expected(*unit, Some(*at))) {
                    return QuotaReply::Conflict;
                }
                self.next_lease += 1;
                let lease = Lease(self.next_lease);
                self.state.leases.insert(lease, now + ttl_ms);
                let unit = Unit {
                    owner: run,
                    revision,
                    lease,
                };
                let units = keys.iter().map(|(id, _)| (*id, unit));
                self.state.units.extend(units);
            }
            QuotaCall::MarkSettled { epoch, expected } => {
                let known = self.state.settled.map(|(revision, _)| revision);
                if known != expected.map(|at| at.revision) {
                    return QuotaReply::Conflict;
                }
                self.state.settled = Some((revision, *epoch));
            }
        }
        QuotaReply::Done(self.at(revision))
    }
}
