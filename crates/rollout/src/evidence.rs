//! Statistical comparison of the answers of two versions.
//!
//! Answers are counted by kind of request and version, so that a fault on one kind isn't
//! averaged away. Counts only grow, and the sum over all entries is the evidence of a
//! roll-out. The old version's answers over the same time are the baseline, so that overload
//! or failures of both versions don't count against the new one.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Arm;

/// Minimum number of bad answers of the new version for a fault.
const MIN_BAD: u32 = 4;
/// Minimum excess of its share of bad answers over the old version's.
const MIN_EXCESS: f64 = 0.12;
/// Minimum share of bad answers for a fault where there is no baseline.
const MIN_BAD_SHARE: f64 = 0.3;
/// Minimum number of answers of the old version for a baseline.
const MIN_OLD: u32 = 4;
/// Maximum probability of the observed bad answers if the new version were as good as the old
/// one. Low, as each roll-out tests every kind of request dozens of times.
const MAX_PROBABILITY: f64 = 2e-5;
/// Standard errors added to the old version's observed share for its upper bound.
const UPPER_BOUND_ERRORS: f64 = 1.0;
/// Minimum difference in latency, in standard errors.
const MIN_LATENCY_ERRORS: f64 = 3.0;
/// Minimum number of timed answers of each version for a comparison of latencies.
const MIN_TIMED: u32 = 8;
/// Ratio of the new version's latency to the old one's that is a fault. Targets with empty
/// caches need up to twice as long.
const SLOW_FACTOR: f64 = 2.5;
/// Maximum share of the bad answers from one of several targets; a larger one is a fault of
/// that target.
const MAX_ONE_TARGET_SHARE: f64 = 0.75;
/// Share of all answers below which a kind of request is rare and not waited for.
const RARE_KIND_SHARE: f64 = 0.02;
/// Maximum number of targets whose answers are counted individually.
const MAX_TARGETS: usize = 64;

/// The outcome of one request at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// A good answer, with its latency in milliseconds.
    Answered(f64),
    /// The target answered with a failure.
    Failed,
    /// The connection broke before the end of the answer.
    Broken,
    /// No answer within this time, in milliseconds.
    TimedOut(f64),
}

/// Counts of one kind of request at one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Tally {
    good: u32,
    failed: u32,
    broken: u32,
    timed: u32,
    /// Sum of the natural logarithms of latencies in milliseconds, and of their squares.
    ln_sum: f64,
    ln_square_sum: f64,
}

impl Tally {
    fn observe(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(ms) => {
                self.good += 1;
                self.add_latency(ms);
            }
            Outcome::TimedOut(ms) => self.add_latency(ms),
            Outcome::Failed => self.failed += 1,
            Outcome::Broken => self.broken += 1,
        }
    }

    fn add_latency(&mut self, ms: f64) {
        let ln = ms.max(1.0).ln();
        self.timed += 1;
        self.ln_sum += ln;
        self.ln_square_sum += ln * ln;
    }

    fn add(&mut self, other: &Tally) {
        self.good += other.good;
        self.failed += other.failed;
        self.broken += other.broken;
        self.timed += other.timed;
        self.ln_sum += other.ln_sum;
        self.ln_square_sum += other.ln_square_sum;
    }

    fn answers(&self) -> u32 {
        self.good + self.failed + self.broken
    }

    /// Mean of the logarithms of latencies, and the variance of that mean.
    fn ln_mean(&self) -> (f64, f64) {
        let n = f64::from(self.timed);
        let mean = self.ln_sum / n;
        let variance = (self.ln_square_sum / n - mean * mean).max(0.0);
        (mean, variance / (n - 1.0).max(1.0))
    }
}

/// Answers of one target of the new version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct TargetCounts {
    answers: u32,
    bad: u32,
}

/// Tallies of both versions for one kind of request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
struct Pair {
    old: Tally,
    new: Tally,
}

/// The counted answers of both versions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    kinds: BTreeMap<String, Pair>,
    /// Targets of the new version by id.
    targets: BTreeMap<String, TargetCounts>,
}

/// Why a version is rolled back.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A higher share of failures.
    Fails { kind: String, new: f64, old: f64 },
    /// A higher share of answers that break off.
    Breaks { kind: String, new: f64, old: f64 },
    /// A latency higher by the factor `times`.
    Slow { kind: String, times: f64 },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Fails { kind, new, old } => {
                write!(f, "fault=fails kind={kind} new={new:.3} old={old:.3}")
            }
            Fault::Breaks { kind, new, old } => {
                write!(f, "fault=breaks kind={kind} new={new:.3} old={old:.3}")
            }
            Fault::Slow { kind, times } => write!(f, "fault=slow kind={kind} times={times:.2}"),
        }
    }
}

impl Evidence {
    /// Counts the outcome of a request by its kind, version and target.
    pub fn observe(&mut self, kind: &str, arm: Arm, target: &str, outcome: Outcome) {
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.to_string(), Pair::default());
        }
        if let Some(pair) = self.kinds.get_mut(kind) {
            match arm {
                Arm::Old => pair.old.observe(outcome),
                Arm::New => pair.new.observe(outcome),
            }
        }
        if arm == Arm::New {
            let is_bad = matches!(outcome, Outcome::Failed | Outcome::Broken);
            self.count_target(target, 1, u32::from(is_bad));
        }
    }

    fn count_target(&mut self, target: &str, answers: u32, bad: u32) {
        if let Some(known) = self.targets.get_mut(target) {
            known.answers += answers;
            known.bad += bad;
        } else if self.targets.len() < MAX_TARGETS {
            let first = TargetCounts { answers, bad };
            self.targets.insert(target.to_string(), first);
        }
    }

    /// Adds the counts of another entry.
    pub fn add(&mut self, other: &Evidence) {
        for (kind, pair) in &other.kinds {
            let known = self.kinds.entry(kind.clone()).or_default();
            known.old.add(&pair.old);
            known.new.add(&pair.new);
        }
        for (target, counts) in &other.targets {
            self.count_target(target, counts.answers, counts.bad);
        }
    }

    /// Number of answers of a version.
    pub fn answers(&self, arm: Arm) -> u32 {
        let count = |pair: &Pair| match arm {
            Arm::Old => pair.old.answers(),
            Arm::New => pair.new.answers(),
        };
        self.kinds.values().map(count).sum()
    }

    /// Smallest number of answers of the new version to any kind of request, rare kinds left
    /// out.
    pub fn answers_to_each_kind(&self) -> u32 {
        let all = f64::from(self.answers(Arm::Old) + self.answers(Arm::New));
        let total = |pair: &Pair| pair.old.answers() + pair.new.answers();
        let kinds = self.kinds.values();
        let common = kinds.filter(|pair| f64::from(total(pair)) >= all * RARE_KIND_SHARE);
        common.map(|pair| pair.new.answers()).min().unwrap_or(0)
    }

    /// Returns a fault if the new version is significantly worse on some kind of request or on
    /// all together.
    pub fn fault(&self) -> Option<Fault> {
        let mut all = Pair::default();
        for pair in self.kinds.values() {
            all.old.add(&pair.old);
            all.new.add(&pair.new);
        }
        let kinds = self.kinds.iter();
        let kinds = kinds.map(|(kind, pair)| (kind.as_str(), pair));
        let mut tested = kinds.clone().chain([("all", &all)]);
        // Latencies of all kinds together depend on the mix of kinds: they aren't compared.
        tested
            .find_map(|(kind, pair)| self.failure_fault(kind, pair))
            .or_else(|| {
                kinds
                    .clone()
                    .find_map(|(kind, pair)| latency_fault(kind, pair))
            })
    }

    fn failure_fault(&self, kind: &str, pair: &Pair) -> Option<Fault> {
        if self.is_single_target_fault() {
            return None;
        }
        let kind = || kind.to_string();
        let fails = significant_excess(pair, |tally| tally.failed);
        let breaks = significant_excess(pair, |tally| tally.broken);
        fails
            .map(|(new, old)| Fault::Fails {
                kind: kind(),
                new,
                old,
            })
            .or(breaks.map(|(new, old)| Fault::Breaks {
                kind: kind(),
                new,
                old,
            }))
    }

    /// True when one of several targets gave most of the bad answers.
    fn is_single_target_fault(&self) -> bool {
        let bad: u32 = self.targets.values().map(|counts| counts.bad).sum();
        let most = self
            .targets
            .values()
            .map(|counts| counts.bad)
            .max()
            .unwrap_or(0);
        let answering = self
            .targets
            .values()
            .filter(|counts| counts.answers > 1)
            .count();
        answering > 1 && f64::from(most) > f64::from(bad) * MAX_ONE_TARGET_SHARE
    }
}

/// Shares of bad answers of the new and the old version, if the new one's is significantly
/// larger.
fn significant_excess(pair: &Pair, bad: impl Fn(&Tally) -> u32) -> Option<(f64, f64)> {
    let (bad_new, n_new) = (bad(&pair.new), pair.new.answers());
    let n_old = pair.old.answers();
    if bad_new < MIN_BAD {
        return None;
    }
    let new = f64::from(bad_new) / f64::from(n_new);
    if n_old < MIN_OLD {
        return (new > MIN_BAD_SHARE).then_some((new, 0.0));
    }
    let old = f64::from(bad(&pair.old)) / f64::from(n_old);
    let old_upper = upper_bound(old, n_old);
    let is_excess =
        new - old > MIN_EXCESS && tail_probability(bad_new, n_new, old_upper) < MAX_PROBABILITY;
    is_excess.then_some((new, old))
}

/// Upper confidence bound of a share that was observed in `answers` answers.
fn upper_bound(share: f64, answers: u32) -> f64 {
    let n = f64::from(answers);
    // Half a pseudocount of either kind, so that a share of 0 has a bound above 0.
    let smoothed = (share * n + 0.5) / (n + 1.0);
    smoothed + UPPER_BOUND_ERRORS * (smoothed * (1.0 - smoothed) / n).sqrt()
}

/// Binomial probability of `bad` or more bad answers among `answers`, each bad with
/// probability `share`.
fn tail_probability(bad: u32, answers: u32, share: f64) -> f64 {
    if share >= 1.0 {
        return 1.0;
    }
    let (ln_bad, ln_good) = (share.ln(), (1.0 - share).ln());
    let mut ln_combinations = 0.0;
    let mut probability = 0.0;
    for count in 0..=answers {
        if count > 0 {
            ln_combinations += f64::from(answers - count + 1).ln() - f64::from(count).ln();
        }
        if count >= bad {
            let ln =
                ln_combinations + f64::from(count) * ln_bad + f64::from(answers - count) * ln_good;
            probability += ln.exp();
        }
    }
    probability
}

fn latency_fault(kind: &str, pair: &Pair) -> Option<Fault> {
    if pair.new.timed < MIN_TIMED || pair.old.timed < MIN_TIMED {
        return None;
    }
    let (new, new_variance) = pair.new.ln_mean();
    let (old, old_variance) = pair.old.ln_mean();
    let difference = new - old;
    let error = (new_variance + old_variance).sqrt();
    let is_slow = difference > SLOW_FACTOR.ln() && difference > MIN_LATENCY_ERRORS * error;
    is_slow.then(|| Fault::Slow {
        kind: kind.to_string(),
        times: difference.exp(),
    })
}
