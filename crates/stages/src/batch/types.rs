//! Types of the queue's interface: keys, rules, piece orders and calls.

use slotmap::new_key_type;

use crate::Millis;

new_key_type! {
    pub struct WorkerKey;
    /// A piece, until it is finished or cancelled.
    pub struct PieceKey;
    /// A call in progress.
    pub struct CallKey;
}

/// Configured capacity and cost of each worker of a queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRules {
    /// Maximum number of concurrent calls.
    pub running: usize,
    /// Maximum number of pieces in a call.
    pub batch: usize,
    /// Fixed time of a call, in milliseconds.
    pub call_ms: f64,
    /// Approximate additional time per piece, in milliseconds.
    pub piece_ms: f64,
    /// Memory for results, in bytes.
    pub result_bytes: u64,
}

impl PoolRules {
    /// Expected duration of a call, in milliseconds.
    pub fn expected_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

/// A set of data halls; distinguishes hall numbers below 128.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Halls(u128);

impl Halls {
    pub const ALL: Halls = Halls(u128::MAX);

    /// A set of the given halls. Numbers from 128 on are left out, so that a piece
    /// restricted to such a hall runs nowhere else.
    pub fn only(halls: impl IntoIterator<Item = HallKey>) -> Self {
        Halls(
            halls
                .into_iter()
                .fold(0, |bits, hall| bits | Self::bit(hall)),
        )
    }

    pub fn contains(self, hall: HallKey) -> bool {
        self == Halls::ALL || self.0 & Self::bit(hall) != 0
    }

    fn bit(hall: HallKey) -> u128 {
        1u128.checked_shl(u32::from(hall.0)).unwrap_or(0)
    }
}

/// Urgency, placement and result size of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceOrder {
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time by which the result should be available.
    pub due: Millis,
    /// Time from which the result is no longer needed.
    pub expires: Millis,
    /// Data halls in which it may run.
    pub halls: Halls,
    /// Approximate size of the result, in bytes.
    pub result_bytes: u64,
    /// The group, one stage of one request: its results are usable only together.
    pub group: GroupKey,
    /// True when its inputs occupy worker memory until it is complete. Such a piece doesn't
    /// queue behind others even when it is late.
    pub has_large_inputs: bool,
    /// Preferred hall; workers of other halls take it only after a wait.
    pub hall: Option<HallKey>,
}

/// Identifies a group of pieces whose results are usable only together; numbered by the
/// caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GroupKey(pub u64);

/// Identifies a data hall; numbered by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HallKey(pub u16);

/// A call to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedCall {
    pub call: CallKey,
    pub worker: WorkerKey,
    /// Time of the start.
    pub at: Millis,
    pub pieces: Vec<StartedPiece>,
}

/// A piece of a call, and the bytes reserved for its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedPiece {
    pub key: PieceKey,
    pub result_bytes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker answered, whatever the results of the pieces.
    Answered,
    /// The worker was full and did no work.
    Refused,
    /// No answer was received.
    Failed,
    /// No answer can be received for a reason that isn't the worker's.
    LinkLost,
}
