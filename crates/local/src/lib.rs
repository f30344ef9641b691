//! A whole fleet on loopback in one process: stand-ins, entries, callers.
//!
//! `hollowsail local`, the failure tests and the bench all start the same
//! [`LocalFleet`]; only faults, load and times differ. Files are read as they
//! are for a real deployment, and then [`localize`]d: target addresses are
//! replaced by those of the stand-ins.

pub mod caller;
pub mod fleet;
pub mod localize;

pub use caller::{Answered, Caller, CallerError, Once};
pub use fleet::{LocalError, LocalFleet, LocalOptions, OPERATOR_KEY};
pub use localize::{localize, read_directory};
