//! Batch queue of one stage service, shared by all its workers. A call has a fixed cost
//! plus a cost per piece, so pieces of different requests share calls. The owner pushes
//! pieces, takes calls with [`BatchQueue::next_call`], sends them, and reports how each
//! ended. Worker memory is reserved for each result until [`BatchQueue::release_memory`] is called.

mod calls;
mod capacity;
mod choose;
mod eligible;
mod load;
mod order;
mod reserve;
mod retention;
mod speeds;
mod types;
mod waiting;
mod workers;

use std::collections::HashMap;

use hollowsail_routing::LimitShare;
use slotmap::SlotMap;

use self::calls::Call;
use self::capacity::Calibration;
use self::retention::Retention;
use self::waiting::{Cohort, Place, Waiting};
use self::workers::Worker;
use crate::reservations::flows::Flows;
use crate::reservations::table::Reservations;
use crate::reservations::QueueOrder;
use crate::Millis;

pub use self::load::QueueLoad;
pub use self::types::{
    CallEnd, CallKey, GroupKey, HallKey, Halls, PieceKey, PieceOrder, PoolRules, StartedCall,
    StartedPiece, WorkerKey,
};
pub use self::workers::WorkerState;

/// Minimum time that a piece waits for a worker of its preferred hall, in milliseconds.
const MIN_HALL_WAIT_MS: Millis = 60;
/// Maximum time that a piece waits for a worker of its preferred hall, in milliseconds.
/// Shorter waits move more bytes between halls; longer ones delay the later stages.
const MAX_HALL_WAIT_MS: Millis = 300;

/// Number of unfinished pieces of a group, and whether any piece was started.
#[derive(Debug, Default)]
struct Group {
    pieces: usize,
    started: bool,
    /// Shares no call with other groups, and has at most one call at a time.
    is_isolated: bool,
}

/// A piece until it is finished or cancelled.
#[derive(Debug)]
struct Piece<T> {
    order: PieceOrder,
    place: Place,
    /// Time from which it may run outside its preferred hall.
    anywhere_from: Millis,
    /// Number of calls in progress that contain it.
    calls: u32,
    job: T,
}

impl<T> Piece<T> {
    /// Queues it at its place.
    fn wait_in(&self, waiting: &mut Waiting, key: PieceKey) {
        waiting.insert(key, self.place, &self.order, self.anywhere_from);
    }
}

#[derive(Debug)]
pub struct BatchQueue<T> {
    rules: PoolRules,
    workers: SlotMap<WorkerKey, Worker>,
    pieces: SlotMap<PieceKey, Piece<T>>,
    calls: SlotMap<CallKey, Call>,
    waiting: Waiting,
    groups: HashMap<GroupKey, Group>,
    retention: Retention,
    /// Share of the workers' rate limits that this queue uses.
    limit_share: LimitShare,
    /// Some worker has reported its speed.
    has_speeds: bool,
    reservations: Reservations,
    flows: Flows,
    calibration: Calibration,
    /// Order set by the owner.
    order: QueueOrder,
    /// Order of the call that is being chosen.
    order_in_force: QueueOrder,
    /// Calls may not be longer than the due times in them allow.
    keeps_due_times: bool,
}

impl<T> BatchQueue<T> {
    pub fn new(rules: PoolRules) -> Self {
        BatchQueue {
            rules,
            workers: SlotMap::with_key(),
            pieces: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            waiting: Waiting::default(),
            groups: HashMap::new(),
            retention: Retention::default(),
            limit_share: LimitShare::default(),
            has_speeds: false,
            reservations: Reservations::default(),
            flows: Flows::default(),
            calibration: Calibration::default(),
            order: QueueOrder::default(),
            order_in_force: QueueOrder::default(),
            keeps_due_times: false,
        }
    }

    /// Sets the rules for future calls.
    pub fn set_rules(&mut self, rules: PoolRules) {
        self.rules = rules;
    }

    pub fn rules(&self) -> &PoolRules {
        &self.rules
    }

    /// Adds a waiting piece.
    pub fn push(&mut self, order: PieceOrder, job: T, now: Millis) -> PieceKey {
        let anywhere_from = self.anywhere_from(&order, now);
        let place = self.waiting.next_place(&order, anywhere_from);
        let key = self.pieces.insert(Piece {
            order,
            place,
            anywhere_from,
            calls: 0,
            job,
        });
        self.waiting.insert(key, place, &order, anywhere_from);
        self.groups.entry(order.group).or_default().pieces += 1;
        key
    }

    /// Time from which a piece may run outside its preferred hall: the latest start at
    /// which it is still in time, bounded by the minimum and maximum wait.
    fn anywhere_from(&self, order: &PieceOrder, now: Millis) -> Millis {
        let whole_call = self.rules.expected_ms(self.rules.batch) as Millis;
        let latest_start = order.due.saturating_sub(whole_call);
        latest_start.clamp(now + MIN_HALL_WAIT_MS, now + MAX_HALL_WAIT_MS)
    }

    /// The job of an unfinished piece.
    pub fn job(&self, piece: PieceKey) -> Option<&T> {
        self.pieces.get(piece).map(|piece| &piece.job)
    }

    pub fn job_mut(&mut self, piece: PieceKey) -> Option<&mut T> {
        self.pieces.get_mut(piece).map(|piece| &mut piece.job)
    }

    /// Isolates the group of a piece: it shares no call with other groups, and has one call
    /// at a time. Limits the damage of a piece that may crash its worker.
    pub fn isolate(&mut self, piece: PieceKey) {
        let group = self.pieces.get(piece).map(|piece| piece.order.group);
        if let Some(group) = group.and_then(|group| self.groups.get_mut(&group)) {
            group.is_isolated = true;
        }
    }

    /// Removes a completed or cancelled piece. `None` when it was removed before.
    pub fn finish(&mut self, piece: PieceKey) -> Option<T> {
        let state = self.pieces.remove(piece)?;
        self.waiting.remove(state.place);
        self.leave_group(state.order.group);
        Some(state.job)
    }

    fn leave_group(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.pieces -= 1;
        if group.pieces == 0 {
            self.groups.remove(&key);
        }
    }

    /// Queues a piece again that is in no call any more.
    pub fn requeue(&mut self, piece: PieceKey) {
        if let Some(state) = self.pieces.get(piece) {
            state.wait_in(&mut self.waiting, piece);
        }
    }

    /// Number of waiting pieces.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Waiting pieces that have expired, or whose turn is expected too late; the caller
    /// finishes them.
    pub fn expired(&self, now: Millis) -> Vec<PieceKey> {
        let cohorts = self.waiting.cohorts();
        let mut expired: Vec<PieceKey> = cohorts
            .filter(|cohort| cohort.order.expires <= now)
            .flat_map(Cohort::pieces)
            .collect();
        expired.extend(self.expiring_before_turn(now));
        expired
    }

    /// Waiting pieces that are in no call, for a change of the queue's owner. They stay in
    /// the queue; the caller finishes each.
    pub fn take_waiting(&mut self) -> Vec<PieceKey> {
        let is_in_no_call = |key: &PieceKey| self.pieces[*key].calls == 0;
        self.waiting.pieces().filter(is_in_no_call).collect()
    }
}
