//! The owner's side: decides on the requests of all entries with the queue's state.

use std::rc::Rc;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_stages::shares::MIN_WEIGHT;

use super::messages::{ReservationCall, ReservationMessage, ReservationReply, Reserve};
use crate::peers::PeerId;
use crate::traffic::Traffic;

/// Handles the messages of a call in their order; returns one reply for each [`Reserve`].
pub fn handle_call(cx: &Rc<Traffic>, call: &ReservationCall) -> Vec<ReservationReply> {
    let from = PeerId(call.from);
    let handle = |message: &ReservationMessage| match message {
        ReservationMessage::Reserve(request) => Some(reserve(cx, from, request)),
        ReservationMessage::Cancel { queue, request_id } => {
            cancel(cx, from, queue, request_id);
            None
        }
    };
    call.requests.iter().filter_map(handle).collect()
}

/// Decides on a request of an entry, which may be this one.
pub fn reserve(cx: &Rc<Traffic>, from: PeerId, request: &Reserve) -> ReservationReply {
    let weight = usable_weight(cx, request);
    cx.pools.reserve(cx, from, request, weight)
}

/// Cancels what is left of a reservation.
pub fn cancel(cx: &Rc<Traffic>, from: PeerId, queue: &str, request_id: &str) {
    cx.pools.cancel_reservation(queue, from, request_id);
}

/// The weight of a request, at least [`MIN_WEIGHT`].
fn usable_weight(cx: &Traffic, request: &Reserve) -> f64 {
    if request.weight.is_finite() && request.weight > 0.0 {
        return request.weight.max(MIN_WEIGHT);
    }
    if cx.reservations.is_weight_log_due(cx, request.organisation) {
        cx.log.line(
            events::ROOM_WEIGHT,
            format_args!(
                "queue={} organisation={:016x} weight={} used={MIN_WEIGHT}",
                Field(&request.queue),
                request.organisation,
                request.weight
            ),
        );
    }
    MIN_WEIGHT
}
