//! The phases of a roll-out.
//!
//! A phase sets the share of requests, and the number of targets, of the new version.

use serde::{Deserialize, Serialize};

/// A phase of a roll-out, in the order in which they follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// No requests go to the new version yet.
    Waiting,
    /// A small share of the requests tests the new version.
    Canary,
    /// A larger share tests it under more load.
    Ramp,
    /// All requests go to the new version; the old one finishes its work.
    Full,
    /// The roll-out is complete; final.
    Completed,
    /// The new version was rolled back; final.
    RolledBack,
}

/// Share of the requests for the new version during [`Phase::Ramp`].
const RAMP_SHARE: f64 = 0.25;

impl Phase {
    /// Share of the requests that go to the new version, from 0 to 1.
    pub fn share(self, canary_share: f64) -> f64 {
        match self {
            Phase::Waiting | Phase::RolledBack => 0.0,
            Phase::Canary => canary_share,
            Phase::Ramp => RAMP_SHARE.max(canary_share),
            Phase::Full | Phase::Completed => 1.0,
        }
    }

    /// True when no other phase follows.
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }

    /// Number of the new version's targets that get requests: the same share as of the
    /// requests, so that each is tested under its final load.
    pub fn targets_in_use(self, canary_share: f64, targets: usize) -> usize {
        let share = self.share(canary_share);
        let in_use = (targets as f64 * share).ceil() as usize;
        in_use.min(targets)
    }

    /// The name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Waiting => "waiting",
            Phase::Canary => "canary",
            Phase::Ramp => "ramp",
            Phase::Full => "full",
            Phase::Completed => "completed",
            Phase::RolledBack => "rolled_back",
        }
    }
}
