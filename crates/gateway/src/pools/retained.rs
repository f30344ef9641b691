//! A result that its producer retains until it is released.
//!
//! Dropping a [`HeldResult`] releases it through the owner of the queue that produced it.

use std::rc::Rc;

use super::batcher::Batcher;
use crate::peers::{Link, Made, Message, SpentResult};

/// The owner of the queue that produced a result.
enum Owner {
    Local(Rc<Batcher>),
    Peer { link: Rc<Link>, queue: String },
}

/// A retained result, released when dropped.
pub struct HeldResult {
    owner: Owner,
    made: Made,
    /// Estimated size.
    pub bytes: u64,
}

impl HeldResult {
    /// Creates a result of a queue that this entry owns.
    pub(super) fn local(batcher: Rc<Batcher>, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Local(batcher),
            made,
            bytes,
        }
    }

    /// Creates a result of a queue that a peer owns.
    pub(super) fn remote(link: Rc<Link>, queue: String, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Peer { link, queue },
            made,
            bytes,
        }
    }

    /// Name of the result at its producer.
    pub fn handle(&self) -> &str {
        &self.made.handle
    }

    /// Id of the target that produced it.
    pub fn maker(&self) -> &str {
        &self.made.target.id
    }

    /// Data hall of its producer.
    pub fn hall(&self) -> &str {
        &self.made.hall
    }
}

impl Drop for HeldResult {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Local(batcher) => batcher.release(&self.made.handle),
            Owner::Peer { link, queue } => link.send(Message::Free(SpentResult {
                queue: queue.clone(),
                target: self.made.target.clone(),
                handle: std::mem::take(&mut self.made.handle),
            })),
        }
    }
}
