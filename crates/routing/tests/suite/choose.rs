//! Choice of a target for an attempt.

use std::collections::HashMap;

use hollowsail_config::TargetKey;
use hollowsail_routing::{choose, choose_by_end, Candidate, Reason};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn candidate(key: u16) -> Candidate {
    Candidate {
        target: TargetKey(key),
        load: 0.0,
        reported_load: 0.0,
        slowness: 1.0,
        ejected: false,
        affinity: None,
    }
}

fn shares(candidates: &[Candidate], draws: usize) -> HashMap<TargetKey, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shares = HashMap::new();
    for _ in 0..draws {
        let choice = choose(candidates, rng.random()).expect("a target is chosen");
        *shares.entry(choice.target).or_default() += 1;
    }
    shares
}

#[test]
fn no_candidates_give_no_choice() {
    assert_eq!(choose::<TargetKey>(&[], 7), None);
}

#[test]
fn ejected_target_is_chosen_only_if_all_are() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    candidates[0].ejected = true;
    assert!(!shares(&candidates, 1000).contains_key(&TargetKey(0)));
    candidates.iter_mut().for_each(|c| c.ejected = true);
    let choice = choose(&candidates, 3).expect("a target is chosen");
    assert_eq!(choice.reason, Reason::AllEjected);
}

#[test]
fn slow_target_gets_a_smaller_share() {
    let mut candidates: Vec<_> = (0..5).map(candidate).collect();
    let even = shares(&candidates, 10_000);
    assert!(even.values().all(|n| (1700..2300).contains(n)), "{even:?}");
    candidates[0].slowness = 5.0;
    let slow = shares(&candidates, 10_000);
    let share = slow.get(&TargetKey(0)).copied().unwrap_or(0);
    assert!(share < even[&TargetKey(0)] / 2, "{share}");
}

#[test]
fn affinity_holds_up_to_the_load_bound() {
    let mut candidates: Vec<_> = (0..4).map(candidate).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.affinity = Some(100 - index as u64);
        candidate.load = 2.0;
    }
    let first = choose(&candidates, 1).expect("a target is chosen");
    assert_eq!(
        (first.target, first.reason),
        (TargetKey(0), Reason::Affinity)
    );
    candidates[0].load = 9.0;
    let second = choose(&candidates, 1).expect("a target is chosen");
    assert_eq!(
        (second.target, second.reason),
        (TargetKey(1), Reason::Affinity)
    );
}

/// Shares of `draws` choices by the expected end.
fn shares_by_end(candidates: &[Candidate], draws: usize) -> HashMap<TargetKey, usize> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut shares = HashMap::new();
    for _ in 0..draws {
        let choice = choose_by_end(candidates, rng.random()).expect("a target is chosen");
        *shares.entry(choice.target).or_default() += 1;
    }
    shares
}

/// Guards against requests that wait at a slow target while a usual one is free, and against
/// a slow target that stays unused while the others are busy.
#[test]
fn slow_target_is_used_once_others_are_busy() {
    let mut candidates: Vec<_> = (0..3).map(candidate).collect();
    candidates[0].slowness = 2.0;
    let idle = shares_by_end(&candidates, 1_000);
    assert!(!idle.contains_key(&TargetKey(0)), "{idle:?}");
    assert!(idle[&TargetKey(1)] > 400 && idle[&TargetKey(2)] > 400);
    candidates[1].reported_load = 0.9;
    candidates[2].reported_load = 1.0;
    let busy = shares_by_end(&candidates, 1_000);
    assert!((1..500).contains(&busy[&TargetKey(0)]), "{busy:?}");
    candidates[1].reported_load = 3.0;
    candidates[2].load = 3.0;
    let full = shares_by_end(&candidates, 1_000);
    assert_eq!(full[&TargetKey(0)], 1_000, "the work ends there first");
}

/// Guards against entries that all send to the one target with the lowest reported load.
#[test]
fn similar_targets_share_the_requests() {
    let mut candidates: Vec<_> = (0..3).map(candidate).collect();
    candidates[0].reported_load = 0.1;
    candidates[1].reported_load = 0.2;
    candidates[2].slowness = 1.1;
    let shares = shares_by_end(&candidates, 1_000);
    assert_eq!(shares.len(), 3, "{shares:?}");
}

#[test]
fn ejected_targets_are_left_out_by_end() {
    let mut candidates: Vec<_> = (0..2).map(candidate).collect();
    candidates[0].ejected = true;
    candidates[1].slowness = 5.0;
    let choice = choose_by_end(&candidates, 0).expect("a target is chosen");
    assert_eq!((choice.target, choice.reason), (TargetKey(1), Reason::Only));
    candidates[1].ejected = true;
    let choice = choose_by_end(&candidates, 0).expect("a target is chosen");
    assert_eq!(
        (choice.target, choice.reason),
        (TargetKey(0), Reason::AllEjected)
    );
    assert_eq!(choose_by_end::<TargetKey>(&[], 7), None);
}
