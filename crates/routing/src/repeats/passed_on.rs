//! Work that another process sends, with a permit of this one.
//!
//! This process charges a repeat until the sends of the work have settled. Those of the other process it
//! doesn't see: they count as one send that may still arrive until the other one has answered for them,
//! or charges them itself ([`RepeatBudget::cover`](super::RepeatBudget::cover)).

use super::{SendPermit, TrackedSend};
use crate::Millis;

/// What is known of work when another process doesn't send it for this one any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedOnEnd {
    /// It was done.
    Done,
    /// It wasn't sent.
    Unsent,
    /// It failed, or the process ended or is out of touch: some of its sends may arrive later.
    Unsettled,
}

/// A send that another process makes.
#[derive(Debug)]
pub struct PassedOn(TrackedSend);

impl PassedOn {
    /// Passes work on with the permit for its next send.
    pub fn begin(now: Millis, permit: SendPermit) -> Self {
        permit.send().begin(now, true);
        PassedOn(permit.send().clone())
    }

    /// Ends the wait for the other process. Returns the send if it may still arrive.
    pub fn end(&self, now: Millis, end: PassedOnEnd) -> Option<TrackedSend> {
        match end {
            PassedOnEnd::Done | PassedOnEnd::Unsent => {
                self.0.settle();
                None
            }
            PassedOnEnd::Unsettled => {
                self.0.lose(now);
                Some(self.0.clone())
            }
        }
    }
}
