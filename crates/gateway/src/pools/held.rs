//! A result that lies at its maker until it is given up.

use std::rc::Rc;

use super::batcher::Batcher;
use crate::peers::{Link, Made, Message, SpentResult};

/// Who is told when a result is given up.
enum Owner {
    Here(Rc<Batcher>),
    Peer { link: Rc<Link>, queue: String },
}

/// A result; given up when dropped.
pub struct HeldResult {
    owner: Owner,
    made: Made,
    /// About its size.
    pub bytes: u64,
}

impl HeldResult {
    /// A result of this entry's own queue.
    pub(super) fn here(batcher: Rc<Batcher>, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Here(batcher),
            made,
            bytes,
        }
    }

    /// A result of a peer's queue.
    pub(super) fn at_peer(link: Rc<Link>, queue: String, made: Made, bytes: u64) -> Self {
        HeldResult {
            owner: Owner::Peer { link, queue },
            made,
            bytes,
        }
    }

    /// The name under which its maker keeps it.
    pub fn handle(&self) -> &str {
        &self.made.handle
    }

    /// Its maker.
    pub fn maker(&self) -> &str {
        &self.made.target.id
    }

    /// Data hall of its maker.
    pub fn hall(&self) -> &str {
        &self.made.hall
    }
}

impl Drop for HeldResult {
    fn drop(&mut self) {
        match &self.owner {
            Owner::Here(batcher) => batcher.give_up(&self.made.handle),
            Owner::Peer { link, queue } => link.send(Message::Free(SpentResult {
                queue: queue.clone(),
                target: self.made.target.clone(),
                handle: std::mem::take(&mut self.made.handle),
            })),
        }
    }
}
