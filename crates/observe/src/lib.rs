//! Observability of the daemons: numbered log events, the closed list of error
//! kinds, and the recorder behind the metrics address.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod events;
pub mod faults;
pub mod kinds;
pub mod log_throttle;
pub mod output;
pub mod recorder;

pub use kinds::ErrorKind;
pub use log_throttle::LogThrottle;
