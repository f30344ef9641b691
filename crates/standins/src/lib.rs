//! Small fakes of the platform's interfaces, on loopback sockets.
//!
//! They exist for tests, for `hollowsail local` and for the bench. Each fake
//! is honest where a decision depends on it (times grow with load, reports lag,
//! a write may take effect and its answer be lost) and simple elsewhere. Each
//! target writes down every execution in an [`ExecutionLog`], which is what
//! promises are checked against.

pub mod engine;
pub mod faults;
pub mod host_list;
pub mod output;
pub mod profile;
pub mod record;
pub mod store;
mod target_run;
mod target_state;
pub mod targets;

pub use faults::{StoreFaults, TargetFaults};
pub use host_list::HostListStandIn;
pub use profile::Profile;
pub use record::{Execution, ExecutionLog};
pub use store::StoreStandIn;
pub use targets::TargetStandIns;
