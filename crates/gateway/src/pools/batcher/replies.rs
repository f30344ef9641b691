//! How requests and peers hear of their pieces, and how they give them up.

use std::rc::Rc;

use hollowsail_platform::pieces::PieceFailure;
use hollowsail_routing::Millis;
use hollowsail_stages::{PieceKey, StartedCall, StartedPiece};
use hollowsail_targets::Target;
use tokio::sync::oneshot;

use super::results::Kept;
use super::Batcher;
use crate::peers::{Link, Made, Message, PeerId, PieceEnd, PieceId};
use crate::pools::{HeldResult, Requester};

/// Between two words to a requester on what a queue has to do, in milliseconds;
/// they go with results, so an idle queue tells nothing.
const TELL_LOAD_MS: Millis = 60;

/// Who waits for a piece.
pub(super) enum Reply {
    Here(oneshot::Sender<LocalEnd>),
    Peer(Requester),
}

/// How a piece ended for a request of this entry.
pub(in crate::pools) enum LocalEnd {
    Made(HeldResult),
    Failed(PieceFailure),
    /// Not begun; the queue has another owner now.
    Moved,
}

impl Batcher {
    /// A piece wasn't made.
    pub(in crate::pools) fn failed(&self, piece: PieceKey, failure: PieceFailure) {
        let job = self.queue.borrow_mut().finish(piece);
        match job.map(|job| job.reply) {
            // A requester that left needs no answer.
            Some(Reply::Here(tx)) => drop(tx.send(LocalEnd::Failed(failure))),
            Some(Reply::Peer(requester)) => self.answer_peer(&requester, PieceEnd::Failed(failure)),
            None => {}
        }
    }

    /// A worker made a result. One that nobody waits for is given up at once.
    pub(in crate::pools) fn made(
        self: &Rc<Self>,
        piece: StartedPiece,
        call: &StartedCall,
        target: &Target,
        handle: String,
    ) {
        let bytes = piece.result_bytes;
        let made = Made {
            handle: handle.clone(),
            target: target.incarnation().clone(),
            addr: target.record.addr,
            hall: target.record.hall.clone(),
        };
        let job = self.queue.borrow_mut().finish(piece.key);
        let reply = job.map(|job| job.reply);
        let at_peer = match &reply {
            Some(Reply::Peer(requester)) => Some((requester.link.peer.id, requester.id)),
            _ => None,
        };
        let now = self.now();
        let result = Kept {
            worker: call.worker,
            bytes,
            since: Some(call.at),
            until: now + self.kept_ms.get(),
            at_peer,
        };
        self.results.borrow_mut().insert(handle.clone(), result);
        match reply {
            // A request that left drops the result, which gives it up.
            Some(Reply::Here(tx)) => {
                drop(tx.send(LocalEnd::Made(HeldResult::here(self.clone(), made, bytes))))
            }
            Some(Reply::Peer(requester)) => self.answer_peer(&requester, PieceEnd::Made(made)),
            None => self.give_up(&handle),
        }
    }

    fn answer_peer(&self, requester: &Requester, end: PieceEnd) {
        self.forget_piece(requester);
        self.tell_load(&requester.link);
        requester.link.send(Message::Ended(requester.id, end));
    }

    /// A peer waits for a piece no longer, as it is told how it ended.
    pub(super) fn forget_piece(&self, requester: &Requester) {
        let at = (requester.link.peer.id, requester.id);
        self.of_peers.borrow_mut().remove(&at);
    }

    /// Tells a requester what this queue has to do, now and then.
    fn tell_load(&self, link: &Rc<Link>) {
        let Some(cx) = self.cx.upgrade() else {
            return;
        };
        let now = cx.clock.now();
        let mut told = self.load_told.borrow_mut();
        let last = told.entry(link.peer.id).or_insert(0);
        if now < *last + TELL_LOAD_MS {
            return;
        }
        *last = now;
        link.send(Message::Load {
            queue: self.name.clone(),
            load: self.queue.borrow().load(now),
        });
    }

    /// A peer waits for a piece no longer, or left its result.
    pub fn give_up_piece(self: &Rc<Self>, from: PeerId, id: PieceId) {
        if let Some(key) = self.of_peers.borrow_mut().remove(&(from, id)) {
            self.queue.borrow_mut().finish(key);
            return;
        }
        let left = self
            .results
            .borrow()
            .iter()
            .find(|(_, result)| result.at_peer == Some((from, id)))
            .map(|(handle, _)| handle.clone());
        if let Some(handle) = left {
            self.give_up(&handle);
        }
    }

    /// A peer is lost: its pieces and results are given up.
    pub fn requester_lost(self: &Rc<Self>, peer: PeerId) {
        self.load_told.borrow_mut().remove(&peer);
        self.of_peers.borrow_mut().retain(|(of, _), key| {
            let stays = *of != peer;
            if !stays {
                self.queue.borrow_mut().finish(*key);
            }
            stays
        });
        let is_its = |result: &Kept| result.at_peer.is_some_and(|(at, _)| at == peer);
        let left: Vec<String> = self
            .results
            .borrow()
            .iter()
            .filter(|(_, result)| is_its(result))
            .map(|(handle, _)| handle.clone())
            .collect();
        left.iter().for_each(|handle| self.give_up(handle));
    }
}
