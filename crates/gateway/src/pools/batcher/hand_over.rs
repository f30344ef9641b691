//! How a queue passes from one owner to the next, as the entries change.
//!
//! Pieces that aren't begun go back to their requesters, who hand them to the
//! next owner. That one is told what is known of the workers. Calls under way
//! end where they began.

use std::rc::Rc;

use hollowsail_routing::Millis;

use super::results::Kept;
use super::{Batcher, LocalEnd, Reply};
use crate::peers::{self, Link, Message, WorkerAtHandOver};

/// How long results that the owner before had made are taken to stay, in
/// milliseconds: about two calls of the stages after.
const FOREIGN_RESULT_MS: Millis = 800;

impl Batcher {
    /// The queue has another owner now: what isn't begun goes there, and what is
    /// known of the workers. Calls under way end here.
    pub fn hand_over(&self, to: &Rc<Link>) {
        let waiting = self.queue.borrow_mut().take_waiting();
        if waiting.is_empty() && self.queue.borrow().running() == 0 {
            return;
        }
        to.send(Message::TakeOver {
            queue: self.name.clone(),
            workers: self.workers_at_hand_over(),
        });
        for piece in waiting {
            let job = self.queue.borrow_mut().finish(piece);
            match job.map(|job| job.reply) {
                // A requester that left needs no answer.
                Some(Reply::Here(tx)) => drop(tx.send(LocalEnd::Moved)),
                Some(Reply::Peer(requester)) => {
                    self.forget_piece(&requester);
                    let moved = Message::Ended(requester.id, peers::PieceEnd::Moved);
                    requester.link.send(moved);
                }
                None => {}
            }
        }
    }

    fn workers_at_hand_over(&self) -> Vec<WorkerAtHandOver> {
        let now = self.now();
        let queue = self.queue.borrow();
        let workers = self.workers.borrow();
        let states = workers.by_incarnation.iter().filter_map(|(target, key)| {
            Some(WorkerAtHandOver {
                target: target.clone(),
                state: queue.worker_state(*key, now)?,
            })
        });
        states.collect()
    }

    /// The queue passed to this entry: its workers have calls and results that
    /// this entry knows nothing else of.
    pub fn take_over(self: &Rc<Self>, workers: &[WorkerAtHandOver]) {
        let now = self.now();
        for told in workers {
            let known = self.workers.borrow().worker(&told.target);
            let Some(worker) = known else { continue };
            self.queue.borrow_mut().take_over(worker, &told.state, now);
            let name = format!("taken over/{}/{now}", told.target.id);
            let result = Kept {
                worker,
                bytes: told.state.held_bytes,
                since: None,
                until: now + FOREIGN_RESULT_MS,
                at_peer: None,
            };
            self.results.borrow_mut().insert(name, result);
        }
        self.pump_soon();
    }
}
