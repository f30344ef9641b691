//! How much of the fixed allowance of repeats one process may use in a window.
//!
//! The allowance is divided by the hosts that may exist. Earlier processes of a host may have used its
//! share in this window, so one that follows them begins with a part of what is kept back for that.

use super::BudgetRules;
use crate::Millis;

/// Part of the allowance that all hosts use together.
const HELD_PART: f64 = 0.6;
/// Part that is kept back for processes that follow others within a window. Each of them may use half
/// of what those before it left.
const KEPT_BACK_PART: f64 = 1.0 - HELD_PART;

/// Earlier processes of its host that a process knows of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EarlierRuns {
    /// Those that may have ended within a window of its start.
    pub known: u32,
    /// The store that tells of them was restored from an older copy, which may lack one.
    pub may_miss_one: bool,
}

impl EarlierRuns {
    fn count(self) -> u32 {
        self.known + u32::from(self.may_miss_one)
    }
}

/// What a process knows about its claim to its host's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Time since the start of the process, in milliseconds.
    pub running_ms: Millis,
    pub earlier_runs: EarlierRuns,
    /// Hosts that may send work to the service, including this one.
    pub hosts: usize,
}

impl Claim {
    /// Repeats that the process may charge to the allowance in a window.
    pub fn share(&self, extra: f64, rules: BudgetRules) -> f64 {
        let is_past_window = self.running_ms > rules.window_ms + rules.arrival_ms;
        let earlier_runs = self.earlier_runs.count();
        let part = match earlier_runs {
            1.. if !is_past_window => KEPT_BACK_PART * 0.5f64.powf(f64::from(earlier_runs)),
            _ => HELD_PART,
        };
        extra * part / self.hosts.max(1) as f64
    }
}
