//! Reservations of capacity for requests that are still in earlier stages.

mod types;

pub use self::types::{
    Flow, FlowRoom, QueueOrder, RefusalCause, ReservationKey, RoomDecision, RoomRefusal,
    RoomRequest, StageRoom,
};
