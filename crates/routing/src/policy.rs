//! Switches for the routing mechanisms.
//!
//! In service all are on. For comparisons, each can be switched off, and the choice of
//! targets can follow one of three baseline policies.

use crate::choose::{choose, Candidate, Choice, Reason};

/// Policy that chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// By load, slowness and affinity; see [`choose`].
    Adaptive,
    Random,
    RoundRobin,
    /// The lowest reported load of any age.
    LeastReportedLoad,
}

/// Mechanisms that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Switches {
    pub choosing: ChoicePolicy,
    /// Reject requests that can't meet their deadline.
    pub early_refusal: bool,
    /// Prefer the engine that is expected to cache a session's prefix.
    pub affinity: bool,
    /// Eject failing and slow targets.
    pub ejection: bool,
    /// Time out hung attempts and retry on another target.
    pub attempt_limits: bool,
    /// Bound retries and hedges by a budget.
    pub retry_budget: bool,
    /// Share contended capacity among organisations by weight.
    pub fair_shares: bool,
    /// Bound the concurrent requests at each target.
    pub target_limits: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            choosing: ChoicePolicy::Adaptive,
            early_refusal: true,
            affinity: true,
            ejection: true,
            attempt_limits: true,
            retry_budget: true,
            fair_shares: true,
            target_limits: true,
        }
    }
}

impl Switches {
    /// A baseline that only chooses targets and retries failures.
    pub fn baseline(choosing: ChoicePolicy) -> Self {
        Switches {
            choosing,
            early_refusal: false,
            affinity: false,
            ejection: false,
            attempt_limits: false,
            retry_budget: false,
            fair_shares: false,
            target_limits: false,
        }
    }

    /// Chooses by the configured policy. `draw` is a random number, `turn` the number of
    /// earlier choices.
    pub fn choose(&self, candidates: &[Candidate], draw: u64, turn: usize) -> Option<Choice> {
        let count = candidates.len();
        let chosen = match self.choosing {
            ChoicePolicy::Adaptive => return choose(candidates, draw),
            _ if count == 0 => return None,
            ChoicePolicy::Random => (draw % count as u64) as usize,
            ChoicePolicy::RoundRobin => turn % count,
            ChoicePolicy::LeastReportedLoad => least_reported(candidates, draw),
        };
        Some(Choice {
            target: candidates[chosen].target,
            reason: Reason::Baseline,
        })
    }
}

/// Position of the lowest reported load; ties are broken by `draw`.
fn least_reported(candidates: &[Candidate], draw: u64) -> usize {
    let lowest = candidates
        .iter()
        .map(|candidate| candidate.reported_load)
        .fold(f64::INFINITY, f64::min);
    let equal: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].reported_load <= lowest)
        .collect();
    equal[(draw % equal.len() as u64) as usize]
}
