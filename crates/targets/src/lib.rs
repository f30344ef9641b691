//! The state that an entry keeps for each target: connections, requests in flight, health
//! and warm-up.
//!
//! [`TargetTable`] takes the targets that may receive new work and keeps one [`Target`] for
//! each incarnation, so a restarted target begins with fresh state, also under the same id.
//! [`TargetReports`] keeps what incarnations report of themselves, which outlives their
//! records. [`Target::has_crashed`] distinguishes a crashed target from a broken connection.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod limit_report;
mod reports;
mod table;
mod target;

pub use limit_report::{LimitKind, LimitReport};
pub use reports::TargetReports;
pub use table::{TargetTable, UsableTarget};
pub use target::{InFlight, Target};
