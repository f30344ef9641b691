//! Evidence by parts of prompts: which of them crash the targets that answer on them.
//!
//! One entry gathers the evidence of a service. A part fails in a crash if an answer on it had just
//! begun when the target ended ([`BEGINNING_MS`]), and passes with a whole answer, or one that went on
//! for longer ([`SURVIVAL_MS`]). What counts is the series of crashes since the last pass:
//!
//! | verdict | from | promise |
//! |---|---|---|
//! | isolated | [`CRASHES_TO_SUSPECT`] targets, no pass in the last minute | a crash takes few other requests along |
//! | refused, and tried after a second | [`CRASHES_TO_REFUSE`] targets | a burst of equal cause costs one more target |
//! | refused for a minute and longer | the same, in two waves or more: a run of the second was sent after a crash of the first | one target in this time |
//!
//! Crashes with another cause refuse nothing:
//!
//! - Parts of many requests pass all the time. One that has passed in the last minute is refused only
//!   from [`CRASHES_TO_REFUSE_PASSED`] targets in three waves without a pass in between.
//! - Where nothing else passed lately at targets of the same software version ([`MIN_CONTROLS`],
//!   [`CONTROL_MS`]), the targets may be at fault, and nothing is refused.
//! - A part that is in few of the crashes ([`MIN_SHARE`]) isn't their cause.
//!
//! Parts that come only together can't be told apart: they are refused together, and a request with
//! only one of them clears that one by its first pass, at the latest in the trial after a refusal. A
//! trial is one request at a time in the whole fleet.

use std::collections::{HashMap, VecDeque};

use super::requests::MAX_REFUSAL_MS;
use crate::{Millis, RequestDigest};

/// Time from the beginning of an answer in which a crash counts for its parts.
pub const BEGINNING_MS: Millis = 1_000;
/// Time for which an answer has to go on to pass before it is whole.
pub const SURVIVAL_MS: Millis = 3 * BEGINNING_MS;
/// How long a pass speaks for a part.
pub const PASS_MEMORY_MS: Millis = 60_000;
/// Crashed targets from which a part is isolated.
pub const CRASHES_TO_SUSPECT: usize = 2;
/// Crashed targets from which a part that hasn't passed lately is refused.
pub const CRASHES_TO_REFUSE: usize = 4;
/// The same for a part that has.
pub const CRASHES_TO_REFUSE_PASSED: usize = 6;
/// Waves of crashes from which a part is refused for long: one that hasn't passed lately, and one
/// that has.
const WAVES: u32 = 2;
const WAVES_PASSED: u32 = 3;
/// Least number of answers without the part that were completed in [`CONTROL_MS`] before its crashes.
pub const MIN_CONTROLS: u32 = 2;
pub const CONTROL_MS: Millis = 2_000;
/// Least share of the service's crashes, since the first with the part, that have the part.
pub const MIN_SHARE: f64 = 0.25;
/// Refusal after a single wave.
const PROBATION_MS: Millis = 1_000;
/// First refusal after several waves, and by what it is longer each further time.
pub const FIRST_REFUSAL_MS: Millis = 60_000;
const REFUSAL_FACTOR: Millis = 4;
/// Longest time of a trial whose end nobody reports.
const TRIAL_MS: Millis = 10_000;
/// Tolerance when ordering a run after a crash: their times come from different entries.
const ORDER_TOLERANCE_MS: Millis = 100;
/// Time after the last crash in which a series is forgotten, unless it led to a refusal.
const SERIES_MS: Millis = 120_000;
/// The same after a refusal has ended.
const RETENTION_MS: Millis = 60 * 60 * 1_000;
/// Maximum number of parts; those whose last crash is the longest ago go first. Each crash concerns
/// the parts of the few answers that have just begun.
const CAPACITY: usize = 2_000;
/// Maximum number of crashes of the service that are remembered, and of those of a part.
const MAX_CRASHES: usize = 256;
const MAX_PART_CRASHES: usize = 16;

/// Identifies a crash by the target that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CrashKey(pub u64);

/// A run that had begun to answer when its target crashed.
#[derive(Debug, Clone, Copy)]
pub struct CrashedAnswer {
    pub crash: CrashKey,
    /// When the request was sent to the target.
    pub sent: Millis,
    pub crashed_at: Millis,
    /// Answers that were completed in [`CONTROL_MS`] before at targets of the same version.
    pub controls: u32,
}

/// A part of the prompt of such a run.
#[derive(Debug, Clone, Copy)]
pub struct CrashedPart {
    pub part: RequestDigest,
    /// Last pass at the entry that ran it.
    pub last_pass: Option<Millis>,
    /// That entry had recorded the part as a suspect.
    pub was_suspect: bool,
}

/// What a crash says of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartEvidence {
    /// Nothing new.
    None,
    Suspect {
        crashes: usize,
    },
    Refused {
        crashes: usize,
        for_ms: Millis,
    },
}

/// Whether a part that was refused may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialDecision {
    /// One request may run.
    Granted,
    /// The part is refused, or another request runs.
    Refused { for_ms: Millis },
}

/// Evidence on one part.
#[derive(Debug, Clone, Default)]
struct PartRecord {
    /// Targets that crashed in the series, without those that another entry counted.
    crashes: Vec<CrashKey>,
    /// Crashes that another entry counted before it was lost.
    inherited: usize,
    first_crash: Millis,
    last_crash: Millis,
    waves: u32,
    /// Crash that began the last wave.
    wave_began: Millis,
    controls: u32,
    last_pass: Option<Millis>,
    /// Number of long refusals.
    refusals: u32,
    refused_at: Millis,
    refused_until: Millis,
    /// A trial is under way until this time.
    trial_until: Millis,
}

impl PartRecord {
    fn count(&self) -> usize {
        self.inherited + self.crashes.len()
    }

    fn end_series(&mut self) {
        *self = PartRecord {
            last_pass: self.last_pass,
            ..PartRecord::default()
        };
    }

    /// Takes a pass into account. Returns true if it ended a series.
    fn add_pass(&mut self, passed_at: Millis) -> bool {
        self.last_pass = self.last_pass.max(Some(passed_at));
        let ends_series = self.count() > 0 && passed_at >= self.first_crash;
        if ends_series {
            self.end_series();
        }
        ends_series
    }

    fn add_crash(&mut self, answer: &CrashedAnswer) {
        if self.count() == 0 {
            self.first_crash = answer.crashed_at;
        }
        if self.crashes.len() == MAX_PART_CRASHES {
            self.crashes.remove(0);
            self.inherited += 1;
        }
        self.crashes.push(answer.crash);
        self.last_crash = self.last_crash.max(answer.crashed_at);
        self.controls = self.controls.saturating_add(answer.controls);
        if self.waves == 0 || answer.sent >= self.wave_began + ORDER_TOLERANCE_MS {
            self.waves += 1;
            self.wave_began = answer.crashed_at;
        }
    }

    /// How long the part is refused now, if it is to be.
    fn refusal_ms(&self, now: Millis, share: f64) -> Option<Millis> {
        let has_passed = self
            .last_pass
            .is_some_and(|passed_at| now < passed_at + PASS_MEMORY_MS);
        let (crashes, waves) = match has_passed {
            true => (CRASHES_TO_REFUSE_PASSED, WAVES_PASSED),
            false => (CRASHES_TO_REFUSE, WAVES),
        };
        if self.count() < crashes || self.controls < MIN_CONTROLS || share < MIN_SHARE {
            return None;
        }
        match self.waves >= waves {
            true => {
                let factor = REFUSAL_FACTOR.saturating_pow(self.refusals);
                Some(FIRST_REFUSAL_MS.saturating_mul(factor).min(MAX_REFUSAL_MS))
            }
            false => (!has_passed).then_some(PROBATION_MS),
        }
    }
}

/// Evidence on the parts of a service's prompts.
#[derive(Debug, Clone, Default)]
pub struct PartLedger {
    parts: HashMap<RequestDigest, PartRecord>,
    /// Crashes of the service's targets, in order of their reports.
    crashes: VecDeque<(CrashKey, Millis)>,
}

impl PartLedger {
    /// Records a crash in the middle of an answer for one of its parts.
    pub fn record_crash(
        &mut self,
        now: Millis,
        answer: CrashedAnswer,
        part: CrashedPart,
    ) -> PartEvidence {
        self.evict(now);
        self.add_to_service(&answer);
        let record = self.parts.entry(part.part).or_default();
        if let Some(passed_at) = part.last_pass {
            record.add_pass(passed_at);
        }
        if part.was_suspect && record.count() < CRASHES_TO_SUSPECT {
            record.inherited = CRASHES_TO_SUSPECT;
            record.first_crash = answer.crashed_at;
            record.waves = record.waves.max(1);
        }
        // Sent before the refusal was known.
        let is_straggler =
            record.refused_until > 0 && answer.sent < record.refused_at + ORDER_TOLERANCE_MS;
        if record.crashes.contains(&answer.crash) || is_straggler {
            return PartEvidence::None;
        }
        record.add_crash(&answer);
        record.trial_until = 0;
        let (first_crash, crashes) = (record.first_crash, record.count());
        let in_series = |(_, at): &&(CrashKey, Millis)| *at + ORDER_TOLERANCE_MS >= first_crash;
        let all = self.crashes.iter().filter(in_series).count();
        let share = record.crashes.len() as f64 / all.max(1) as f64;
        if let Some(for_ms) = record.refusal_ms(now, share) {
            record.refusals += u32::from(for_ms != PROBATION_MS);
            record.refused_at = now;
            record.refused_until = now + for_ms;
            return PartEvidence::Refused { crashes, for_ms };
        }
        let is_unknown = record.last_pass.is_none_or(|at| at + PASS_MEMORY_MS <= now);
        match crashes >= CRASHES_TO_SUSPECT && is_unknown {
            true => PartEvidence::Suspect { crashes },
            false => PartEvidence::None,
        }
    }

    fn add_to_service(&mut self, answer: &CrashedAnswer) {
        if self.crashes.iter().any(|(crash, _)| *crash == answer.crash) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((answer.crash, answer.crashed_at));
    }

    /// Records a pass of a part. Returns true if that ended its series, so that the part is cleared.
    pub fn record_pass(&mut self, part: RequestDigest, passed_at: Millis) -> bool {
        let record = self.parts.get_mut(&part);
        record.is_some_and(|record| record.add_pass(passed_at))
    }

    /// Decides whether a request may try a part that was refused.
    pub fn begin_trial(&mut self, now: Millis, part: RequestDigest) -> TrialDecision {
        self.evict(now);
        // The entry that counted may be lost, and so unknown here.
        let record = self.parts.entry(part).or_insert_with(|| PartRecord {
            inherited: CRASHES_TO_REFUSE,
            first_crash: now,
            last_crash: now,
            waves: WAVES,
            controls: MIN_CONTROLS,
            refusals: 1,
            ..PartRecord::default()
        });
        if now < record.refused_until {
            let for_ms = record.refused_until - now;
            return TrialDecision::Refused { for_ms };
        }
        if now < record.trial_until {
            let for_ms = PROBATION_MS;
            return TrialDecision::Refused { for_ms };
        }
        record.trial_until = now + TRIAL_MS;
        TrialDecision::Granted
    }

    /// Ends a trial that showed nothing.
    pub fn end_trial(&mut self, part: RequestDigest) {
        if let Some(record) = self.parts.get_mut(&part) {
            record.trial_until = 0;
        }
    }

    /// Ends the refusal of a part that operators lifted: it is tried again.
    pub fn lift_refusal(&mut self, now: Millis, part: RequestDigest) {
        if let Some(record) = self.parts.get_mut(&part) {
            record.refused_until = record.refused_until.min(now);
        }
    }

    /// Number of parts with evidence.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Drops series that are over, and the oldest quarter if the ledger is full.
    fn evict(&mut self, now: Millis) {
        self.crashes.retain(|(_, at)| now < at + SERIES_MS);
        self.parts.retain(|_, record| match record.refused_until {
            0 => now < record.last_crash + SERIES_MS,
            until => now < until + RETENTION_MS,
        });
        if self.parts.len() < CAPACITY {
            return;
        }
        let mut ages: Vec<(Millis, RequestDigest)> = self
            .parts
            .iter()
            .map(|(part, record)| (record.last_crash.max(record.refused_until), *part))
            .collect();
        ages.sort_unstable();
        for (_, oldest) in &ages[..CAPACITY / 4] {
            self.parts.remove(oldest);
        }
    }
}
