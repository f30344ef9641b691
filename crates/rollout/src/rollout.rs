//! The state machine of the entry that leads a roll-out.
//!
//! Each step takes the evidence of all entries and either enters the next phase or rolls the
//! version back.

use crate::{Evidence, Fault, Millis, Phase};

/// Fraction of the plan's time before which the canary doesn't end, so that faults with a late
/// onset show in it.
const CANARY_UNTIL: f64 = 0.5;
/// Minimum duration of each phase, as a fraction of the plan's time.
const MIN_CANARY: f64 = 0.2;
const MIN_RAMP: f64 = 0.06;
/// Minimum duration of the ramp with little evidence.
const MIN_RAMP_LITTLE_EVIDENCE: f64 = 0.3;
const MIN_FULL: f64 = 0.08;
/// Minimum duration of any phase, in milliseconds: a few reports of every entry.
const MIN_PHASE_MS: Millis = 1_200;
/// Number of answers of the new version to each kind of request that is sufficient evidence.
const SUFFICIENT_ANSWERS: u32 = 10;
/// How long completion waits for a silent entry after its last report, in milliseconds: it may
/// still have requests at the old version, which completion would cut off.
const SILENT_ENTRY_TIMEOUT_MS: Millis = 4_000;

/// The roll-out that operators ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Time of the order.
    pub began: Millis,
    /// Time from then within which the roll-out should be over, in milliseconds.
    pub within_ms: Millis,
}

/// The state of a roll-out as the leader sees it.
#[derive(Debug, Clone, Copy)]
pub struct Progress<'a> {
    /// Sum of the evidence of all entries.
    pub evidence: &'a Evidence,
    /// At least one target of the new version is usable.
    pub has_new_targets: bool,
    /// No entry that reported recently sends requests to the old version or has any in flight
    /// there.
    pub is_old_idle: bool,
    /// Time of the last report of a silent entry, if there is one.
    pub silent_since: Option<Millis>,
}

/// A decision of the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Enter this phase.
    Enter(Phase),
    /// Roll the version back.
    RollBack(Fault),
}

/// The state of a roll-out at its leader.
#[derive(Debug, Clone)]
pub struct Rollout {
    plan: Plan,
    phase: Phase,
    phase_began: Millis,
}

impl Rollout {
    /// Takes the lead of a roll-out in its current phase.
    pub fn new(plan: Plan, phase: Phase, now: Millis) -> Self {
        Rollout {
            plan,
            phase,
            phase_began: now,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Decides on the next step and takes it. [`Phase::Completed`] is only proposed: it takes
    /// effect once it is stored ([`Rollout::settled`]).
    pub fn step(&mut self, now: Millis, progress: &Progress<'_>) -> Option<Step> {
        if self.phase.is_final() {
            return None;
        }
        if let Some(fault) = progress.evidence.fault() {
            self.enter(Phase::RolledBack, now);
            return Some(Step::RollBack(fault));
        }
        let next = match self.phase {
            Phase::Waiting => progress.has_new_targets.then_some(Phase::Canary),
            Phase::Canary => self.is_canary_over(now).then_some(Phase::Ramp),
            Phase::Ramp => {
                let min_duration = if is_evidence_sufficient(progress) {
                    MIN_RAMP
                } else {
                    MIN_RAMP_LITTLE_EVIDENCE
                };
                self.has_lasted(now, min_duration).then_some(Phase::Full)
            }
            Phase::Full => {
                let is_over = self.has_lasted(now, MIN_FULL) && is_old_version_done(now, progress);
                return is_over.then_some(Step::Enter(Phase::Completed));
            }
            Phase::Completed | Phase::RolledBack => None,
        };
        let next = next?;
        self.enter(next, now);
        Some(Step::Enter(next))
    }

    /// Enters the final phase that is recorded in the store.
    pub fn set_verdict(&mut self, verdict: Phase, now: Millis) {
        self.enter(verdict, now);
    }

    fn enter(&mut self, phase: Phase, now: Millis) {
        self.phase = phase;
        self.phase_began = now;
    }

    fn is_canary_over(&self, now: Millis) -> bool {
        now >= self.plan.began + self.fraction_ms(CANARY_UNTIL) && self.has_lasted(now, MIN_CANARY)
    }

    fn has_lasted(&self, now: Millis, fraction: f64) -> bool {
        now >= self.phase_began + self.fraction_ms(fraction).max(MIN_PHASE_MS)
    }

    fn fraction_ms(&self, fraction: f64) -> Millis {
        (self.plan.within_ms as f64 * fraction) as Millis
    }
}

fn is_evidence_sufficient(progress: &Progress<'_>) -> bool {
    progress.evidence.answers_to_each_kind() >= SUFFICIENT_ANSWERS
}

fn is_old_version_done(now: Millis, progress: &Progress<'_>) -> bool {
    let has_timed_out = |since: Millis| now >= since + SILENT_ENTRY_TIMEOUT_MS;
    progress.is_old_idle && progress.silent_since.is_none_or(has_timed_out)
}
