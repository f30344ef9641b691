//! Reservations of a queue: the interface that the owner calls.

use super::BatchQueue;
use crate::reservations::{FlowRoom, QueueOrder, ReservationKey, RoomDecision, RoomRequest};
use crate::Millis;

impl<T> BatchQueue<T> {
    /// Reserves capacity for a request, or refuses it.
    pub fn reserve(&mut self, _now: Millis, request: &RoomRequest) -> RoomDecision {
        RoomDecision::Reserved(self.reservations.insert(request.clone()))
    }

    /// Removes pieces from a reservation that arrived in the queue.
    pub fn begin_reserved(&mut self, key: ReservationKey, pieces: u32) {
        let Some(request) = self.reservations.get_mut(key) else {
            return;
        };
        let mut arrived = pieces;
        for stage in &mut request.stages {
            let begun = arrived.min(stage.pieces);
            stage.pieces -= begun;
            arrived -= begun;
        }
        if request.stages.iter().all(|stage| stage.pieces == 0) {
            self.reservations.remove(key);
        }
    }

    pub fn cancel_reservation(&mut self, key: ReservationKey) {
        self.reservations.remove(key);
    }

    /// Drops reservations whose due time is long past.
    pub fn sweep_reservations(&mut self, now: Millis) {
        self.reservations
            .retain(|_, request| request.stages.iter().any(|stage| stage.due > now));
    }

    pub fn set_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    pub fn order(&self) -> QueueOrder {
        self.order
    }

    /// Use of the queue by flow, for logs and metrics.
    pub fn room_by_flow(&self, _now: Millis) -> Vec<FlowRoom> {
        Vec::new()
    }

    /// True while pieces wait or reservations are held that the idle workers can't take at
    /// once.
    pub fn has_backlog(&self, _now: Millis) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of reservations held.
    pub fn reservations(&self) -> usize {
        self.reservations.len()
    }
}
