//! A result that its producer retains until it is released.
//!
//! Dropping a [`RetainedResult`] releases it through the owner of the queue that produced it.

use std::rc::Rc;

use super::batcher::Batcher;
use crate::peers::{CompletedPiece, Link, Message, UnneededResult};

/// The owner of the queue that produced a result.
enum Owner {
    Local(Rc<Batcher>),
    Peer { link: Rc<Link>, queue: String },
}

/// A retained result, released when dropped.
pub struct RetainedResult {
    owner: Owner,
    completed: CompletedPiece,
    /// Estimated size.
    pub bytes: u64,
}

impl RetainedResult {
    /// Creates a result of a queue that this entry owns.
    pub(super) fn local(batcher: Rc<Batcher>, completed: CompletedPiece, bytes: u64) -> Self {
        RetainedResult {
            owner: Owner::Local(batcher),
            completed,
            bytes,
        }
    }

    /// Creates a result of a queue that a peer owns.
    pub(super) fn remote(
        link: Rc<Link>,
        queue: String,
        completed: CompletedPiece,
        bytes: u64,
    ) -> Self {
        RetainedResult {
            owner: Owner::Peer { link, queue },
            completed,
            bytes,
        }
    }

    /// Name of the result at its producer.
    pub fn handle(&self) -> &str {
        &self.completed.handle
    }

    /// Id of the target that produced it.
    pub fn producer(&self) -> &str {
        &self.completed.target.id
    }

    /// Data hall of its producer.
    pub fn hall(&self) -> &str {
        &self.completed.hall
    }
}

impl Drop for RetainedResult {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Local(batcher) => batcher.release(&self.completed.handle),
            Owner::Peer { link, queue } => link.send(Message::ReleaseResult(UnneededResult {
                queue: queue.clone(),
                target: self.completed.target.clone(),
                handle: std::mem::take(&mut self.completed.handle),
            })),
        }
    }
}
