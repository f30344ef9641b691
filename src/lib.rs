//! Operations behind the `hollowsail` command.
//!
//! Each subcommand parses its arguments and calls one operation here, with one
//! [`Context`] passed down. Operations write for people through the context
//! and return an [`Exit`]; nothing here ends the process.

pub mod context;
pub mod ops;

pub use context::{Context, Exit};
