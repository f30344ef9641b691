//! Draws a day's requests before anything is played, so that every policy gets
//! the same.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::arrivals::draw_weighted;

use super::model::{DayModel, TroubleKind};

/// How unlike the sizes of requests are: pieces and tokens of one lie between
/// 1 - SPREAD and 1 + SPREAD times the mean.
const SPREAD: f64 = 0.6;

/// One request to come.
#[derive(Debug, Clone, PartialEq)]
pub struct DrawnRequest {
    pub at_ms: u64,
    /// Position of its kind.
    pub kind: usize,
    /// Pieces of each stage; 0 leaves it out.
    pub pieces: Vec<usize>,
    /// Which of the kind's shared parts its prompt begins with.
    pub part: u32,
    pub own_tokens: u64,
    pub events: u32,
    /// Entry that it comes to.
    pub entry: usize,
}

/// All requests of a day, in order of time.
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

/// Weight of each kind at a moment.
fn weights(model: &DayModel, at_ms: u64) -> Vec<f64> {
    let factor = |kind: usize| -> f64 {
        let troubles = model.troubles.iter().filter(|t| t.is_on(at_ms));
        let factors = troubles.map(|trouble| match &trouble.kind {
            TroubleKind::Burst { kind: None, factor } => *factor,
            TroubleKind::Burst {
                kind: Some(of),
                factor,
            } if *of == kind => *factor,
            _ => 1.0,
        });
        factors.product()
    };
    let kinds = model.kinds.iter().enumerate();
    kinds.map(|(at, kind)| kind.share * factor(at)).collect()
}

fn draw_one(model: &DayModel, kind_at: usize, at_ms: u64, rng: &mut SmallRng) -> DrawnRequest {
    let kind = &model.kinds[kind_at];
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
        kind: kind_at,
        pieces,
        part: rng.random_range(0..kind.parts),
        own_tokens: spread(kind.own_tokens as f64, rng) as u64,
        events: spread(f64::from(kind.events), rng).max(1.0) as u32,
        entry: rng.random_range(0..model.entries),
    }
}

fn spread(mean: f64, rng: &mut SmallRng) -> f64 {
    mean * rng.random_range(1.0 - SPREAD..=1.0 + SPREAD)
}
