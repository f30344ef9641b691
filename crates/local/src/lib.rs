//! A fleet on loopback in one process: stand-ins, entries and callers.
//!
//! `hollowsail local`, load tests and failure tests start a [`LocalFleet`] from
//! the files of a deployment, [`localize`]d: target addresses are replaced by
//! those of the stand-ins.

pub mod caller;
pub mod fleet;
pub mod localize;

pub use caller::{Caller, CallerError, Once, Response};
pub use fleet::{LocalError, LocalFleet, LocalOptions, OPERATOR_KEY};
pub use localize::{localize, read_directory};
