//! Entitlements: how scarce capacity is split among flows.
//!
//! Each urgency level first gets a floor, so that the least urgent isn't starved. The rest
//! goes by urgency, to each level up to what it offers. Within a level, organisations
//! share by weight (max-min fairness), so what one doesn't offer goes to the others.

use crate::reservations::Flow;

/// Share of a level's equal part of the capacity that it gets before more urgent levels
/// take the rest. No level may be served less than a quarter as often as all; the excess
/// covers errors of the estimates.
const FLOOR_SHARE: f64 = 0.3;
/// Smallest weight; replaces weights that are zero, negative or not finite.
pub const MIN_WEIGHT: f64 = 0.01;
/// Largest weight. Sums of greater ones lose the small ones to rounding.
const MAX_WEIGHT: f64 = 1e6;

/// What a flow asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    pub flow: Flow,
    pub weight: f64,
    /// Rate asked for, in the unit of the capacity.
    pub rate: f64,
}

/// A usable weight: positive and neither too small nor too large.
pub fn usable_weight(weight: f64) -> f64 {
    match weight.is_finite() {
        true => weight.clamp(MIN_WEIGHT, MAX_WEIGHT),
        false => MIN_WEIGHT,
    }
}

/// Entitlement of each offer, in the order given. The offers are sorted by flow.
pub fn entitlements(offers: &[Offer], capacity: f64) -> Vec<f64> {
    let offered: f64 = offers.iter().map(|offer| offer.rate).sum();
    if offered <= capacity {
        return offers.iter().map(|offer| offer.rate).collect();
    }
    // All floors are the same share of what is offered, so no level is served better than a
    // more urgent one.
    let floor = FLOOR_SHARE * capacity.max(0.0) / offered;
    let mut rest = capacity.max(0.0) - floor * offered;
    let mut entitled = Vec::with_capacity(offers.len());
    for level in offers.chunk_by(|a, b| a.flow.urgency == b.flow.urgency) {
        let level_offered: f64 = level.iter().map(|offer| offer.rate).sum();
        let extra = rest.min(level_offered * (1.0 - floor));
        rest -= extra;
        entitled.extend(split_by_weight(level, level_offered * floor + extra));
    }
    entitled
}

/// Max-min fair split of `capacity` among the offers of one level.
fn split_by_weight(level: &[Offer], capacity: f64) -> Vec<f64> {
    let weights: Vec<f64> = level
        .iter()
        .map(|offer| usable_weight(offer.weight))
        .collect();
    let mut by_need: Vec<usize> = (0..level.len()).collect();
    by_need.sort_by(|a, b| {
        let need = |index: usize| level[index].rate / weights[index];
        need(*a).total_cmp(&need(*b))
    });
    let mut weight_left: f64 = weights.iter().sum();
    let mut left = capacity;
    let mut split = vec![0.0; level.len()];
    for index in by_need {
        let share = left * (weights[index] / weight_left).min(1.0);
        split[index] = level[index].rate.min(share);
        left -= split[index];
        weight_left -= weights[index];
    }
    split
}
