//! Callers' connections: listening, limits, and handing requests on.

mod activity;
mod connection;
pub mod listen;

pub use listen::start;
