//! Ejection: failing and slow targets go, healthy ones stay, some always serve.

use hollowsail_routing::health::eject_worst;
use hollowsail_routing::{HealthRules, Observation, TargetHealth};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What the stage usually takes, in milliseconds.
const TYPICAL: u64 = 20;

fn pool(size: usize) -> Vec<TargetHealth> {
    vec![TargetHealth::default(); size]
}

#[test]
fn failures_in_a_row_eject_and_an_answer_between_them_does_not() {
    let rules = HealthRules::default();
    let mut targets = pool(4);
    for _ in 0..3 {
        targets[0].observe(Observation::Failed, TYPICAL);
        targets[1].observe(Observation::Failed, TYPICAL);
        targets[1].observe(Observation::Answered(10), TYPICAL);
    }
    assert_eq!(eject_worst(100, &rules, &mut targets), [0]);
    assert!(targets[0].is_ejected(101) && !targets[1].is_ejected(101));
    assert!(!targets[0].is_ejected(100 + rules.eject_ms));
}

#[test]
fn a_target_five_times_slower_goes_within_a_few_answers() {
    let rules = HealthRules::default();
    let mut targets = pool(4);
    for _ in 0..30 {
        targets
            .iter_mut()
            .for_each(|t| t.observe(Observation::Answered(20), TYPICAL));
    }
    let mut answers = 0;
    while eject_worst(1000, &rules, &mut targets).is_empty() {
        targets[2].observe(Observation::Answered(100), TYPICAL);
        answers += 1;
        assert!(answers < 20, "it is never ejected");
    }
    assert!(targets[2].is_ejected(1001));
}

#[test]
fn noise_ejects_nobody() {
    let rules = HealthRules::default();
    let mut rng = SmallRng::seed_from_u64(9);
    let mut targets = pool(5);
    for step in 0..20_000 {
        for target in &mut targets {
            // Long-tailed: mostly near 20 ms, one in fifty ten times that.
            let tail = if rng.random_bool(0.02) { 10 } else { 1 };
            let latency = rng.random_range(10..30) * tail;
            target.observe(Observation::Answered(latency), TYPICAL);
        }
        let ejected = eject_worst(step, &rules, &mut targets);
        assert!(ejected.is_empty(), "ejected {ejected:?} at step {step}");
    }
}

proptest! {
    #![proptest_config(crate::config(61))]
    #[test]
    fn at_most_half_are_out(
        observations in prop::collection::vec((0usize..5, 0u64..4, 1u64..2000), 1..200),
    ) {
        let rules = HealthRules::default();
        let mut targets = pool(5);
        let mut now = 0;
        for (at, what, ms) in observations {
            now += ms / 10;
            let observation = match what {
                0 => Observation::Failed,
                1 => Observation::TimedOut(ms),
                _ => Observation::Answered(ms),
            };
            targets[at].observe(observation, TYPICAL);
            eject_worst(now, &rules, &mut targets);
            let out = targets.iter().filter(|t| t.is_ejected(now)).count();
            prop_assert!(out <= 2, "{out} of 5 are out");
        }
    }
}

#[test]
fn long_requests_do_not_make_a_target_look_slow() {
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
fn giving_up_early_blames_nobody_and_a_hanging_target_goes() {
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
