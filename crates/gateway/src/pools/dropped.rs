//! Pieces of peers that aren't sent any more, of which sends may still arrive at workers.
//!
//! A peer whose piece failed, or that was out of touch, asks what has become of it. It is told that
//! nothing can arrive, or that this entry charges what can. Otherwise the peer goes on charging it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use hollowsail_routing::repeats::{Work, LOST_MS};
use hollowsail_routing::Millis;

use crate::peers::{PeerId, PieceId};

/// How long a piece is remembered, in milliseconds. Its own message may arrive after the question.
const REMEMBERED_MS: Millis = 2 * LOST_MS;
/// Most pieces without sends that are remembered.
const MAX_UNKNOWN: usize = 20_000;

struct DroppedPiece {
    service: String,
    work: Work,
    dropped_at: Millis,
}

/// Interval between two passes over all pieces, in milliseconds.
const PRUNE_INTERVAL_MS: Millis = 250;

#[derive(Default)]
pub struct DroppedPieces {
    pieces: RefCell<HashMap<(PeerId, PieceId), DroppedPiece>>,
    pruned_at: Cell<Millis>,
}

impl DroppedPieces {
    /// Remembers a piece that isn't sent from now on, with its sends.
    pub fn add(&self, now: Millis, from: PeerId, id: PieceId, service: &str, work: Work) {
        let dropped = DroppedPiece {
            service: service.to_string(),
            work,
            dropped_at: now,
        };
        self.pieces.borrow_mut().insert((from, id), dropped);
    }

    /// True if a peer was told that the piece isn't sent.
    pub fn contains(&self, from: PeerId, id: PieceId) -> bool {
        self.pieces.borrow().contains_key(&(from, id))
    }

    /// The service of a piece, and its sends there. `None` if there are none; such a piece is remembered,
    /// too, while there are not too many.
    pub fn find(&self, now: Millis, from: PeerId, id: PieceId) -> Option<(String, Work)> {
        let pieces = self.pieces.borrow();
        if let Some(piece) = pieces.get(&(from, id)) {
            return Some((piece.service.clone(), piece.work.clone()));
        }
        let has_room = pieces.len() < MAX_UNKNOWN;
        drop(pieces);
        if has_room {
            self.add(now, from, id, "", Work::default());
        }
        None
    }

    /// Forgets what has been remembered for long enough.
    pub fn prune(&self, now: Millis) {
        if now < self.pruned_at.get() + PRUNE_INTERVAL_MS {
            return;
        }
        self.pruned_at.set(now);
        let mut pieces = self.pieces.borrow_mut();
        pieces.retain(|_, piece| now < piece.dropped_at + REMEMBERED_MS);
    }
}
