//! Scheduling of the stages that run before a request: [`graph`] determines which pieces
//! can start, [`batch`] groups pieces into calls and assigns the calls to workers.
//!
//! Both are state machines without I/O: events and times go in, decisions come out. Their
//! owners make the calls to workers.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod batch;
pub mod graph;
pub mod reservations;
pub mod retained;
pub mod shares;

pub use batch::{
    BatchQueue, CallEnd, CallKey, GroupKey, HallKey, Halls, PieceKey, PieceOrder, PoolRules,
    QueueLoad, StartedCall, StartedPiece, WorkerKey, WorkerState,
};
pub use graph::{PieceIndex, StageGraph, StageSpec};
pub use reservations::{
    Flow, FlowRoom, QueueOrder, RefusalCause, ReservationKey, RoomDecision, RoomRefusal,
    RoomRequest, RoomTotals, StageRoom, WorkerTotals,
};
pub use retained::{RetainedRecord, RetainedResults};

/// Milliseconds since the owning process started.
pub type Millis = u64;
