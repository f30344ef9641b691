//! What one target's recent answers say of it: latency, failures, ejection.
//!
//! A target is ejected after several failures in a row or when it is far
//! slower than its service's median, and comes back gradually: after its time
//! is over it counts as loaded until answers show otherwise. How many may be
//! out at once is limited where ejections are decided for a whole service.

use crate::Millis;

/// What happened to one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// A valid answer after this many milliseconds.
    Answered(Millis),
    /// No valid answer; the target is to blame.
    Failed,
    /// Timed out after this many milliseconds, for want of time or because
    /// the target hangs.
    TimedOut(Millis),
}

/// When to eject.
#[derive(Debug, Clone, Copy)]
pub struct HealthRules {
    /// Failures in a row that eject.
    pub failures: u32,
    /// Multiple of the service's median latency that ejects.
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

/// Weight of a new latency in the moving average.
const NEW_WEIGHT: f64 = 0.15;

/// One target as one entry sees it.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    /// Moving average of latency in milliseconds; 0 before any answer.
    pub average_ms: f64,
    samples: u32,
    failures_in_row: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl TargetHealth {
    /// Takes one observation.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Answered(latency) => {
                self.failures_in_row = 0;
                self.take_latency(latency);
            }
            Observation::TimedOut(waited) => {
                self.failures_in_row += 1;
                self.take_latency(waited);
            }
            Observation::Failed => self.failures_in_row += 1,
        }
    }

    fn take_latency(&mut self, latency: Millis) {
        let latency = latency as f64;
        self.samples = self.samples.saturating_add(1);
        self.average_ms = if self.samples == 1 {
            latency
        } else {
            self.average_ms + NEW_WEIGHT * (latency - self.average_ms)
        };
    }

    /// True while the target is out.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// True when its answers call for an ejection.
    pub fn deserves_ejection(&self, rules: &HealthRules, median_ms: f64) -> bool {
        let failing = self.failures_in_row >= rules.failures;
        let slow = self.samples >= rules.min_samples
            && median_ms > 0.0
            && self.average_ms > rules.slow_factor * median_ms;
        failing || slow
    }

    /// Puts the target out, longer each time; its record starts anew after.
    pub fn eject(&mut self, now: Millis, rules: &HealthRules) {
        let doubled = rules.eject_ms << self.ejections.min(8);
        self.ejected_until = now + doubled.min(rules.max_eject_ms);
        self.ejections += 1;
        self.failures_in_row = 0;
        self.samples = 0;
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
    let median_ms = median_latency(targets);
    let most_out = targets.len() / 2;
    let out = targets.iter().filter(|t| t.is_ejected(now)).count();
    let mut deserving: Vec<_> = (0..targets.len())
        .filter(|&at| !targets[at].is_ejected(now))
        .filter(|&at| targets[at].deserves_ejection(rules, median_ms))
        .collect();
    deserving.sort_by(|&a, &b| targets[b].average_ms.total_cmp(&targets[a].average_ms));
    deserving.truncate(most_out.saturating_sub(out));
    for &at in &deserving {
        targets[at].eject(now, rules);
    }
    targets.iter_mut().for_each(|t| t.forgive(now, rules));
    deserving
}

fn median_latency(targets: &[TargetHealth]) -> f64 {
    let mut averages: Vec<_> = targets
        .iter()
        .map(|target| target.average_ms)
        .filter(|average| *average > 0.0)
        .collect();
    averages.sort_by(f64::total_cmp);
    averages.get(averages.len() / 2).copied().unwrap_or(0.0)
}
