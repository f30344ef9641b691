//! Reservations of capacity for requests that are still in earlier stages.
//!
//! [`table`] holds the reservations, [`flows`] what each flow offers and has used, and
//! [`demand`] tests whether a set of needs can be met. The queue that owns them
//! ([`crate::BatchQueue`]) adds its waiting pieces and its capacity, and decides.

pub(crate) mod demand;
pub(crate) mod flows;
pub(crate) mod table;
mod types;

pub use self::types::{
    Flow, FlowRoom, QueueOrder, RefusalCause, ReservationKey, RoomDecision, RoomRefusal,
    RoomRequest, RoomTotals, StageRoom, WorkerTotals,
};
