//! Table of reservations, and of the times at which refused callers are to return.

use std::collections::HashMap;

use hollowsail_routing::RequestDigest;
use slotmap::SlotMap;

use super::{Flow, ReservationKey, RoomRequest, StageRoom};
use crate::Millis;

/// A reservation is dropped this long after its last due time, in milliseconds. Its pieces
/// may still arrive a little late; after that its requester is gone.
const GRACE_MS: Millis = 500;
/// How long the reservation of a refused caller is held from its time of return on, in
/// milliseconds.
const HOLD_MS: Millis = 300;
/// Interval between sweeps while capacity is asked for, in milliseconds. A sweep passes over all
/// reservations and returns.
const SWEEP_INTERVAL_MS: Millis = 10;
/// Limit on the remembered times of return, which bounds memory.
const MAX_RETURNS: usize = 4_096;

#[derive(Debug)]
pub struct Reservation {
    pub flow: Flow,
    pub stages: Vec<StageRoom>,
    /// What the flow paid from its balance for the pieces that haven't arrived.
    pub charge: f64,
    /// End of a hold for a refused caller; `None` once the request is admitted.
    held_until: Option<Millis>,
}

impl Reservation {
    /// True for capacity that is held for the return of a refused caller.
    pub fn is_hold(&self) -> bool {
        self.held_until.is_some()
    }

    fn is_over(&self, now: Millis) -> bool {
        let last_due = self.stages.iter().map(|stage| stage.due).max().unwrap_or(0);
        now > self.held_until.unwrap_or(last_due.saturating_add(GRACE_MS))
    }
}

/// Pieces of all stages.
pub fn total_pieces(stages: &[StageRoom]) -> u32 {
    let pieces = stages.iter().map(|stage| stage.pieces);
    pieces.fold(0, u32::saturating_add)
}

/// When a refused caller is to return.
#[derive(Debug, Clone, Copy)]
pub struct Return {
    pub at: Millis,
    pub urgency: u8,
    pub pieces: u32,
    /// Capacity held for it, if any.
    pub held: Option<ReservationKey>,
}

#[derive(Debug, Default)]
pub struct Reservations {
    table: SlotMap<ReservationKey, Reservation>,
    returns: HashMap<RequestDigest, Return>,
    swept: Millis,
    /// Refused callers who took what was held for them.
    pub returned: u64,
    /// Those who didn't return in time.
    pub lapsed: u64,
}

impl Reservations {
    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn contains(&self, key: ReservationKey) -> bool {
        self.table.contains_key(key)
    }

    pub fn values(&self) -> impl Iterator<Item = &Reservation> {
        self.table.values()
    }

    /// Adds a reservation for an admitted request.
    pub fn insert(&mut self, request: &RoomRequest, charge: f64) -> ReservationKey {
        self.table.insert(Reservation {
            flow: request.flow,
            stages: request.stages.clone(),
            charge,
            held_until: None,
        })
    }

    /// True when no more refused callers can be remembered.
    pub fn is_full_of_returns(&self) -> bool {
        self.returns.len() >= MAX_RETURNS
    }

    /// Remembers when a refused caller is to return, and holds `stages` for it then, with
    /// what its flow paid for them.
    pub fn expect_return(
        &mut self,
        request: &RoomRequest,
        at: Millis,
        held: Option<(Vec<StageRoom>, f64)>,
    ) {
        if self.is_full_of_returns() {
            return;
        }
        let held = held.map(|(stages, charge)| {
            self.table.insert(Reservation {
                flow: request.flow,
                stages,
                charge,
                held_until: Some(at + HOLD_MS),
            })
        });
        let expected = Return {
            at,
            urgency: request.flow.urgency,
            pieces: total_pieces(&request.stages),
            held,
        };
        self.returns.insert(request.digest, expected);
    }

    /// The expected return of a caller, while it is remembered.
    pub fn expected_return(&self, digest: &RequestDigest) -> Option<Return> {
        self.returns.get(digest).copied()
    }

    /// Ends an expected return; the reservation that was still held for it, if any.
    pub fn take_return(&mut self, digest: &RequestDigest) -> Option<Reservation> {
        let held = self
            .returns
            .remove(digest)
            .and_then(|expected| expected.held);
        let held = held.and_then(|key| self.table.remove(key));
        self.returned += u64::from(held.is_some());
        held
    }

    /// Pieces of callers of this urgency, or a more urgent one, that were told to return and
    /// have no capacity held.
    pub fn pieces_to_return(&self, urgency: u8) -> f64 {
        let returns = self.returns.values();
        returns
            .filter(|expected| expected.held.is_none() && expected.urgency <= urgency)
            .map(|expected| f64::from(expected.pieces))
            .sum()
    }

    /// Removes pieces that arrived in the queue, from the first stage on.
    pub fn begin(&mut self, key: ReservationKey, pieces: u32) {
        let Some(reservation) = self.table.get_mut(key) else {
            return;
        };
        let before = total_pieces(&reservation.stages);
        let mut arrived = pieces;
        for stage in &mut reservation.stages {
            let begun = arrived.min(stage.pieces);
            stage.pieces -= begun;
            arrived -= begun;
        }
        let left = total_pieces(&reservation.stages);
        reservation.charge *= f64::from(left) / f64::from(before.max(1));
        reservation.stages.retain(|stage| stage.pieces > 0);
        if reservation.stages.is_empty() {
            self.table.remove(key);
        }
    }

    /// Removes a reservation; `None` when it was removed before.
    pub fn cancel(&mut self, key: ReservationKey) -> Option<Reservation> {
        self.table.remove(key)
    }

    /// Sweeps unless that was done a moment ago.
    pub fn sweep_if_due(&mut self, now: Millis) {
        if now >= self.swept.saturating_add(SWEEP_INTERVAL_MS) {
            self.sweep(now);
        }
    }

    /// Drops reservations and returns whose time is over.
    pub fn sweep(&mut self, now: Millis) {
        self.swept = now;
        let lapsed = &mut self.lapsed;
        self.table.retain(|_, reservation| {
            let is_over = reservation.is_over(now);
            *lapsed += u64::from(is_over && reservation.is_hold());
            !is_over
        });
        self.returns
            .retain(|_, expected| now <= expected.at + HOLD_MS);
    }
}
