//! A day of a deployment, emulated in one thread: stage pools with batches and
//! memory for results, engines that read prompts and keep their parts, callers
//! who leave.
//!
//! It drives the decision crates that the daemons use (`hollowsail-stages`,
//! `hollowsail-routing`) without sockets, so a policy is compared over hundreds
//! of seeds in seconds. [`model`] is what a scenario file says, [`draw`] draws
//! the requests, [`world`] plays them with a [`policy`], [`bound`] says what no
//! policy can exceed, and [`report`] sums up.
//!
//! It knows no faults of hosts, store or network, no messages between entries
//! and no processor time: those belong to days that real processes play.

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
