//! Connections of callers: listening, time limits, and passing requests on.

mod activity;
pub mod admission;
mod connection;
mod in_flight;
pub mod listen;

pub use listen::start;
