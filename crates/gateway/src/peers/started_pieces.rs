//! Notices of the owner of a queue that a piece of a peer is about to be sent to a worker.
//!
//! The owner sends the piece once its requester has answered. If the owner is lost, the requester knows
//! by them which pieces no worker has got: only the others are repeats when the next owner has them
//! produced.

use std::rc::Rc;

use super::messages::PieceId;
use super::PeerId;
use crate::batched_calls::Call;
use crate::traffic::Traffic;

/// Path that accepts these notices.
pub const STARTED_PIECES_PATH: &str = "/hollowsail/started-pieces";

pub type StartedPiecesCall = Call<PieceId>;

/// Records the notices of an owner. Each reply only says that.
pub fn handle_call(cx: &Rc<Traffic>, call: &StartedPiecesCall) -> Vec<()> {
    if let Some(link) = cx.peers.known_link(PeerId(call.from)) {
        call.requests.iter().for_each(|id| link.record_started(*id));
    }
    vec![(); call.requests.len()]
}
