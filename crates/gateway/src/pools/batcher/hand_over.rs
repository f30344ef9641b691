//! Handover of a queue to another owner when the set of entries changes.
//!
//! Waiting pieces are returned to their requesters, which send them to the new owner. The new
//! owner receives the state of the workers. Calls in progress are finished by the old owner.

use std::rc::Rc;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_routing::Millis;
use hollowsail_stages::PieceKey;

use super::{Batcher, LocalOutcome, Reply};
use crate::peers::{self, Link, Message, WorkerHandover};

/// Assumed retention of results produced under the previous owner, which this entry can't
/// track; about two calls of later stages.
const INHERITED_RESULT_MS: Millis = 800;

impl Batcher {
    /// Returns the waiting pieces, and hands the state of the workers over to a new owner.
    pub fn hand_over(&self, to: &Rc<Link>) {
        let waiting = self.queue.borrow_mut().take_waiting();
        if waiting.is_empty() && self.queue.borrow().running() == 0 {
            return;
        }
        if self.handed_over_to.replace(Some(to.peer.id)) != Some(to.peer.id) {
            self.hand_over_workers(to, waiting.len());
        }
        self.return_pieces(waiting);
    }

    /// This entry owns the queue, again or still.
    pub fn mark_owned(&self) {
        self.handed_over_to.set(None);
    }

    /// Tells a new owner the state of the workers.
    fn hand_over_workers(&self, to: &Rc<Link>, waiting: usize) {
        if let Some(cx) = self.cx.upgrade() {
            let calls = self.queue.borrow().running();
            let fields = format_args!(
                "queue={} to={} waiting={waiting} calls={calls}",
                Field(&self.name),
                Field(&to.peer.host)
            );
            cx.log.line(events::QUEUE_HANDED_OVER, fields);
        }
        to.send(Message::TakeOver {
            queue: self.name.clone(),
            workers: self.workers_at_hand_over(),
        });
    }

    /// Returns waiting pieces to their requesters.
    fn return_pieces(&self, waiting: Vec<PieceKey>) {
        for piece in waiting {
            let job = self.queue.borrow_mut().finish(piece);
            match job.map(|job| (job.reply, job.permit)) {
                // The requester may have stopped waiting.
                Some((Reply::Local(sender), permit)) => {
                    drop(sender.send(LocalOutcome::Moved(permit)))
                }
                Some((Reply::Peer(requester), _)) => {
                    self.remove_peer_piece(&requester);
                    let moved = Message::PieceEnded(requester.id, peers::PieceOutcome::Moved);
                    requester.link.send(moved);
                }
                None => {}
            }
        }
    }

    fn workers_at_hand_over(&self) -> Vec<WorkerHandover> {
        let now = self.now();
        let queue = self.queue.borrow();
        let workers = self.workers.borrow();
        let states = workers.by_incarnation.iter().filter_map(|(target, key)| {
            Some(WorkerHandover {
                target: target.clone(),
                state: queue.worker_state(*key, now)?,
            })
        });
        states.collect()
    }

    /// Accounts for the calls and results of the previous owner at the workers.
    pub fn take_over(self: &Rc<Self>, workers: &[WorkerHandover]) {
        let now = self.now();
        if let Some(cx) = self.cx.upgrade() {
            let bytes = workers.iter().map(|worker| worker.state.retained_bytes);
            let fields = format_args!(
                "queue={} workers={} retained_bytes={}",
                Field(&self.name),
                workers.len(),
                bytes.sum::<u64>()
            );
            cx.log.line(events::QUEUE_TAKEN_OVER, fields);
        }
        for handed_over in workers {
            let known = self.workers.borrow().worker(&handed_over.target);
            let Some(worker) = known else { continue };
            let mut queue = self.queue.borrow_mut();
            queue.take_over(worker, &handed_over.state, INHERITED_RESULT_MS, now);
        }
        self.pump_soon();
    }
}
