//! How an engine's answers look from each data hall.
//!
//! An engine may fail the entries of one hall and be well for all others, as
//! when a path between two halls breaks. So what each hall saw is kept apart,
//! beside what all saw together: a hall's own failures put the engine out for
//! that hall, failures that several halls saw put it out for all.

use std::collections::{BTreeMap, BTreeSet};

use crate::health::{self, HealthRules, Observation, TargetHealth};
use crate::Millis;

/// Answers that a hall must have had of an engine before its own account tells
/// more of the engine's pace than everybody's.
const OWN_SAMPLES: u32 = 4;

/// One engine's answers, from everywhere.
#[derive(Debug, Default)]
pub(super) struct EngineHealth {
    all: TargetHealth,
    by_hall: BTreeMap<String, TargetHealth>,
    /// Halls that saw the failures since the last answer.
    failing: BTreeSet<String>,
}

impl EngineHealth {
    /// Takes an observation of an asker in `hall`.
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

    /// Recent answers over typical ones, as askers in `hall` see them.
    pub fn slowness(&self, hall: &str) -> f64 {
        let own = self.by_hall.get(hall);
        own.filter(|own| own.samples() >= OWN_SAMPLES)
            .unwrap_or(&self.all)
            .slowness()
    }

    /// True while askers in `hall` are to be sent elsewhere.
    pub fn is_ejected(&self, hall: &str, now: Millis) -> bool {
        let own = self.by_hall.get(hall);
        self.all.is_ejected(now) || own.is_some_and(|own| own.is_ejected(now))
    }

    /// Forgets the failures in a row of all when one hall saw them alone, and
    /// others ask here, too.
    fn judge_failures(&mut self) {
        if self.failing.len() == 1 && self.by_hall.len() > 1 {
            self.all.forget_failures();
        }
    }
}

/// Puts engines out that deserve it after an observation of an asker in `hall`:
/// for that hall, then for all. Returns their positions, each once.
pub(super) fn eject(
    now: Millis,
    rules: &HealthRules,
    hall: &str,
    engines: &mut [&mut EngineHealth],
) -> Vec<usize> {
    let own = engines.iter_mut();
    let own = own.map(|engine| engine.by_hall.get_mut(hall)).collect();
    let mut out = eject_worst(now, rules, own);
    for &at in &out {
        engines[at].judge_failures();
    }
    let all = engines.iter_mut();
    let all = all.map(|engine| Some(&mut engine.all)).collect();
    out.extend(eject_worst(now, rules, all));
    out.sort_unstable();
    out.dedup();
    out
}

/// [`health::eject_worst`] for accounts that may not be there yet: such an
/// engine is judged as one without any answers.
fn eject_worst(
    now: Millis,
    rules: &HealthRules,
    accounts: Vec<Option<&mut TargetHealth>>,
) -> Vec<usize> {
    let known = accounts.iter();
    let mut judged: Vec<TargetHealth> = known
        .map(|account| account.as_deref().cloned().unwrap_or_default())
        .collect();
    let out = health::eject_worst(now, rules, &mut judged);
    for (account, judged) in accounts.into_iter().zip(judged) {
        if let Some(account) = account {
            *account = judged;
        }
    }
    out
}
