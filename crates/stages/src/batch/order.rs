//! Order in force: by due time while everything that waits fits, otherwise by priority.
//!
//! Everything admitted fits, and earliest deadline first meets all due times if any order
//! does. When it doesn't fit (a worker was lost, or pieces came without a reservation), the
//! same order would make nearly all of it late, so the most urgent go first.

use super::{BatchQueue, PieceKey};
use crate::reservations::demand::all_fit;
use crate::reservations::QueueOrder;
use crate::Millis;

/// Part of the usual call that is allowed for in the test of the waiting pieces: a group in
/// time at its admission may wait for the start of a call.
const TOLERANCE_CALLS: f64 = 1.0;

impl<T> BatchQueue<T> {
    pub fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// The order that the owner has set.
    pub fn order(&self) -> QueueOrder {
        self.order
    }

    /// The order in which pieces are taken now.
    pub(super) fn order_at(&self, now: Millis) -> QueueOrder {
        match self.order {
            QueueOrder::Deadline if self.waiting_fits(now) => QueueOrder::Deadline,
            _ => QueueOrder::Priority,
        }
    }

    /// True when the waiting pieces can be in time. One that is late by its own length is
    /// only counted as work.
    fn waiting_fits(&self, now: Millis) -> bool {
        let capacity = self.capacity(1, now);
        let supply = &capacity.supply;
        let tolerance = (supply.call_ms * TOLERANCE_CALLS) as Millis;
        let earliest = supply.earliest_due(now);
        let mut needs = self.waiting_needs(&capacity, now);
        for need in &mut needs {
            need.due = (need.due + tolerance).max(earliest);
        }
        needs.sort_by_key(|need| need.due);
        all_fit(&needs, supply)
    }

    /// Waiting pieces whose turn is expected after they expire, while the queue is in the
    /// order by priority because it doesn't fit. Their callers needn't wait for that.
    pub(super) fn expiring_before_turn(&self, now: Millis) -> Vec<PieceKey> {
        let does_not_fit =
            self.order == QueueOrder::Deadline && self.order_at(now) == QueueOrder::Priority;
        let capacity = self.capacity(1, now);
        // Without an available worker nothing is known about when one returns.
        if !does_not_fit || capacity.supply.rate <= 0.0 {
            return Vec::new();
        }
        let waiting: Vec<PieceKey> = self.waiting.iter().map(|(_, key)| *key).collect();
        let mut ahead = -capacity.supply.idle;
        let mut expiring = Vec::new();
        for group in waiting.chunk_by(|a, b| self.group_of(*a) == self.group_of(*b)) {
            let turn = now + (ahead.max(0.0) / capacity.supply.rate) as Millis;
            let expires = self.pieces[group[0]].order.expires;
            if expires > now && expires < turn && !self.is_started(self.group_of(group[0])) {
                expiring.extend_from_slice(group);
                continue;
            }
            let bytes = group.iter().map(|key| self.pieces[*key].order.result_bytes);
            ahead += capacity
                .cost
                .of(group.len() as f64, bytes.sum::<u64>() as f64);
        }
        expiring
    }
}
