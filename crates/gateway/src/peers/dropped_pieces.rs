//! Questions to the owner of a queue about pieces that it doesn't send for this entry any more.
//!
//! Until the owner has answered, this entry charges the repeats of these pieces as if what the owner has
//! sent could arrive at any time.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_routing::repeats::TrackedSend;
use hollowsail_routing::Millis;

use super::messages::PieceId;
use super::{Link, PeerId};
use crate::batched_calls::{Call, NoReply};
use crate::traffic::Traffic;

/// Path that accepts these questions. Each reply says whether the requester needn't charge the piece any
/// more.
pub const DROPPED_PIECES_PATH: &str = "/hollowsail/dropped-pieces";

/// Time between two questions about the same piece.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

pub type DroppedPiecesCall = Call<PieceId>;

/// Sends that peers may have made, by the peer.
#[derive(Default)]
pub struct LostSends {
    sends: RefCell<HashMap<PeerId, Vec<(PieceId, TrackedSend)>>>,
    /// Peers that are being asked.
    asked: RefCell<HashSet<PeerId>>,
}

impl LostSends {
    pub fn add(&self, now: Millis, peer: PeerId, id: PieceId, send: TrackedSend) {
        let mut sends = self.sends.borrow_mut();
        sends.retain(|_, sends| {
            sends.retain(|(_, send)| !send.is_settled(now));
            !sends.is_empty()
        });
        sends.entry(peer).or_default().push((id, send));
    }

    fn unsettled(&self, now: Millis, peer: PeerId) -> Vec<(PieceId, TrackedSend)> {
        let mut sends = self.sends.borrow_mut();
        let Some(of_peer) = sends.get_mut(&peer) else {
            return Vec::new();
        };
        of_peer.retain(|(_, send)| !send.is_settled(now));
        of_peer.clone()
    }
}

/// Asks a peer that is in touch about all its pieces, until nothing of them is left to charge.
pub fn ask(cx: &Rc<Traffic>, link: &Rc<Link>) {
    let peer = link.peer.id;
    let lost = &cx.peers.lost_sends;
    let is_needed =
        !link.dropped_pieces.is_unsupported() && !lost.unsettled(cx.clock.now(), peer).is_empty();
    if !is_needed || !lost.asked.borrow_mut().insert(peer) {
        return;
    }
    let (cx, link) = (cx.clone(), link.clone());
    actix_rt::spawn(async move {
        ask_until_settled(&cx, &link).await;
        cx.peers.lost_sends.asked.borrow_mut().remove(&peer);
    });
}

async fn ask_until_settled(cx: &Rc<Traffic>, link: &Rc<Link>) {
    while !link.is_closed() {
        let lost = cx.peers.lost_sends.unsettled(cx.clock.now(), link.peer.id);
        if lost.is_empty() {
            return;
        }
        let ids = lost.iter().map(|(id, _)| link.dropped_pieces.request(*id));
        for (reply, (_, send)) in join_all(ids).await.into_iter().zip(&lost) {
            match reply {
                Ok(true) => send.settle(),
                Ok(false) | Err(NoReply::Silent) => {}
                Err(NoReply::Unsupported) => return,
            }
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Answers a peer's questions.
pub fn handle_call(cx: &Rc<Traffic>, call: &DroppedPiecesCall) -> Vec<bool> {
    let from = PeerId(call.from);
    cx.pools.answer_for(cx, from, &call.requests)
}
