//! Chooses the target of an attempt.
//!
//! Ejected targets are used only when all candidates are ejected; the caller leaves out
//! draining and already tried ones. The engine that caches the request's prefix is
//! preferred while its load is within a bound of the average. Otherwise the better of two random candidates wins, so that entries with the
//! same view don't converge on one target. Where targets report their speed,
//! [`choose_by_end`] draws the two among those whose answer is expected first.

use hollowsail_config::TargetKey;

/// One target to choose from.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<K = TargetKey> {
    /// The caller's key for the target.
    pub target: K,
    /// Requests it holds, by the entry's own count and the target's reports.
    pub load: f64,
    /// Last reported load of any age; 0 without reports.
    pub reported_load: f64,
    /// Ratio of recent to typical latency; 1 is typical.
    pub slowness: f64,
    pub ejected: bool,
    /// Rendezvous score for the request's prefix; `None` without affinity.
    pub affinity: Option<u64>,
}

/// Why a target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The prefix is expected in its cache.
    Affinity,
    /// The one with the shorter expected wait of two random candidates.
    LessLoaded,
    /// The only usable candidate.
    Only,
    /// All candidates are ejected.
    AllEjected,
    /// Had a connection before the chosen one, where they are few.
    FreeConnection,
    /// Answered last, after an attempt at another target that may stand still.
    LastAnswered,
    /// Placed by the scheduler of its engine group.
    Placed,
    /// Holds the first part of an interrupted stream.
    Resumed,
    /// Chosen by a baseline policy.
    Baseline,
}

impl Reason {
    /// Label in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Affinity => "affinity",
            Reason::LessLoaded => "less_loaded",
            Reason::Only => "only",
            Reason::AllEjected => "all_ejected",
            Reason::FreeConnection => "free_connection",
            Reason::LastAnswered => "last_answered",
            Reason::Placed => "placed",
            Reason::Resumed => "resumed",
            Reason::Baseline => "baseline",
        }
    }
}

/// The chosen target and the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice<K = TargetKey> {
    pub target: K,
    pub reason: Reason,
}

/// Largest ratio of a preferred engine's load to the average.
const AFFINITY_BOUND: f64 = 1.25;
/// Largest ratio of a target's expected end to the earliest one at which they are similar:
/// covers the age of the reports.
const SIMILAR_END_RATIO: f64 = 1.25;

/// Chooses among candidates with the random number `draw`; `None` without candidates.
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

/// Chooses the better of two random candidates among those whose expected end is similar to
/// the earliest; `None` without candidates. The load is the larger of [`Candidate::load`] and
/// [`Candidate::reported_load`].
pub fn choose_by_end<K: Copy + Ord>(candidates: &[Candidate<K>], draw: u64) -> Option<Choice<K>> {
    let all_ejected = candidates.iter().all(|c| c.ejected);
    let usable = candidates.iter().filter(|c| all_ejected || !c.ejected);
    let by_both = usable.map(|c| Candidate {
        load: c.load.max(c.reported_load),
        ..*c
    });
    let usable: Vec<Candidate<K>> = by_both.collect();
    let earliest = usable.iter().map(expected_end).min_by(f64::total_cmp)?;
    let is_similar = |c: &&Candidate<K>| expected_end(c) <= earliest * SIMILAR_END_RATIO;
    let similar: Vec<&Candidate<K>> = usable.iter().filter(is_similar).collect();
    let reason = match usable.len() {
        _ if all_ejected => Reason::AllEjected,
        1 => Reason::Only,
        _ => Reason::LessLoaded,
    };
    better_of_two(&similar, draw).map(|target| Choice { target, reason })
}

/// Expected end of a new request, relative to the usual duration of a request.
fn expected_end<K>(candidate: &Candidate<K>) -> f64 {
    (candidate.load + 1.0) * candidate.slowness
}

/// First candidate in rendezvous order whose load is within the bound.
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
    let better = if expected_end(second) < expected_end(first) {
        second
    } else {
        first
    };
    Some(better.target)
}
