//! Bounds how often work is sent to a service again, over all hosts together.
//!
//! In any window a service may get `ratio` times its requests and `extra` arrivals beyond the first
//! of each piece of work. Every send takes a [`SendPermit`], and only a [`RepeatBudget`] gives them
//! out: one for the first send of each request or piece, and one for each repeat that is within this
//! host's share. The shares of all processes add up to less than what is allowed, without
//! coordination: [`share`] says how much of `extra` a process may use, and requests earn so little
//! that what is saved in one window and spent in the next stays within `ratio`.
//!
//! What counts is when work arrives, and a target that stands still reads what it was sent long
//! after it was given up. So the charge of a repeat doesn't expire before the sends of its
//! [`Work`] are settled: answered, or on a connection that the target has closed.

mod budget;
mod charges;
mod permit;
mod reason;
mod share;
mod work;

pub use budget::{BudgetRules, RepeatBudget};
pub use permit::{SendPermit, SendPermits};
pub use reason::RepeatReason;
pub use share::{Claim, EarlierRuns};
pub use work::{TrackedSend, Work, LOST_MS};
