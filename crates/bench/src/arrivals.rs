//! Open-loop arrivals, planned before a run: slow answers don't delay later requests.
//!
//! Times between arrivals are exponentially distributed at a rate that faults may multiply.
//! The plan depends on the seed alone, so every policy gets the same arrivals.

use std::time::Duration;

use hollowsail_config::{Deployment, PipelineKey};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::scenario::{FaultKind, FaultPlan, Scenario};

/// Number of sessions per organisation; prompts of a session share a prefix.
const SESSIONS: u32 = 40;
/// Exponent of the session draw; above 1, sessions with small numbers are more frequent.
const SESSION_SKEW: f64 = 2.0;

/// A planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Offset from the start of the run.
    pub at: Duration,
    pub id: String,
    pub org: String,
    pub pipeline: PipelineKey,
    pub session: String,
    /// Also sent to a second entry at the same time.
    pub duplicate: bool,
}

/// Plans all arrivals of a run, in order of time; `rate` is in requests per second.
pub fn plan(
    scenario: &Scenario,
    deployment: &Deployment,
    rate: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let callers = pairs(scenario, deployment);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let weights: Vec<f64> = callers
            .iter()
            .map(|pair| pair.weight * factor(&scenario.faults, &pair.org, at))
            .collect();
        let total: f64 = weights.iter().sum();
        let base: f64 = callers.iter().map(|pair| pair.weight).sum();
        if total <= 0.0 || base <= 0.0 {
            return arrivals;
        }
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += -uniform.ln() / (rate * total / base);
        if at >= seconds {
            return arrivals;
        }
        let pair = &callers[draw_weighted(&weights, total, &mut rng)];
        let session = (rng.random::<f64>().powf(SESSION_SKEW) * f64::from(SESSIONS)) as u32;
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            id: format!("{seed}-{}", arrivals.len()),
            org: pair.org.clone(),
            pipeline: pair.pipeline,
            session: format!("s{session}"),
            duplicate: rng.random_bool(scenario.duplicates),
        });
    }
}

struct Pair {
    org: String,
    pipeline: PipelineKey,
    weight: f64,
}

/// Lists each organisation with each pipeline that it may call.
fn pairs(scenario: &Scenario, deployment: &Deployment) -> Vec<Pair> {
    let mut pairs = Vec::new();
    for org in &deployment.organisations {
        let key = deployment
            .find_organisation(&org.name)
            .expect("the organisation is configured");
        let share = match scenario.shares.is_empty() {
            true => 1.0,
            false => scenario.shares.get(&org.name).copied().unwrap_or(0.0),
        };
        let callable: Vec<_> = scenario
            .mix
            .iter()
            .filter_map(|(name, weight)| Some((deployment.find_pipeline(name)?, *weight)))
            .filter(|(pipeline, _)| deployment.may_call(key, *pipeline))
            .collect();
        let total: f64 = callable.iter().map(|(_, weight)| weight).sum();
        pairs.extend(callable.into_iter().map(|(pipeline, weight)| Pair {
            org: org.name.clone(),
            pipeline,
            weight: share * weight / total,
        }));
    }
    pairs
}

/// Multiple of an organisation's arrivals at a time, in seconds.
fn factor(faults: &[FaultPlan], org: &str, at: f64) -> f64 {
    let at_ms = (at * 1000.0) as u64;
    faults
        .iter()
        .filter(|fault| (fault.at_ms..fault.at_ms + fault.for_ms).contains(&at_ms))
        .map(|fault| match &fault.kind {
            FaultKind::Burst { factor } => *factor,
            FaultKind::Flood {
                organisation,
                factor,
            } if organisation == org => *factor,
            _ => 1.0,
        })
        .product()
}

/// Draws an index by weights that sum up to `total`.
pub(crate) fn draw_weighted(weights: &[f64], total: f64, rng: &mut SmallRng) -> usize {
    let mut remaining = rng.random_range(0.0..total);
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}
