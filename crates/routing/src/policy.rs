//! Which mechanisms are at work.
//!
//! In service all are on. The bench switches them off one at a time to measure
//! what each is worth, and puts the three simple policies in their place that
//! this project compares itself with.

use crate::choose::{choose, Candidate, Choice, Reason};

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choosing {
    /// This project's own way, in [`choose`].
    Weighed,
    Random,
    RoundRobin,
    /// The lowest reported load, whatever its age.
    LeastReportedLoad,
}

/// Mechanisms that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Switches {
    pub choosing: Choosing,
    /// Refuse work that cannot finish in time.
    pub early_refusal: bool,
    /// Prefer the engine that should hold a session's prefix.
    pub affinity: bool,
    /// Put failing and slow targets out for a while.
    pub ejection: bool,
    /// Take an attempt that lasts far too long for hung, and try elsewhere.
    pub attempt_limits: bool,
    /// Bound extra attempts by a budget.
    pub retry_budget: bool,
    /// Share contended capacity among organisations by weight.
    pub fair_shares: bool,
    /// Bound the requests at each target by what it serves well.
    pub target_limits: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            choosing: Choosing::Weighed,
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
    /// A simple policy: it chooses, retries failures, and does nothing else.
    pub fn baseline(choosing: Choosing) -> Self {
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

    /// Chooses in the way that is switched on. `draw` is a random number,
    /// `turn` counts choices.
    pub fn choose(&self, candidates: &[Candidate], draw: u64, turn: usize) -> Option<Choice> {
        let count = candidates.len();
        let chosen = match self.choosing {
            Choosing::Weighed => return choose(candidates, draw),
            _ if count == 0 => return None,
            Choosing::Random => (draw % count as u64) as usize,
            Choosing::RoundRobin => turn % count,
            Choosing::LeastReportedLoad => least_reported(candidates, draw),
        };
        Some(Choice {
            target: candidates[chosen].target,
            reason: Reason::Baseline,
        })
    }
}

/// Position of the lowest reported load; a random one of those that are equal.
fn least_reported(candidates: &[Candidate], draw: u64) -> usize {
    let lowest = candidates
        .iter()
        .map(|candidate| candidate.reported)
        .fold(f64::INFINITY, f64::min);
    let equal: Vec<usize> = (0..candidates.len())
        .filter(|&at| candidates[at].reported <= lowest)
        .collect();
    equal[(draw % equal.len() as u64) as usize]
}
