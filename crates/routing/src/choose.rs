//! Which target gets an attempt.
//!
//! Candidates that are ejected, leaving or already tried go first to the end:
//! they are used only when nothing else is left (tried ones never, leaving
//! ones never). Among the rest, an engine with the request's prefix in its
//! cache is preferred while its load is within a bound of the average;
//! otherwise the better of two drawn at random wins, so that entries which
//! cannot see each other do not all run to the same target.

use hollowsail_config::TargetKey;

/// One target as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<K = TargetKey> {
    /// Key by which the caller knows it.
    pub target: K,
    /// Requests it holds, by own count and by its reports.
    pub load: f64,
    /// What it last reported, however old; 0 when it reports nothing.
    pub reported: f64,
    /// Recent times over typical ones; 1 is as usual.
    pub slowness: f64,
    pub ejected: bool,
    /// Rendezvous score for the request's prefix; `None` without affinity.
    pub affinity: Option<u64>,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its cache should hold the prefix.
    Affinity,
    /// The better of two drawn at random.
    LessLoaded,
    /// The only one that may be used.
    Only,
    /// All are ejected; one of them has to serve.
    AllEjected,
    /// The desk of its group of engines placed it.
    Placed,
    /// It holds the first part of a broken stream.
    Resumed,
    /// A simple policy of the bench chose.
    Baseline,
}

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Affinity => "affinity",
            Reason::LessLoaded => "less_loaded",
            Reason::Only => "only",
            Reason::AllEjected => "all_ejected",
            Reason::Placed => "placed",
            Reason::Resumed => "resumed",
            Reason::Baseline => "baseline",
        }
    }
}

/// A chosen target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice<K = TargetKey> {
    pub target: K,
    pub reason: Reason,
}

/// A preferred engine may be loaded this much above the average.
const AFFINITY_BOUND: f64 = 1.25;

/// Chooses among candidates; `draw` is a random number.
pub fn choose<K: Copy + Ord>(candidates: &[Candidate<K>], draw: u64) -> Option<Choice<K>> {
    let healthy: Vec<&Candidate<K>> = candidates.iter().filter(|c| !c.ejected).collect();
    if healthy.is_empty() {
        let all: Vec<&Candidate<K>> = candidates.iter().collect();
        return better_of_two(&all, draw).map(|target| Choice {
            target,
            reason: Reason::AllEjected,
        });
    }
    if let [only] = healthy[..] {
        return Some(Choice {
            target: only.target,
            reason: Reason::Only,
        });
    }
    preferred(&healthy)
        .map(|target| Choice {
            target,
            reason: Reason::Affinity,
        })
        .or_else(|| {
            better_of_two(&healthy, draw).map(|target| Choice {
                target,
                reason: Reason::LessLoaded,
            })
        })
}

/// The first in rendezvous order whose load is within the bound.
fn preferred<K: Copy + Ord>(candidates: &[&Candidate<K>]) -> Option<K> {
    let total: f64 = candidates.iter().map(|c| c.load).sum();
    let bound = AFFINITY_BOUND * (total + 1.0) / candidates.len() as f64;
    candidates
        .iter()
        .filter(|c| c.load <= bound)
        .filter_map(|c| c.affinity.map(|score| (score, c.target)))
        .max()
        .map(|(_, target)| target)
}

fn better_of_two<K: Copy + Ord>(candidates: &[&Candidate<K>], draw: u64) -> Option<K> {
    let count = candidates.len() as u64;
    if count == 0 {
        return None;
    }
    let first = candidates[(draw % count) as usize];
    let second = candidates[((draw >> 32) % count) as usize];
    let wait = |c: &Candidate<K>| (c.load + 1.0) * c.slowness;
    let better = if wait(second) < wait(first) {
        second
    } else {
        first
    };
    Some(better.target)
}
