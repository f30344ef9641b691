//! Roll-out of a new version of a service.
//!
//! Every entry counts the answers of both versions ([`Evidence`]) and reports them to the
//! entry that leads the roll-out. Its [`Rollout`] decides on the next [`Phase`], which sets
//! the share of requests for the new version ([`Arm::draw`]). A worse version is rolled back;
//! a good one is completed once nothing runs at the old version. No I/O, clock or randomness:
//! all are arguments.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod arm;
mod evidence;
mod phase;
mod rollout;

/// Milliseconds on the caller's clock.
pub type Millis = u64;

pub use arm::Arm;
pub use evidence::{Evidence, Fault, Outcome};
pub use phase::Phase;
pub use rollout::{Plan, Progress, Rollout, Step};
