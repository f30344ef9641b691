//! Tests for the split of scarce capacity among flows.

use hollowsail_stages::shares::{entitlements, Offer};
use hollowsail_stages::Flow;
use proptest::prelude::*;

fn offer(urgency: u8, organisation: u64, weight: f64, rate: f64) -> Offer {
    let flow = Flow {
        urgency,
        organisation,
    };
    Offer { flow, weight, rate }
}

fn assert_close(actual: &[f64], expected: &[f64]) {
    let is_close = actual
        .iter()
        .zip(expected)
        .all(|(a, b)| (a - b).abs() < 1e-6);
    assert!(
        is_close && actual.len() == expected.len(),
        "{actual:?} instead of {expected:?}"
    );
}

/// Guards against refusals by share where there is enough for all.
#[test]
fn everyone_gets_what_it_offers_while_it_fits() {
    let offers = [offer(0, 1, 1.0, 3.0), offer(1, 1, 1.0, 4.0)];
    assert_close(&entitlements(&offers, 8.0), &[3.0, 4.0]);
}

/// Guards against a starved level: it keeps 0.3 of its equal part.
#[test]
fn least_urgent_level_keeps_its_floor() {
    let offers = [offer(0, 1, 1.0, 10.0), offer(3, 1, 1.0, 10.0)];
    assert_close(&entitlements(&offers, 10.0), &[8.5, 1.5]);
}

/// Guards against capacity that nobody may use.
#[test]
fn what_one_does_not_offer_goes_to_others() {
    let offers = [
        offer(0, 1, 1.0, 1.0),
        offer(0, 2, 1.0, 20.0),
        offer(0, 3, 1.0, 20.0),
    ];
    assert_close(&entitlements(&offers, 11.0), &[1.0, 5.0, 5.0]);
}

#[test]
fn organisations_share_by_weight() {
    let offers = [offer(0, 1, 3.0, 20.0), offer(0, 2, 1.0, 20.0)];
    assert_close(&entitlements(&offers, 8.0), &[6.0, 2.0]);
}

/// Guards against a division by zero, and against a weight that takes everything.
#[test]
fn weights_that_are_not_positive_numbers_count_as_the_smallest() {
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let offers = [offer(0, 1, weight, 20.0), offer(0, 2, 1.0, 20.0)];
        let entitled = entitlements(&offers, 10.1);
        assert_close(&entitled, &[0.1, 10.0]);
    }
}

proptest! {
    /// Guards against capacity that is given twice, lost, or given to a less urgent level
    /// before a more urgent one.
    #[test]
    fn split_uses_the_capacity_once_and_by_urgency(
        rates in prop::collection::vec((0u8..4, 0u64..4, 0.0..2.0f64, 0.01..50.0f64), 1..20),
        capacity in 0.0..100.0f64,
    ) {
        let mut offers: Vec<Offer> = rates
            .into_iter()
            .map(|(urgency, organisation, weight, rate)| offer(urgency, organisation, weight, rate))
            .collect();
        offers.sort_by_key(|offer| offer.flow);
        let entitled = entitlements(&offers, capacity);
        let offered: f64 = offers.iter().map(|offer| offer.rate).sum();
        let total: f64 = entitled.iter().sum();
        prop_assert!((total - offered.min(capacity)).abs() < 1e-6);
        for (offer, entitled) in offers.iter().zip(&entitled) {
            prop_assert!(*entitled >= 0.0 && *entitled <= offer.rate + 1e-9);
        }
        let mut previous = f64::INFINITY;
        for level in 0..4 {
            let of_level = offers.iter().zip(&entitled).filter(|(o, _)| o.flow.urgency == level);
            let (got, asked) = of_level.fold((0.0, 0.0), |(got, asked), (offer, entitled)| {
                (got + entitled, asked + offer.rate)
            });
            if asked > 0.0 {
                prop_assert!(got / asked <= previous + 1e-9);
                previous = got / asked;
            }
        }
    }
}
