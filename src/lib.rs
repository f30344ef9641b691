//! Operations behind the `hollowsail` command.
//!
//! Each subcommand parses its arguments and calls one operation with a [`Context`].
//! Operations print human-readable output through the context and return an
//! [`Exit`]; none of them ends the process.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod context;
pub mod ops;

pub use context::{Context, Exit};
