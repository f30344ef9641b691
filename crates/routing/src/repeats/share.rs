//! How much of the fixed allowance of repeats one process may use in a window.
//!
//! The allowance is divided by the hosts that may exist. A process that has just started doesn't know
//! what an earlier one of its host used in this window, so it begins with a small share.

use super::BudgetRules;
use crate::Millis;

/// Share of the allowance that all hosts use together.
pub const HELD_SHARE: f64 = 0.6;
/// The same for processes that may not use the whole share of their host. With
/// [`HELD_SHARE`], four starts of every host in a window stay within the allowance.
pub const STARTING_SHARE: f64 = 0.1;

/// What a process knows about its claim to its host's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holding {
    /// Time since the start of the process, in milliseconds.
    pub running_ms: Millis,
    /// Hosts that may send work to the service, including this one; `None` before any list of them.
    pub hosts: Option<usize>,
    /// Peers count this host as long as they have its record; false once they may have forgotten it.
    pub is_counted: bool,
}

impl Holding {
    /// Repeats that the process may charge to the allowance in a window.
    pub fn share(&self, extra: f64, rules: BudgetRules) -> f64 {
        let Some(hosts) = self.hosts else {
            return 0.0;
        };
        let is_past_window = self.running_ms > rules.window_ms + rules.arrival_ms;
        let share = match self.is_counted && is_past_window {
            true => HELD_SHARE,
            false => STARTING_SHARE,
        };
        extra * share / hosts.max(1) as f64
    }
}
