//! Outcomes of pieces for local requests and peers, and cancellation by them.
//!
//! Peers also receive reports of the queue's load along with the outcomes.

use std::collections::HashMap;
use std::rc::Rc;

use futures_util::future::join_all;
use hollowsail_platform::pieces::PieceFailure;
use hollowsail_routing::repeats::{SendPermit, Work};
use hollowsail_routing::Millis;
use hollowsail_stages::{PieceKey, RetainedRecord, StartedCall, StartedPiece};
use hollowsail_targets::Target;
use tokio::sync::oneshot;

use super::Batcher;
use crate::peers::{CompletedPiece, Link, Message, PeerId, PieceId, PieceOutcome};
use crate::pools::{Requester, RetainedResult};

/// Shortest interval between two load reports to a peer. Reports go with outcomes, so an idle queue
/// sends none.
const LOAD_INTERVAL_MS: Millis = 60;

/// The recipient of a piece's outcome.
pub(super) enum Reply {
    Local(oneshot::Sender<LocalOutcome>),
    Peer(Requester),
}

/// Outcome of a piece of a local request.
pub(in crate::pools) enum LocalOutcome {
    Completed(RetainedResult),
    Failed(PieceFailure),
    /// Not started; the queue has another owner now. Gives the permit back.
    Moved(Option<SendPermit>),
}

impl Batcher {
    /// Removes a failed piece and reports the failure to its requester.
    pub(in crate::pools) fn failed(&self, piece: PieceKey, failure: PieceFailure) {
        let job = self.queue.borrow_mut().finish(piece);
        match job.map(|job| (job.reply, job.work)) {
            // The requester may have stopped waiting.
            Some((Reply::Local(sender), _)) => drop(sender.send(LocalOutcome::Failed(failure))),
            Some((Reply::Peer(requester), work)) => {
                self.record_dropped((requester.link.peer.id, requester.id), work);
                self.answer_peer(&requester, PieceOutcome::Failed(failure))
            }
            None => {}
        }
    }

    /// Reports a completed piece to its requester. A result that is no longer awaited is
    /// released at once.
    pub(in crate::pools) fn completed(
        self: &Rc<Self>,
        piece: StartedPiece,
        call: &StartedCall,
        target: &Target,
        handle: String,
    ) {
        let bytes = piece.result_bytes;
        let completed = CompletedPiece {
            handle: handle.clone(),
            target: target.incarnation().clone(),
            addr: target.record.addr,
            hall: target.record.hall.clone(),
        };
        let job = self.queue.borrow_mut().finish(piece.key);
        let reply = job.map(|job| job.reply);
        let peer = match &reply {
            Some(Reply::Peer(requester)) => Some((requester.link.peer.id, requester.id)),
            _ => None,
        };
        let now = self.now();
        let result = RetainedRecord {
            worker: call.worker,
            bytes,
            called_at: Some(call.at),
            expires: now + self.retention_ms.get(),
            requester: peer,
        };
        self.retain_result(&handle, result);
        match reply {
            // If the request has stopped waiting, dropping the result releases it.
            Some(Reply::Local(sender)) => drop(sender.send(LocalOutcome::Completed(
                RetainedResult::local(self.clone(), completed, bytes),
            ))),
            Some(Reply::Peer(requester)) => {
                self.answer_peer(&requester, PieceOutcome::Completed(completed))
            }
            None => self.release(&handle),
        }
    }

    /// Tells the requesters of pieces that these are about to be sent to a worker, and waits for a moment
    /// until they know: a requester that isn't told has a piece sent again if this entry ends. Pieces that
    /// nobody waits for any more are dropped: their requesters may have taken this entry for ended.
    pub(in crate::pools) async fn notify_started(
        self: &Rc<Self>,
        pieces: impl Iterator<Item = PieceKey>,
    ) {
        let mut by_requester: HashMap<PeerId, (Rc<Link>, Vec<PieceId>)> = HashMap::new();
        for (link, id) in pieces.filter_map(|key| self.requester_of(key)) {
            let (_, ids) = by_requester
                .entry(link.peer.id)
                .or_insert_with(|| (link, Vec::new()));
            ids.push(id);
        }
        let notices = by_requester
            .values()
            .map(|(link, ids)| link.started_pieces.notify_all(ids.clone()));
        let replies = join_all(notices).await;
        for ((link, ids), replies) in by_requester.values().zip(replies) {
            // A requester that doesn't answer in time may be lost; its pieces are due all the same.
            let replies = replies.unwrap_or_default();
            let dropped = ids.iter().zip(replies);
            let dropped = dropped.filter(|(_, reply)| *reply == Some(false));
            dropped.for_each(|(id, _)| self.cancel_piece(link.peer.id, *id));
        }
    }

    /// The peer that waits for a piece, and its id there.
    fn requester_of(&self, key: PieceKey) -> Option<(Rc<Link>, PieceId)> {
        match &self.queue.borrow().job(key)?.reply {
            Reply::Peer(requester) => Some((requester.link.clone(), requester.id)),
            Reply::Local(_) => None,
        }
    }

    fn answer_peer(&self, requester: &Requester, end: PieceOutcome) {
        self.remove_peer_piece(requester);
        self.send_load(&requester.link);
        requester.link.send(Message::PieceEnded(requester.id, end));
    }

    /// Removes a peer's piece whose outcome is sent now.
    pub(super) fn remove_peer_piece(&self, requester: &Requester) {
        let key = (requester.link.peer.id, requester.id);
        self.peer_pieces.borrow_mut().remove(&key);
    }

    /// Sends a peer the load of this queue, unless it was sent recently.
    fn send_load(&self, link: &Rc<Link>) {
        let Some(cx) = self.cx.upgrade() else {
            return;
        };
        let now = cx.clock.now();
        let mut sent = self.load_sent.borrow_mut();
        let last = sent.entry(link.peer.id).or_insert(0);
        if now < *last + LOAD_INTERVAL_MS {
            return;
        }
        *last = now;
        link.send(Message::Load {
            queue: self.name.clone(),
            load: self.queue.borrow().load(now),
        });
    }

    /// Cancels a peer's piece, or releases its result if the piece is complete.
    pub fn cancel_piece(self: &Rc<Self>, from: PeerId, id: PieceId) {
        let key = self.peer_pieces.borrow_mut().remove(&(from, id));
        if let Some(key) = key {
            self.drop_piece((from, id), key);
            return;
        }
        let handle = self.results.borrow().handle_of(&(from, id));
        if let Some(handle) = handle {
            self.release(&handle);
        }
    }

    /// Stops the work on a peer's piece.
    fn drop_piece(&self, piece: (PeerId, PieceId), key: PieceKey) {
        let job = self.queue.borrow_mut().finish(key);
        if let Some(job) = job {
            self.record_dropped(piece, job.work);
        }
    }

    /// Keeps the sends of a peer's piece that may still arrive, for which the peer asks.
    fn record_dropped(&self, piece: (PeerId, PieceId), work: Work) {
        if let Some(cx) = self.cx.upgrade() {
            let now = cx.clock.now();
            cx.pools.record_dropped(now, piece, self.service(), work);
        }
    }

    /// Cancels the pieces and releases the results of a lost peer.
    pub fn requester_lost(self: &Rc<Self>, peer: PeerId) {
        self.load_sent.borrow_mut().remove(&peer);
        self.peer_pieces.borrow_mut().retain(|piece, key| {
            let is_kept = piece.0 != peer;
            if !is_kept {
                self.drop_piece(*piece, *key);
            }
            is_kept
        });
        let handles = self.results.borrow().handles_where(|(id, _)| *id == peer);
        handles.iter().for_each(|handle| self.release(handle));
    }
}
