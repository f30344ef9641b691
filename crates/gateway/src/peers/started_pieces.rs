//! Notices of the owner of a queue that a piece of a peer is sent to a worker.
//!
//! If the owner is lost, its requester knows by them which pieces no worker has got: only the others
//! are repeats when the next owner has them produced.

use std::rc::Rc;

use super::messages::PieceId;
use super::PeerId;
use crate::batched_calls::Call;
use crate::traffic::Traffic;

/// Path that accepts these notices.
pub const STARTED_PIECES_PATH: &str = "/hollowsail/started-pieces";

pub type StartedPiecesCall = Call<PieceId>;

/// Records the notices of an owner. None has a reply.
pub fn handle_call(cx: &Rc<Traffic>, call: &StartedPiecesCall) {
    if let Some(link) = cx.peers.known_link(PeerId(call.from)) {
        call.requests.iter().for_each(|id| link.record_started(*id));
    }
}
