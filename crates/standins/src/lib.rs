//! Stand-ins for the platform's interfaces, on loopback sockets.
//!
//! They model what decisions depend on: times grow with load, reports lag, and
//! a write may take effect although its answer is lost. Targets record every
//! execution in an [`ExecutionLog`], which tests compare with the answers.

pub mod engine;
pub mod execution_log;
pub mod faults;
pub mod host_list;
pub mod output;
pub mod profile;
pub mod store;
mod target_call;
mod target_state;
pub mod targets;

pub use execution_log::{Execution, ExecutionLog};
pub use faults::{StoreFaults, TargetFaults};
pub use host_list::HostListStandIn;
pub use profile::Profile;
pub use store::StoreStandIn;
pub use targets::TargetStandIns;
