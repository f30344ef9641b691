//! Health of a target from its recent answers: slowness, failures, ejection.
//!
//! Slowness is the ratio of an answer's latency to what its stage typically takes,
//! averaged in logarithms so that a rare long answer weighs little. A target is ejected
//! after several failures in a row, or when it is far slower than its service's median,
//! for a time that doubles with each ejection; its record is then reset.

use crate::Millis;

/// Outcome of one attempt, as far as it concerns the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A valid answer after this many milliseconds.
    Answered(Millis),
    /// No valid answer, through a fault of the target.
    Failed,
    /// No answer within this many milliseconds; the attempt was abandoned.
    TimedOut(Millis),
}

/// Thresholds and durations of ejection.
#[derive(Debug, Clone, Copy)]
pub struct HealthRules {
    /// Consecutive failures that eject.
    pub failures: u32,
    /// Multiple of the service's median slowness that ejects.
    pub slow_factor: f64,
    /// Fewest answers for a slowness ejection.
    pub min_samples: u32,
    /// Duration of the first ejection; doubles with each one that follows closely.
    pub eject_ms: Millis,
    /// Longest duration of an ejection.
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
const SAMPLE_WEIGHT: f64 = 0.15;

/// Health of one target as observed by one entry.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Moving average of the logarithm of the latency ratio.
    log_slowness: f64,
    samples: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl TargetHealth {
    /// Records an observation of a stage that typically takes `typical_ms`.
    pub fn observe(&mut self, observation: Observation, typical_ms: Millis) {
        match observation {
            Observation::Answered(ms) => {
                self.consecutive_failures = 0;
                self.add_sample(log_ratio(ms, typical_ms));
            }
            // The true latency is unknown, but at least this long.
            Observation::TimedOut(ms) => {
                let at_least = log_ratio(ms, typical_ms);
                if at_least > self.log_slowness {
                    self.consecutive_failures += 1;
                    self.add_sample(at_least);
                }
            }
            Observation::Failed => self.consecutive_failures += 1,
        }
    }

    /// Number of samples since the last ejection.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    pub fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    fn add_sample(&mut self, log_ratio: f64) {
        self.samples = self.samples.saturating_add(1);
        self.log_slowness += SAMPLE_WEIGHT * (log_ratio - self.log_slowness);
    }

    /// Ratio of recent to typical latency: 1 is typical, 5 is five times slower.
    pub fn slowness(&self) -> f64 {
        self.log_slowness.exp()
    }

    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    pub fn should_eject(&self, rules: &HealthRules, median_slowness: f64) -> bool {
        let failing = self.consecutive_failures >= rules.failures;
        let slow = self.samples >= rules.min_samples
            && self.slowness() > rules.slow_factor * median_slowness;
        failing || slow
    }

    /// Ejects the target, for longer each time, and resets its record.
    pub fn eject(&mut self, now: Millis, rules: &HealthRules) {
        let doubled = rules.eject_ms << self.ejections.min(8);
        self.ejected_until = now + doubled.min(rules.max_eject_ms);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.samples = 0;
        self.log_slowness = 0.0;
    }

    /// Resets the ejection count after `max_eject_ms` without an ejection.
    pub fn reset_ejections(&mut self, now: Millis, rules: &HealthRules) {
        if self.ejections > 0 && now > self.ejected_until + rules.max_eject_ms {
            self.ejections = 0;
        }
    }
}

/// Ejects failing and slow targets of one service, slowest first, while at most half are
/// ejected. Returns the positions of those newly ejected.
pub fn eject_worst(now: Millis, rules: &HealthRules, targets: &mut [TargetHealth]) -> Vec<usize> {
    let median = median_slowness(targets);
    let max_ejected = targets.len() / 2;
    let ejected = targets.iter().filter(|t| t.is_ejected(now)).count();
    let mut worst: Vec<_> = (0..targets.len())
        .filter(|&index| !targets[index].is_ejected(now))
        .filter(|&index| targets[index].should_eject(rules, median))
        .collect();
    worst.sort_by(|&a, &b| targets[b].log_slowness.total_cmp(&targets[a].log_slowness));
    worst.truncate(max_ejected.saturating_sub(ejected));
    for &index in &worst {
        targets[index].eject(now, rules);
    }
    targets
        .iter_mut()
        .for_each(|t| t.reset_ejections(now, rules));
    worst
}

fn median_slowness(targets: &[TargetHealth]) -> f64 {
    let mut all: Vec<_> = targets.iter().map(TargetHealth::slowness).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(1.0)
}

/// Latencies below 1 ms count as 1 ms.
fn log_ratio(ms: Millis, typical_ms: Millis) -> f64 {
    (ms.max(1) as f64 / typical_ms.max(1) as f64).ln()
}
