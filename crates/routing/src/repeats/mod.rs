//! Work that is sent to a service more than once.

mod reason;

pub use reason::RepeatReason;
