//! One entry as the others see it, and which of two views is newer.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Whether a member answers. Order matters: at equal versions the later wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    Alive,
    Suspect,
    Dead,
}

/// How far a planned stop has come; it never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stopping {
    No,
    /// Still serves; is given nothing new.
    Leaving,
    /// Gone; its tickets are answered by the successor, if there is one.
    Left,
}

/// A member record, as spread between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub incarnation: Incarnation,
    pub name: String,
    pub hall: String,
    /// Its peers' listener.
    pub peer: SocketAddr,
    /// Raised by the member itself to refute a suspicion.
    pub version: u32,
    pub health: Health,
    pub stopping: Stopping,
    /// Who answers for its tickets after it left.
    pub successor: Option<Incarnation>,
    /// Configuration revision it has in force.
    pub revision: u64,
    /// Hash of the host list it last read; 0 before any. Known only from the
    /// member itself, since lists have no order.
    pub list_hash: u64,
}

impl Member {
    /// Takes over whatever is newer in `other`; true when something changed.
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

    /// Serves and may be given new work.
    pub fn takes_work(&self) -> bool {
        self.health != Health::Dead && self.stopping == Stopping::No
    }

    /// Still answers peers.
    pub fn is_present(&self) -> bool {
        self.health != Health::Dead && self.stopping != Stopping::Left
    }
}

/// Longest chain of successors that is followed.
const MAX_SUCCESSORS: usize = 64;

/// Who answers for the tickets of `issuer`: itself, or the end of its chain of
/// successors; `None` when it left without one or is not known.
pub fn answering<'a>(
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
