//! Single-threaded discrete-event simulation of a day of a deployment, to compare policies.
//!
//! It drives the decision crates of the daemons (`hollowsail-stages`, `hollowsail-routing`)
//! without sockets: [`draw`] draws the requests of a [`model`], [`world`] plays them with a
//! [`policy`], [`bound`] computes an upper bound and [`report`] sums up. Faults of hosts, store
//! and network, messages between entries and CPU time are not simulated.

pub mod bound;
pub mod draw;
pub mod engines;
pub mod model;
pub mod policy;
pub mod pool;
pub mod report;
pub mod world;

pub use draw::draw_requests;
pub use model::DayModel;
pub use policy::DayPolicy;
pub use report::DayReport;
