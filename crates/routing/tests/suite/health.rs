//! Ejection of failing and slow targets.

use hollowsail_routing::health::eject_worst;
use hollowsail_routing::{HealthRules, Observation, TargetHealth};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Typical latency of the stage.
const TYPICAL_MS: u64 = 20;

fn pool(size: usize) -> Vec<TargetHealth> {
    vec![TargetHealth::default(); size]
}

#[test]
fn consecutive_failures_eject() {
    let rules = HealthRules::default();
    let mut targets = pool(4);
    for _ in 0..3 {
        targets[0].observe(Observation::Failed, TYPICAL_MS);
        targets[1].observe(Observation::Failed, TYPICAL_MS);
        targets[1].observe(Observation::Answered(10), TYPICAL_MS);
    }
    assert_eq!(eject_worst(100, &rules, &mut targets), [0]);
    assert!(targets[0].is_ejected(101) && !targets[1].is_ejected(101));
    assert!(!targets[0].is_ejected(100 + rules.eject_ms));
}

#[test]
fn slow_target_is_ejected_within_20_answers() {
    let rules = HealthRules::default();
    let mut targets = pool(4);
    for _ in 0..30 {
        targets
            .iter_mut()
            .for_each(|t| t.observe(Observation::Answered(20), TYPICAL_MS));
    }
    let mut answers = 0;
    while eject_worst(1000, &rules, &mut targets).is_empty() {
        targets[2].observe(Observation::Answered(100), TYPICAL_MS);
        answers += 1;
        assert!(answers < 20, "not ejected after {answers} answers");
    }
    assert!(targets[2].is_ejected(1001));
}

#[test]
fn latency_noise_ejects_no_target() {
    let rules = HealthRules::default();
    let mut rng = SmallRng::seed_from_u64(9);
    let mut targets = pool(5);
    for step in 0..20_000 {
        for target in &mut targets {
            // Long-tailed: mostly near 20 ms, 2% of the answers ten times slower.
            let tail = if rng.random_bool(0.02) { 10 } else { 1 };
            let latency = rng.random_range(10..30) * tail;
            target.observe(Observation::Answered(latency), TYPICAL_MS);
        }
        let ejected = eject_worst(step, &rules, &mut targets);
        assert!(ejected.is_empty(), "ejected {ejected:?} at step {step}");
    }
}

proptest! {
    #![proptest_config(crate::config(61))]
    #[test]
    fn at_most_half_are_ejected(
        observations in prop::collection::vec((0usize..5, 0u64..4, 1u64..2000), 1..200),
    ) {
        let rules = HealthRules::default();
        let mut targets = pool(5);
        let mut now = 0;
        for (index, kind, ms) in observations {
            now += ms / 10;
            let observation = match kind {
                0 => Observation::Failed,
                1 => Observation::TimedOut(ms),
                _ => Observation::Answered(ms),
            };
            targets[index].observe(observation, TYPICAL_MS);
            eject_worst(now, &rules, &mut targets);
            let ejected = targets.iter().filter(|t| t.is_ejected(now)).count();
            prop_assert!(ejected <= 2, "{ejected} of 5 targets are ejected");
        }
    }
}

#[test]
fn long_requests_do_not_count_as_slow() {
    let rules = HealthRules::default();
    let mut targets = pool(3);
    for _ in 0..50 {
        targets[0].observe(Observation::Answered(900), 900);
        targets[1].observe(Observation::Answered(20), 20);
        targets[2].observe(Observation::Answered(25), 20);
    }
    assert_eq!(eject_worst(1, &rules, &mut targets), Vec::<usize>::new());
}

#[test]
fn only_long_timeouts_eject() {
    let rules = HealthRules::default();
    let mut targets = pool(3);
    for _ in 0..50 {
        targets[0].observe(Observation::TimedOut(5), 100);
    }
    assert_eq!(eject_worst(1, &rules, &mut targets), Vec::<usize>::new());
    for _ in 0..3 {
        targets[1].observe(Observation::TimedOut(1000), 100);
    }
    assert_eq!(eject_worst(2, &rules, &mut targets), [1]);
}
