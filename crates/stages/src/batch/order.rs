//! Order in force: by due time while everything that waits just fits, otherwise by priority.
//!
//! Everything admitted fits, and earliest deadline first meets all due times if any order
//! does. With time to spare the more urgent go first, as that makes nobody late. When the
//! waiting pieces don't fit (a worker was lost, or pieces came without a reservation),
//! earliest deadline first would make nearly all of them late, so the more urgent go first
//! as well.

use super::capacity::Capacity;
use super::waiting::Cohort;
use super::{eligible, BatchQueue, PieceKey};
use crate::reservations::demand::{all_fit, Need};
use crate::reservations::QueueOrder;
use crate::Millis;

/// Part of the usual call that is allowed for in the test of the waiting pieces: a group in
/// time at its admission may wait for the start of a call.
const TOLERANCE_CALLS: f64 = 1.0;
/// Time to spare at every due time, in usual calls, with which the order by priority makes
/// nobody late: a group that can't wait for another call goes first in it.
const SPARE_CALLS: f64 = 3.0;

impl<T> BatchQueue<T> {
    pub fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// The order that the owner has set.
    pub fn order(&self) -> QueueOrder {
        self.order
    }

    /// Sets the order in which pieces are taken now.
    pub(super) fn update_order(&mut self, now: Millis) {
        self.keeps_due_times = false;
        self.order_in_force = QueueOrder::Priority;
        if self.order == QueueOrder::Priority {
            return;
        }
        let capacity = self.capacity(1, now);
        self.keeps_due_times = self.waiting_fits(&capacity, now);
        if self.keeps_due_times && !self.waiting_has_spare_time(&capacity, now) {
            self.order_in_force = QueueOrder::Deadline;
        }
    }

    /// True when the waiting pieces can be in time. One that is late by its own length is only
    /// counted as work.
    fn waiting_fits(&self, capacity: &Capacity, now: Millis) -> bool {
        let supply = &capacity.supply;
        let tolerance = (supply.call_ms * TOLERANCE_CALLS) as Millis;
        let earliest = supply.earliest_due(now);
        let due = |need: &Need| (need.due + tolerance).max(earliest);
        all_fit(&self.sorted_needs(capacity, now, due), supply)
    }

    /// True when the waiting pieces can be in time with time to spare for each.
    fn waiting_has_spare_time(&self, capacity: &Capacity, now: Millis) -> bool {
        let spare = (capacity.supply.call_ms * SPARE_CALLS) as Millis;
        let due = |need: &Need| need.due.saturating_sub(spare);
        all_fit(&self.sorted_needs(capacity, now, due), &capacity.supply)
    }

    /// Needs of the waiting pieces with other due times, sorted by these.
    fn sorted_needs(
        &self,
        capacity: &Capacity,
        now: Millis,
        due: impl Fn(&Need) -> Millis,
    ) -> Vec<Need> {
        let mut needs = self.waiting_needs(capacity, now);
        for need in &mut needs {
            need.due = due(need);
        }
        needs.sort_by_key(|need| need.due);
        needs
    }

    /// Waiting pieces whose turn is expected after they expire, while the queue is in the
    /// order by priority because it doesn't fit. Their callers needn't wait for that.
    pub(super) fn expiring_before_turn(&self, now: Millis) -> Vec<PieceKey> {
        if self.order == QueueOrder::Priority || self.waiting.is_empty() {
            return Vec::new();
        }
        let capacity = self.capacity(1, now);
        // Without an available worker nothing is known about when one returns.
        if capacity.supply.rate <= 0.0 || self.waiting_fits(&capacity, now) {
            return Vec::new();
        }
        let waiting: Vec<&Cohort> = self.waiting.cohorts().collect();
        let mut ahead = -capacity.supply.idle;
        let mut expiring = Vec::new();
        for group in waiting.chunk_by(|a, b| a.order.group == b.order.group) {
            let turn = now + (ahead.max(0.0) / capacity.supply.rate) as Millis;
            let order = &group[0].order;
            if order.expires > now && order.expires < turn && !self.is_started(order.group) {
                expiring.extend(eligible::pieces(group));
                continue;
            }
            let cohorts = group.iter();
            ahead += cohorts.map(|cohort| capacity.cost_of(cohort)).sum::<f64>();
        }
        expiring
    }
}
