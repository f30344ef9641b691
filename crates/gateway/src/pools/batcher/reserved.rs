//! Reservations of this queue by requesting entry and request id.
//!
//! The queue decides and counts ([`BatchQueue::reserve`]); this table finds the reservation of a
//! piece when it arrives, and of a cancellation. [`DecisionLog`] logs what is decided.
//!
//! [`BatchQueue::reserve`]: hollowsail_stages::BatchQueue::reserve

use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::pieces::Piece;
use hollowsail_routing::Millis;
use hollowsail_stages::{
    Flow, QueueOrder, ReservationKey, RoomDecision, RoomRefusal, RoomRequest, StageRoom,
};

use super::decision_log::DecisionLog;
use super::replies::Reply;
use super::Batcher;
use crate::metrics;
use crate::peers::PeerId;
use crate::reservations::{cause_label, ReservationReply, Reserve, RoomRefused};
use crate::traffic::Traffic;

/// Longest time until a stage is due, in milliseconds. Bounds how long a faulty peer's message
/// can hold capacity.
const MAX_LEAD_MS: Millis = 600_000;

/// Reservations that are held for requests of all entries.
#[derive(Default)]
pub(super) struct ReservationTable {
    by_request: HashMap<(PeerId, String), HeldReservation>,
    log: DecisionLog,
}

/// The reservation of one request.
struct HeldReservation {
    key: ReservationKey,
    /// Stages and the number of their pieces that haven't arrived.
    stages: Vec<(u16, u32)>,
}

impl ReservationTable {
    /// True when nothing has to be swept or logged.
    pub fn is_idle(&self) -> bool {
        self.by_request.is_empty() && !self.log.has_refusals()
    }
}

impl Batcher {
    /// Sets the order of waiting pieces.
    pub fn set_order(&self, order: QueueOrder) {
        self.queue.borrow_mut().set_order(order);
    }

    /// Decides on an entry's request for capacity.
    pub fn reserve(
        self: &Rc<Self>,
        cx: &Rc<Traffic>,
        from: PeerId,
        request: &Reserve,
        weight: f64,
    ) -> ReservationReply {
        let now = cx.clock.now();
        // A second request with the same id replaces the first.
        self.cancel_reservation(from, &request.request_id);
        let decision = self
            .queue
            .borrow_mut()
            .reserve(now, &room_request(request, weight, now));
        self.reservations.borrow_mut().log.count(&decision);
        let reply = match decision {
            RoomDecision::Reserved(key) => {
                self.hold(from, request, key);
                ReservationReply::Reserved
            }
            RoomDecision::Refused(refusal) => self.refuse(cx, request, refusal),
        };
        self.tick_while_busy(cx);
        reply
    }

    fn hold(&self, from: PeerId, request: &Reserve, key: ReservationKey) {
        let stages = request.stages.iter();
        let held = HeldReservation {
            key,
            stages: stages.map(|stage| (stage.stage, stage.pieces)).collect(),
        };
        let mut reservations = self.reservations.borrow_mut();
        let id = (from, request.request_id.clone());
        reservations.by_request.insert(id, held);
        metrics::count_room_decision(&self.name, "reserved", request.urgency);
        metrics::set_room_reservations(&self.name, reservations.by_request.len());
    }

    fn refuse(&self, cx: &Traffic, request: &Reserve, refusal: RoomRefusal) -> ReservationReply {
        let cause = cause_label(refusal.cause);
        let organisation = cx.reservations.organisation_name(cx, request.organisation);
        metrics::count_room_decision(&self.name, cause, request.urgency);
        cx.log.line(
            events::ROOM_REFUSED,
            format_args!(
                "request={} queue={} cause={cause} urgency={} organisation={organisation} \
                 retry_after_ms={}",
                Field(&request.request_id),
                Field(&self.name),
                request.urgency,
                refusal.retry_after_ms
            ),
        );
        ReservationReply::Refused(RoomRefused {
            retry_after_ms: refusal.retry_after_ms,
            cause: refusal.cause,
        })
    }

    /// A piece arrived: it counts as waiting instead of reserved.
    pub(super) fn begin_reserved(&self, reply: &Reply, piece: &Piece) {
        if self.reservations.borrow().by_request.is_empty() {
            return;
        }
        let from = match reply {
            Reply::Peer(requester) => Some(requester.link.peer.id),
            Reply::Local(_) => self.cx.upgrade().map(|cx| cx.me.id),
        };
        let Some(from) = from else { return };
        let id = (from, piece.request_id.clone());
        let mut reservations = self.reservations.borrow_mut();
        let Some(held) = reservations.by_request.get_mut(&id) else {
            return;
        };
        let stages = held.stages.iter_mut();
        let mut awaited = stages.filter(|(stage, left)| *stage == piece.stage && *left > 0);
        // `None` for a piece that is run again.
        let Some((_, left)) = awaited.next() else {
            return;
        };
        *left -= 1;
        self.queue.borrow_mut().begin_reserved(held.key, 1);
        if held.stages.iter().all(|(_, left)| *left == 0) {
            reservations.by_request.remove(&id);
            metrics::set_room_reservations(&self.name, reservations.by_request.len());
        }
    }

    /// Cancels what is left of a reservation.
    pub fn cancel_reservation(&self, from: PeerId, request_id: &str) {
        let id = (from, request_id.to_string());
        let mut reservations = self.reservations.borrow_mut();
        if let Some(held) = reservations.by_request.remove(&id) {
            self.queue.borrow_mut().cancel_reservation(held.key);
            metrics::set_room_reservations(&self.name, reservations.by_request.len());
        }
    }

    /// Drops reservations whose time is over, and logs the use by flow.
    pub(super) fn sweep_reservations(&self, cx: &Traffic, now: Millis) {
        let mut reservations = self.reservations.borrow_mut();
        if reservations.is_idle() {
            return;
        }
        let mut queue = self.queue.borrow_mut();
        queue.sweep_reservations(now);
        let by_request = &mut reservations.by_request;
        by_request.retain(|_, held| queue.has_reservation(held.key));
        metrics::set_room_reservations(&self.name, by_request.len());
        reservations.log.write_due(cx, &self.name, &queue, now);
    }
}

fn room_request(request: &Reserve, weight: f64, now: Millis) -> RoomRequest {
    let stages = request.stages.iter().map(|stage| StageRoom {
        pieces: stage.pieces,
        result_bytes: stage.result_bytes,
        ready: now + stage.ready_in_ms.min(MAX_LEAD_MS),
        due: now + stage.due_in_ms.min(MAX_LEAD_MS),
    });
    RoomRequest {
        flow: Flow {
            urgency: request.urgency,
            organisation: request.organisation,
        },
        weight,
        digest: request.digest,
        max_return_ms: request.max_return_ms,
        stages: stages.collect(),
    }
}
