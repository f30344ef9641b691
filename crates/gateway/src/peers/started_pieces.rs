//! Notices of the owner of a queue that a piece of a peer is about to be sent to a worker.
//!
//! The owner sends the piece once its requester has answered, unless the requester doesn't wait for it any
//! more. If the owner is lost, the requester knows by them which pieces no worker has got: only the others are
//! repeats when the next owner has them produced.

use std::rc::Rc;

use super::messages::PieceId;
use super::PeerId;
use crate::batched_calls::Call;
use crate::traffic::Traffic;

/// Path that accepts these notices.
pub const STARTED_PIECES_PATH: &str = "/hollowsail/started-pieces";

pub type StartedPiecesCall = Call<PieceId>;

/// Reply to a notice: `Some(false)` if the requester doesn't wait for the piece, `None` if it does. Older
/// builds always reply `None`, and take any other reply for none at all.
pub type StartedReply = Option<bool>;

/// Records the notices of an owner.
pub fn handle_call(cx: &Rc<Traffic>, call: &StartedPiecesCall) -> Vec<StartedReply> {
    let link = cx.peers.known_link(PeerId(call.from));
    let is_awaited = |id: &PieceId| link.as_ref().is_some_and(|link| link.record_started(*id));
    let replies = call.requests.iter();
    replies
        .map(|id| (!is_awaited(id)).then_some(false))
        .collect()
}
