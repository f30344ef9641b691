//! Reservations of a queue: admits requests that can be in time, and refuses the others.
//!
//! The demand is what waits and what is reserved. A request within the share of its flow
//! has to leave room for the balances of more urgent flows, any other for all that is expected to
//! arrive. A refused one gets a time to return, with capacity held for it if there is
//! any.

use super::capacity::Capacity;
use super::BatchQueue;
use crate::reservations::demand::{fits, Claim, Need};
use crate::reservations::table::{total_pieces, Reservation};
use crate::reservations::{
    FlowRoom, RefusalCause, ReservationKey, RoomDecision, RoomRefusal, RoomRequest, RoomTotals,
    StageRoom,
};
use crate::Millis;

/// Times of return that are tested, in 16ths of the longest Retry-After.
const RETURN_STEPS: [Millis; 7] = [1, 2, 4, 6, 8, 12, 16];
/// Shortest Retry-After, in milliseconds. A shorter one costs more round trips than it gains.
const MIN_RETURN_MS: Millis = 50;
/// Longest Retry-After, in milliseconds. Callers of a flow return in the order of their
/// refusal, so a longer one would keep the callers after it away as well.
const MAX_RETURN_MS: Millis = 60_000;
/// Part of the usual call by which a returned caller may exceed the capacity: the estimates
/// change while it is away, and it was promised room.
const RETURN_SLACK_CALLS: f64 = 0.25;

/// How a request comes to be asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Arrival {
    New,
    /// Refused before, without capacity held for its return.
    Return,
    /// Refused before, with capacity held for it.
    HeldReturn,
}

/// What a request is tested against.
struct Test {
    now: Millis,
    capacity: Capacity,
    /// Sorted by due time.
    needs: Vec<Need>,
}

impl Test {
    fn fits(&self, stages: &[StageRoom], claims: &[Claim]) -> bool {
        let supply = &self.capacity.supply;
        let new = stages
            .iter()
            .map(|stage| supply.testable(stage_need(stage, &self.capacity)));
        let mut new: Vec<Need> = new.collect();
        new.sort_by_key(|need| need.due);
        fits(&self.needs, &new, claims, supply, self.now)
    }

    /// The request as it would be after a wait.
    fn delayed(request: &RoomRequest, wait: Millis) -> Vec<StageRoom> {
        let stages = request.stages.iter();
        let delayed = stages.map(|stage| StageRoom {
            ready: stage.ready.saturating_add(wait),
            due: stage.due.saturating_add(wait),
            ..*stage
        });
        delayed.collect()
    }

    /// An early wait of at least `shortest` after which the request fits, with its stages
    /// then. Bisects the steps, as a longer wait nearly always fits better; under a long
    /// overload that is one test.
    fn early_return(
        &self,
        request: &RoomRequest,
        shortest: Millis,
        claims: &[Claim],
    ) -> Option<(Millis, Vec<StageRoom>)> {
        let longest = max_return(request);
        let shortest = shortest.max(MIN_RETURN_MS);
        let waits = RETURN_STEPS.map(|step| (longest * step / 16).max(shortest));
        let fitting = |wait: Millis| {
            let stages = Self::delayed(request, wait);
            self.fits(&stages, claims).then_some((wait, stages))
        };
        if shortest > longest {
            return None;
        }
        let mut found = fitting(longest)?;
        let (mut low, mut high) = (0, waits.len() - 1);
        while low < high {
            let middle = (low + high) / 2;
            match fitting(waits[middle]) {
                Some(earlier) => (found, high) = (earlier, middle),
                None => low = middle + 1,
            }
        }
        Some(found)
    }
}

fn stage_need(stage: &StageRoom, capacity: &Capacity) -> Need {
    let pieces = f64::from(stage.pieces);
    Need {
        ready: stage.ready,
        due: stage.due,
        cost: capacity.cost.of(pieces, pieces * stage.result_bytes as f64),
    }
}

fn total_cost(stages: &[StageRoom], capacity: &Capacity) -> f64 {
    let stages = stages.iter();
    stages.map(|stage| stage_need(stage, capacity).cost).sum()
}

/// Mean size of the results of a request, in bytes.
fn mean_bytes(request: &RoomRequest) -> u64 {
    let pieces = f64::from(total_pieces(&request.stages)).max(1.0);
    let bytes = request.stages.iter();
    let bytes = bytes.map(|stage| f64::from(stage.pieces) * stage.result_bytes as f64);
    (bytes.sum::<f64>() / pieces) as u64
}

fn max_return(request: &RoomRequest) -> Millis {
    request.max_return_ms.min(MAX_RETURN_MS)
}

fn pieces_of(reservation: &Reservation) -> u32 {
    total_pieces(&reservation.stages)
}

impl<T> BatchQueue<T> {
    /// Reserves capacity for a request, or refuses it.
    pub fn reserve(&mut self, now: Millis, request: &RoomRequest) -> RoomDecision {
        self.reservations.sweep_if_due(now);
        let expected = self.reservations.expected_return(&request.digest);
        if let Some(early) = expected.filter(|expected| now < expected.at) {
            return RoomDecision::Refused(RoomRefusal {
                retry_after_ms: early.at - now,
                cause: RefusalCause::TooEarly,
            });
        }
        let held = self.reservations.take_return(&request.digest);
        let arrival = match (expected.is_some(), held.is_some()) {
            (_, true) => Arrival::HeldReturn,
            (true, false) => Arrival::Return,
            (false, false) => Arrival::New,
        };
        // It is charged again with the decision.
        self.return_charge(held);
        let test = self.test(mean_bytes(request), now);
        let cost = total_cost(&request.stages, &test.capacity);
        self.flows.refresh(now, test.capacity.supply.rate);
        if arrival == Arrival::New {
            self.record_offer(request, cost, now);
        }
        match self.refusal_cause(request, cost, arrival, &test) {
            None => {
                let charge = self.flows.record_reserved(request.flow, cost);
                RoomDecision::Reserved(self.reservations.insert(request, charge))
            }
            Some(cause) => RoomDecision::Refused(self.refuse(request, cost, cause, &test)),
        }
    }

    fn record_offer(&mut self, request: &RoomRequest, cost: f64, now: Millis) {
        let due = request.stages.iter().map(|stage| stage.due).max();
        let lead_ms = due.unwrap_or(now).saturating_sub(now) as f64;
        self.flows
            .record_offer(request.flow, request.weight, cost, lead_ms, now);
    }

    /// Why a request can't be admitted; `None` if it can.
    fn refusal_cause(
        &self,
        request: &RoomRequest,
        cost: f64,
        arrival: Arrival,
        test: &Test,
    ) -> Option<RefusalCause> {
        // Before its workers are known, nothing can be said about a queue's capacity.
        if self.workers.is_empty() || !Self::is_backlog(test, cost) {
            return None;
        }
        if test.capacity.supply.rate <= 0.0 {
            return Some(RefusalCause::Full);
        }
        if arrival == Arrival::HeldReturn {
            let slack = (test.capacity.supply.call_ms * RETURN_SLACK_CALLS) as Millis;
            let stages = request.stages.iter().map(|stage| StageRoom {
                due: stage.due.saturating_add(slack),
                ..*stage
            });
            let fits = test.fits(&stages.collect::<Vec<_>>(), &[]);
            return (!fits).then_some(RefusalCause::Full);
        }
        if !test.fits(&request.stages, &[]) {
            return Some(RefusalCause::Full);
        }
        // A caller that returns is late already, so it leaves the new ones of its own flow their
        // share, too.
        let flow = request.flow;
        let claims = match arrival == Arrival::New {
            true if self.flows.is_within_share(flow, cost) => {
                self.flows.claims_of_more_urgent(flow, test.now)
            }
            true => self.flows.claims_of_others(flow, test.now),
            false => self.flows.claims_of_new_callers(flow, test.now),
        };
        let is_allowed = test.fits(&request.stages, &claims);
        (!is_allowed).then_some(RefusalCause::OverShare)
    }

    /// Refuses a request, and holds capacity for its return if there is any.
    fn refuse(
        &mut self,
        request: &RoomRequest,
        cost: f64,
        cause: RefusalCause,
        test: &Test,
    ) -> RoomRefusal {
        // Also the arrivals of its own flow: capacity held for returning callers would make
        // each new one wait for a return as well, for as long as the overload lasts.
        let claims = self.flows.claims_of_new_callers(request.flow, test.now);
        let shortest = self
            .flows
            .last_return(request.flow)
            .saturating_sub(test.now);
        let can_hold = test.capacity.supply.rate > 0.0 && !self.reservations.is_full_of_returns();
        let held = can_hold
            .then(|| test.early_return(request, shortest, &claims))
            .flatten();
        let (retry_after_ms, held) = match held {
            Some((wait, stages)) => {
                let charge = self.flows.record_reserved(request.flow, cost);
                (wait, Some((stages, charge)))
            }
            None => {
                let wait = self.backlog_ms(request, test).max(shortest);
                (wait.min(max_return(request)), None)
            }
        };
        self.flows
            .record_return(request.flow, test.now + retry_after_ms);
        self.reservations
            .expect_return(request, test.now + retry_after_ms, held);
        RoomRefusal {
            retry_after_ms,
            cause,
        }
    }

    /// Time after which the backlog of the request's urgency level is expected to be gone,
    /// callers included that are to return without a reservation.
    fn backlog_ms(&self, request: &RoomRequest, test: &Test) -> Millis {
        let urgency = request.flow.urgency;
        let waiting = self.waiting.ahead_of(urgency);
        let reserved = self.reservations.values();
        let reserved = reserved.filter(|reservation| reservation.flow.urgency <= urgency);
        let reserved: f64 = reserved.map(pieces_of).map(f64::from).sum();
        let returning = self.reservations.pieces_to_return(urgency);
        let pieces = waiting as f64 + reserved + returning;
        let backlog_ms = pieces / test.capacity.supply.rate.max(f64::MIN_POSITIVE);
        let longest = max_return(request);
        (backlog_ms as Millis).clamp(MIN_RETURN_MS.min(longest), longest)
    }

    fn test(&self, bytes: u64, now: Millis) -> Test {
        let capacity = self.capacity(bytes, now);
        let mut needs = self.waiting_needs(&capacity, now);
        let stages = self.reservations.values().flat_map(|held| &held.stages);
        needs.extend(stages.map(|stage| stage_need(stage, &capacity)));
        needs.sort_unstable_by_key(|need| need.due);
        Test {
            now,
            capacity,
            needs,
        }
    }

    /// Needs of the waiting pieces. Pieces that arrived together are one need.
    pub(super) fn waiting_needs(&self, capacity: &Capacity, now: Millis) -> Vec<Need> {
        let mut needs: Vec<Need> = Vec::new();
        for cohort in self.waiting.cohorts() {
            let (due, cost) = (cohort.order.due, capacity.cost_of(cohort));
            match needs.last_mut().filter(|need| need.due == due) {
                Some(need) => need.cost += cost,
                None => needs.push(Need {
                    ready: now,
                    due,
                    cost,
                }),
            }
        }
        needs
    }

    /// True unless the idle workers can take all that is known, and `cost` beside it.
    fn is_backlog(test: &Test, cost: f64) -> bool {
        let known: f64 = test.needs.iter().map(|need| need.cost).sum();
        known + cost > test.capacity.supply.idle
    }

    /// Removes pieces from a reservation that arrived in the queue.
    pub fn begin_reserved(&mut self, key: ReservationKey, pieces: u32) {
        self.reservations.begin(key, pieces);
    }

    /// Cancels what is left of a reservation, which its flow then needn't pay for.
    pub fn cancel_reservation(&mut self, key: ReservationKey) {
        let cancelled = self.reservations.cancel(key);
        self.return_charge(cancelled);
    }

    fn return_charge(&mut self, unused: Option<Reservation>) {
        if let Some(unused) = unused {
            self.flows.record_unused(unused.flow, unused.charge);
        }
    }

    /// Drops reservations whose due time is long past.
    pub fn sweep_reservations(&mut self, now: Millis) {
        self.reservations.sweep(now);
    }

    /// True until a reservation is used up, cancelled or dropped.
    pub fn has_reservation(&self, key: ReservationKey) -> bool {
        self.reservations.contains(key)
    }

    /// Number of reservations, held ones of refused callers included.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }

    /// True while idle workers can't take at once all that waits or is reserved.
    pub fn has_backlog(&self, now: Millis) -> bool {
        Self::is_backlog(&self.test(1, now), 0.0)
    }

    /// Demand, claims and capacity of the queue, for logs and metrics.
    pub fn room_totals(&self, now: Millis) -> RoomTotals {
        let capacity = self.capacity(1, now);
        let waiting = self.waiting_needs(&capacity, now);
        let mut totals = RoomTotals {
            capacity_per_s: capacity.supply.rate * 1_000.0,
            calibration: self.calibration.factor,
            waiting: waiting.iter().map(|need| need.cost).sum(),
            returned: self.reservations.returned,
            lapsed: self.reservations.lapsed,
            workers: self.worker_totals(now),
            ..RoomTotals::default()
        };
        for reservation in self.reservations.values() {
            let cost = total_cost(&reservation.stages, &capacity);
            match reservation.is_hold() {
                true => totals.held += cost,
                false => totals.reserved += cost,
            }
        }
        for (_, state) in self.flows.iter() {
            totals.flows += 1;
            totals.offered_per_s += state.offered * 1_000.0;
            totals.entitled_per_s += state.entitled * 1_000.0;
        }
        for claim in self.flows.claims_of(|_| true, now) {
            totals.claimed += claim.balance;
            totals.claimed_per_s += claim.rate * 1_000.0;
        }
        totals
    }

    /// Use of the queue by flow, for logs and metrics.
    pub fn room_by_flow(&self, _now: Millis) -> Vec<FlowRoom> {
        let flows = self.flows.iter();
        let rooms = flows.map(|(flow, state)| {
            let level = self.waiting.cohorts();
            let level = level.filter(|cohort| cohort.order.priority == flow.urgency);
            let reserved = self.reservations.values();
            let reserved = reserved.filter(|reservation| reservation.flow == flow);
            FlowRoom {
                flow,
                level_waiting: level.map(|cohort| cohort.len() as u32).sum(),
                reserved: reserved.map(pieces_of).fold(0, u32::saturating_add),
                offered_per_s: state.offered * 1_000.0,
                entitled_per_s: state.entitled * 1_000.0,
                balance: state.balance,
            }
        });
        rooms.collect()
    }
}
