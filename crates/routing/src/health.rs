//! What one target's recent answers say of it: slowness, failures, ejection.
//!
//! Slowness is relative: an answer's time over what the stage typically takes,
//! so that targets which happen to serve long requests do not look slow. It is
//! averaged in logarithms, where a rare long answer weighs little and a target
//! that is slow all the time shows within a few answers.
//!
//! A target is ejected after several failures in a row or when it is far
//! slower than its service's median, and comes back gradually: after its time
//! is over its record starts anew. How many may be out at once is limited
//! where ejections are decided for a whole service.

use crate::Millis;

/// What happened to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A valid answer after this many milliseconds.
    Answered(Millis),
    /// No valid answer; the target is to blame.
    Failed,
    /// No answer after this many milliseconds, when the caller of the target
    /// had to give up.
    TimedOut(Millis),
}

/// When to eject.
#[derive(Debug, Clone, Copy)]
pub struct HealthRules {
    /// Failures in a row that eject.
    pub failures: u32,
    /// Multiple of the service's median slowness that ejects.
    pub slow_factor: f64,
    /// Answers needed before slowness is judged.
    pub min_samples: u32,
    /// First ejection; doubles with each one that follows closely.
    pub eject_ms: Millis,
    /// Longest ejection.
    pub max_eject_ms: Millis,
}

impl Default for HealthRules {
    fn default() -> Self {
        HealthRules {
            failures: 3,
            slow_factor: 3.0,
            min_samples: 8,
            eject_ms: 2_000,
            max_eject_ms: 30_000,
        }
    }
}

/// Weight of a new answer in the moving average.
const NEW_WEIGHT: f64 = 0.15;

/// One target as one entry sees it.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Moving average of the logarithm of relative times.
    log_slowness: f64,
    samples: u32,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl TargetHealth {
    /// Takes one observation of a stage that typically takes `typical_ms`.
    pub fn observe(&mut self, observation: Observation, typical_ms: Millis) {
        match observation {
            Observation::Answered(ms) => {
                self.failures_in_row = 0;
                self.take(log_ratio(ms, typical_ms));
            }
            // How long it would have taken is not known, only that it is more.
            Observation::TimedOut(ms) => {
                let at_least = log_ratio(ms, typical_ms);
                if at_least > self.log_slowness {
                    self.failures_in_row += 1;
                    self.take(at_least);
                }
            }
            Observation::Failed => self.failures_in_row += 1,
        }
    }

    /// Answers taken since its record began.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Begins the count of failures in a row anew.
    pub fn forget_failures(&mut self) {
        self.failures_in_row = 0;
    }

    fn take(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_slowness += NEW_WEIGHT * (log_ratio - self.log_slowness);
    }

    /// Recent answers over typical ones: 1 is as usual, 5 is five times slower.
    pub fn slowness(&self) -> f64 {
        self.log_slowness.exp()
    }

    /// True while the target is out.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// True when its answers call for an ejection.
    pub fn deserves_ejection(&self, rules: &HealthRules, median_slowness: f64) -> bool {
        let failing = self.failures_in_row >= rules.failures;
        let slow = self.samples >= rules.min_samples
            && self.slowness() > rules.slow_factor * median_slowness;
        failing || slow
    }

    /// Puts the target out, longer each time; its record starts anew after.
    pub fn eject(&mut self, now: Millis, rules: &HealthRules) {
        let doubled = rules.eject_ms << self.ejections.min(8);
        self.ejected_until = now + doubled.min(rules.max_eject_ms);
        self.ejections += 1;
        self.failures_in_row = 0;
        self.samples = 0;
        self.log_slowness = 0.0;
    }

    /// Forgets earlier ejections after a good stretch.
    pub fn forgive(&mut self, now: Millis, rules: &HealthRules) {
        if self.ejections > 0 && now > self.ejected_until + rules.max_eject_ms {
            self.ejections = 0;
        }
    }
}

/// Ejects the targets of one service that deserve it, worst first, while at
/// most half of them are out. Returns the positions newly ejected.
pub fn eject_worst(now: Millis, rules: &HealthRules, targets: &mut [TargetHealth]) -> Vec<usize> {
    let median = median_slowness(targets);
    let most_out = targets.len() / 2;
    let out = targets.iter().filter(|t| t.is_ejected(now)).count();
    let mut deserving: Vec<_> = (0..targets.len())
        .filter(|&at| !targets[at].is_ejected(now))
        .filter(|&at| targets[at].deserves_ejection(rules, median))
        .collect();
    deserving.sort_by(|&a, &b| targets[b].log_slowness.total_cmp(&targets[a].log_slowness));
    deserving.truncate(most_out.saturating_sub(out));
    for &at in &deserving {
        targets[at].eject(now, rules);
    }
    targets.iter_mut().for_each(|t| t.forgive(now, rules));
    deserving
}

fn median_slowness(targets: &[TargetHealth]) -> f64 {
    let mut all: Vec<_> = targets.iter().map(TargetHealth::slowness).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(1.0)
}

/// Times below a millisecond are all alike.
fn log_ratio(ms: Millis, typical_ms: Millis) -> f64 {
    (ms.max(1) as f64 / typical_ms.max(1) as f64).ln()
}
