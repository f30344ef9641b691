//! Which target gets an attempt.

use std::collections::HashMap;

use hollowsail_config::TargetKey;
use hollowsail_routing::{choose, Candidate, Reason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn candidate(key: u16) -> Candidate {
    Candidate {
        target: TargetKey(key),
        load: 0.0,
        reported: 0.0,
        slowness: 1.0,
        ejected: false,
        affinity: None,
    }
}

fn shares(candidates: &[Candidate], draws: usize) -> HashMap<TargetKey, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shares = HashMap::new();
    for _ in 0..draws {
        let choice = choose(candidates, rng.random()).expect("one is chosen");
        *shares.entry(choice.target).or_default() += 1;
    }
    shares
}

#[test]
fn nobody_is_chosen_from_nobody() {
    assert_eq!(choose::<TargetKey>(&[], 7), None);
}

#[test]
fn an_ejected_target_is_chosen_only_when_all_are() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    candidates[0].ejected = true;
    assert!(!shares(&candidates, 1000).contains_key(&TargetKey(0)));
    candidates.iter_mut().for_each(|c| c.ejected = true);
    let choice = choose(&candidates, 3).expect("one has to serve");
    assert_eq!(choice.reason, Reason::AllEjected);
}

#[test]
fn equal_targets_share_equally_and_a_slow_one_gets_less() {
    let mut candidates: Vec<_> = (0..5).map(candidate).collect();
    let even = shares(&candidates, 10_000);
    assert!(even.values().all(|n| (1700..2300).contains(n)), "{even:?}");
    candidates[0].slowness = 5.0;
    let slow = shares(&candidates, 10_000);
    let share = slow.get(&TargetKey(0)).copied().unwrap_or(0);
    assert!(share < even[&TargetKey(0)] / 2, "{share}");
}

#[test]
fn a_preferred_engine_is_taken_until_it_is_loaded_above_the_bound() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    for (at, candidate) in candidates.iter_mut().enumerate() {
        candidate.affinity = Some(100 - at as u64);
        candidate.load = 2.0;
    }
    let first = choose(&candidates, 1).expect("one");
    assert_eq!(
        (first.target, first.reason),
        (TargetKey(0), Reason::Affinity)
    );
    candidates[0].load = 9.0;
    let second = choose(&candidates, 1).expect("one");
    assert_eq!(
        (second.target, second.reason),
        (TargetKey(1), Reason::Affinity)
    );
}
