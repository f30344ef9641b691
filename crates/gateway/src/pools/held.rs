//! A result that lies at its maker until it is given up.

use std::rc::Rc;

use super::batcher::Batcher;
use crate::peers::{Link, Made, Message};

/// Who is told when a result is given up.
enum Owner {
    Here(Rc<Batcher>),
    Peer { link: Rc<Link>, queue: String },
}

/// A result; given up when dropped.
pub struct HeldResult {
    owner: Owner,
    pub handle: String,
    /// Data hall of its maker.
    pub hall: String,
    /// About its size.
    pub bytes: u64,
}

impl HeldResult {
    /// A result of this entry's own queue.
    pub(super) fn here(batcher: Rc<Batcher>, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Here(batcher),
            handle: made.handle,
            hall: made.hall,
            bytes,
        }
    }

    /// A result of a peer's queue.
    pub(super) fn at_peer(link: Rc<Link>, queue: String, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Peer { link, queue },
            handle: made.handle,
            hall: made.hall,
            bytes,
        }
    }
}

impl Drop for HeldResult {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Here(batcher) => batcher.give_up(&self.handle),
            // With the peer gone, the maker drops the result by itself in time.
            Owner::Peer { link, queue } => link.send(Message::Free {
                queue: queue.clone(),
                handles: vec![std::mem::take(&mut self.handle)],
            }),
        }
    }
}
