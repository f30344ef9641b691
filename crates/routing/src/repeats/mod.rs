//! Bounds how often work is sent to a service again, over all hosts together.
//!
//! In any window a service may get `ratio` times its requests and `extra` arrivals beyond the first
//! of each piece of work. Every send takes a [`SendPermit`], and only a [`RepeatBudget`] gives them
//! out: one for the first send of each request or piece, and one for each repeat that is within this
//! host's share. The shares of all processes add up to at most `extra`: a [`Share`] is a number of units, each
//! of which only one process holds at a time. Requests earn so little that what is saved in one window
//! and spent in the next stays within `ratio`.
//!
//! What counts is when work arrives, and a target that stands still reads what it was sent long
//! after it was given up. So the share covers a repeat until the sends of its [`Work`] are settled:
//! answered, or on a connection that the target has closed. Only then may earnings take its place.

mod budget;
mod charges;
mod passed_on;
mod permit;
mod reason;
mod share;
mod work;

pub use budget::{BudgetRules, RepeatBudget};
pub use passed_on::{PassedOn, PassedOnEnd};
pub use permit::{SendPermit, SendPermits};
pub use reason::RepeatReason;
pub use share::{RetiredUnits, Share};
pub use work::{TrackedSend, Work, LOST_MS};
