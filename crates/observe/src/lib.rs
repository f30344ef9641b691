//! Observability of the daemons: numbered log events, the closed list of error
//! kinds, the recorder behind the metrics address, and the escaping of text from
//! outside.

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
pub mod text;

pub use kinds::ErrorKind;
pub use log_throttle::LogThrottle;
pub use text::{Field, OneLine, Quoted};
