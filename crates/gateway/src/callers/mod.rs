//! Callers' connections: listening, limits, and handing requests on.

mod activity;
mod connection;
pub mod listen;
mod under_way;

pub use listen::start;
