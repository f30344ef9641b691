//! Draws the requests of a day from a seed, before the simulation starts: every policy gets
//! the same requests.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::draw_weighted;

use super::model::{DayModel, TroubleKind};

/// Spread of pieces and tokens of a request: 1 - SPREAD to 1 + SPREAD times the mean.
const SPREAD: f64 = 0.6;

/// A drawn request.
#[derive(Debug, Clone, PartialEq)]
pub struct DrawnRequest {
    pub at_ms: u64,
    /// Index of its kind.
    pub kind: usize,
    /// Number of pieces of each stage; 0 skips the stage.
    pub pieces: Vec<usize>,
    /// Which of the kind's shared prefixes its prompt begins with.
    pub prefix: u32,
    pub own_tokens: u64,
    pub events: u32,
    /// Index of the entry that receives it.
    pub entry: usize,
}

/// Draws all requests of a day, in order of time.
pub fn draw_requests(model: &DayModel, seed: u64) -> Vec<DrawnRequest> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let base: f64 = model.kinds.iter().map(|kind| kind.share).sum();
    let mut at = 0.0;
    loop {
        let weights = weights(model, (at * 1000.0) as u64);
        let total: f64 = weights.iter().sum();
        let rate = model.rate * total / base;
        if base <= 0.0 || rate <= 0.0 {
            return requests;
        }
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += -uniform.ln() / rate;
        if at >= model.seconds {
            return requests;
        }
        let kind = draw_weighted(&weights, total, &mut rng);
        requests.push(draw_one(model, kind, (at * 1000.0) as u64, &mut rng));
    }
}

/// Weight of each kind at a time.
fn weights(model: &DayModel, at_ms: u64) -> Vec<f64> {
    let factor = |kind: usize| -> f64 {
        let troubles = model.troubles.iter().filter(|t| t.is_active(at_ms));
        let factors = troubles.map(|trouble| match &trouble.kind {
            TroubleKind::Burst { kind: None, factor } => *factor,
            TroubleKind::Burst {
                kind: Some(affected),
                factor,
            } if *affected == kind => *factor,
            _ => 1.0,
        });
        factors.product()
    };
    let kinds = model.kinds.iter().enumerate();
    kinds
        .map(|(index, kind)| kind.share * factor(index))
        .collect()
}

fn draw_one(model: &DayModel, kind_index: usize, at_ms: u64, rng: &mut SmallRng) -> DrawnRequest {
    let kind = &model.kinds[kind_index];
    let pieces = kind
        .stages
        .iter()
        .map(|stage| match rng.random_bool(stage.probability) {
            true => (spread(stage.pieces, rng).round() as usize).max(1),
            false => 0,
        })
        .collect();
    DrawnRequest {
        at_ms,
        kind: kind_index,
        pieces,
        prefix: rng.random_range(0..kind.prefixes),
        own_tokens: spread(kind.own_tokens as f64, rng) as u64,
        events: spread(f64::from(kind.events), rng).max(1.0) as u32,
        entry: rng.random_range(0..model.entries),
    }
}

fn spread(mean: f64, rng: &mut SmallRng) -> f64 {
    mean * rng.random_range(1.0 - SPREAD..=1.0 + SPREAD)
}
