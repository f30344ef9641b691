//! Engine health per data hall.
//!
//! An engine may fail the entries of one hall and serve all others, as when a path
//! between two halls breaks. Observations are kept per hall and combined: failures seen
//! by one hall eject the engine for that hall, failures seen by several eject it for all.

use std::collections::{BTreeMap, BTreeSet};

use crate::health::{self, HealthRules, Observation, TargetHealth};
use crate::Millis;

/// Answers from which on a hall's own observations replace the combined ones.
const MIN_HALL_SAMPLES: u32 = 4;

/// Health of one engine, combined and per hall.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    all: TargetHealth,
    by_hall: BTreeMap<String, TargetHealth>,
    /// Halls that observed failures since the last answer.
    failing: BTreeSet<String>,
}

impl EngineHealth {
    /// Records an observation of a request from `hall`.
    pub fn observe(&mut self, hall: &str, observation: Observation, typical_ms: Millis) {
        match observation {
            Observation::Answered(_) => self.failing.clear(),
            Observation::Failed | Observation::TimedOut(_) => {
                self.failing.insert(hall.to_string());
            }
        }
        self.all.observe(observation, typical_ms);
        let own = self.by_hall.entry(hall.to_string()).or_default();
        own.observe(observation, typical_ms);
    }

    /// Ratio of recent to typical latency for requests from `hall`.
    pub fn slowness(&self, hall: &str) -> f64 {
        let own = self.by_hall.get(hall);
        own.filter(|own| own.samples() >= MIN_HALL_SAMPLES)
            .unwrap_or(&self.all)
            .slowness()
    }

    /// True while the engine is ejected for requests from `hall`.
    pub fn is_ejected(&self, hall: &str, now: Millis) -> bool {
        let own = self.by_hall.get(hall);
        self.all.is_ejected(now) || own.is_some_and(|own| own.is_ejected(now))
    }

    /// Resets the combined failure count when a single hall observed the failures and
    /// others use the engine, too.
    fn reset_local_failures(&mut self) {
        if self.failing.len() == 1 && self.by_hall.len() > 1 {
            self.all.reset_failures();
        }
    }
}

/// Ejects failing and slow engines after an observation from `hall`: for that hall, then
/// for all. Returns their positions without duplicates.
pub(super) fn eject(
    now: Millis,
    rules: &HealthRules,
    hall: &str,
    engines: &mut [&mut EngineHealth],
) -> Vec<usize> {
    let own = engines.iter_mut();
    let own = own.map(|engine| engine.by_hall.get_mut(hall)).collect();
    let mut ejected = eject_worst(now, rules, own);
    for &index in &ejected {
        engines[index].reset_local_failures();
    }
    let all = engines.iter_mut();
    let all = all.map(|engine| Some(&mut engine.all)).collect();
    ejected.extend(eject_worst(now, rules, all));
    ejected.sort_unstable();
    ejected.dedup();
    ejected
}

/// [`health::eject_worst`] where a missing record counts as one without answers.
fn eject_worst(
    now: Millis,
    rules: &HealthRules,
    records: Vec<Option<&mut TargetHealth>>,
) -> Vec<usize> {
    let existing = records.iter();
    let mut copies: Vec<TargetHealth> = existing
        .map(|record| record.as_deref().cloned().unwrap_or_default())
        .collect();
    let ejected = health::eject_worst(now, rules, &mut copies);
    for (record, copy) in records.into_iter().zip(copies) {
        if let Some(record) = record {
            *record = copy;
        }
    }
    ejected
}
