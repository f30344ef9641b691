//! Member record of one entry, and the merge of two versions of it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Whether a member answers. At equal versions the greater variant wins a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
}

/// Progress of a planned stop; it only increases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stopping {
    No,
    /// Still serves, but takes no new work.
    Leaving,
    /// Stopped; the successor, if any, answers for its tickets.
    Left,
}

/// A member record, as entries exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub incarnation: Incarnation,
    pub name: String,
    pub hall: String,
    /// Address of its listener for peers.
    pub peer: SocketAddr,
    /// Raised by the member itself to refute a suspicion.
    pub version: u32,
    pub health: Health,
    pub stopping: Stopping,
    /// The member that answers for its tickets once it has left.
    pub successor: Option<Incarnation>,
    /// Configuration revision it has in force.
    pub revision: u64,
    /// Hash of the host list that it last read; 0 before the first one. Taken only from the
    /// member itself, because hashes have no order.
    pub list_hash: u64,
}

impl Member {
    /// Takes over the newer fields of `other`; true when something changed.
    pub fn merge(&mut self, other: &Member) -> bool {
        let before = self.clone();
        if (other.version, other.health) > (self.version, self.health) {
            self.version = other.version;
            self.health = other.health;
        }
        self.stopping = self.stopping.max(other.stopping);
        self.successor = self.successor.or(other.successor);
        self.revision = self.revision.max(other.revision);
        *self != before
    }

    /// True when the member serves and accepts new work.
    pub fn takes_work(&self) -> bool {
        self.health != Health::Dead && self.stopping == Stopping::No
    }

    /// True when the member still answers peers.
    pub fn is_present(&self) -> bool {
        self.health != Health::Dead && self.stopping != Stopping::Left
    }
}

/// Longest chain of successors that is followed; ends cycles.
const MAX_SUCCESSORS: usize = 64;

/// The member that answers for the tickets of `issuer`: itself, or the end of its chain of
/// successors; `None` when it is unknown or left without a successor.
pub fn resolve_issuer<'a>(
    issuer: Incarnation,
    find: impl Fn(Incarnation) -> Option<&'a Member>,
) -> Option<&'a Member> {
    let mut member = find(issuer)?;
    for _ in 0..MAX_SUCCESSORS {
        if member.stopping != Stopping::Left {
            return Some(member);
        }
        member = find(member.successor?)?;
    }
    None
}
