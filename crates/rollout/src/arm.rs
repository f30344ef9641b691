//! The two versions of a service during a roll-out.
//!
//! Each request is assigned to the old or the new version by the phase's share.

use serde::{Deserialize, Serialize};

use crate::Phase;

/// The version that a target runs, or that a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Arm {
    /// Any version other than the new one.
    Old,
    /// The version that is rolled out.
    New,
}

impl Arm {
    /// Assigns a version to a request by a random number from 0 to 1. Retries go to the old
    /// version while it still gets requests, as their callers have already waited.
    pub fn draw(phase: Phase, canary_share: f64, is_first_send: bool, random: f64) -> Self {
        let share = phase.share(canary_share);
        let is_new = share >= 1.0 || (is_first_send && random < share);
        match is_new {
            true => Arm::New,
            false => Arm::Old,
        }
    }
}
