//! Search for sequences that come near to the allowance: known and random ones first, then changes of the
//! nearest.

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{incidents, plays, Defect, Play};
use crate::repeat_windows::WorstWindow;

const SEED: u64 = 83;
/// Random sequences, how many of them are changed, and how often each is.
const RANDOM_PLAYS: usize = 600;
const KEPT_PLAYS: usize = 6;
const CHANGES: usize = 500;
/// Most steps that one change replaces.
const CHANGED_STEPS: usize = 12;

/// Plays sequences until one exceeds the allowance, and returns that one, or the nearest.
pub fn nearest(defect: Option<Defect>) -> (Play, WorstWindow) {
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    });
    let mut draw = || {
        let tree = plays().new_tree(&mut runner);
        tree.expect("all sequences are accepted").current()
    };
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut found: Vec<(Play, WorstWindow)> = Vec::new();
    let random: Vec<Play> = (0..RANDOM_PLAYS).map(|_| draw()).collect();
    for play in incidents::all().into_iter().chain(random) {
        let worst = play.worst_window(defect);
        if worst.is_exceeded() {
            return (play, worst);
        }
        found.push((play, worst));
    }
    found.sort_by(|(_, a), (_, b)| b.used().total_cmp(&a.used()));
    found.truncate(KEPT_PLAYS);
    for (play, worst) in &mut found {
        for _ in 0..CHANGES {
            let changed = change(&mut rng, play, &draw());
            let changed_worst = changed.worst_window(defect);
            if changed_worst.used() >= worst.used() {
                (*play, *worst) = (changed, changed_worst);
            }
            if worst.is_exceeded() {
                return (play.clone(), *worst);
            }
        }
    }
    let nearest = found
        .into_iter()
        .max_by(|(_, a), (_, b)| a.used().total_cmp(&b.used()));
    nearest.expect("some sequences are kept")
}

/// Replaces some steps of a sequence by steps of another one.
fn change(rng: &mut SmallRng, play: &Play, other: &Play) -> Play {
    let mut steps = play.steps.clone();
    let from = rng.random_range(0..=steps.len());
    let until = (from + rng.random_range(0..=CHANGED_STEPS)).min(steps.len());
    let first = rng.random_range(0..=other.steps.len());
    let last = (first + rng.random_range(0..=CHANGED_STEPS)).min(other.steps.len());
    steps.splice(from..until, other.steps[first..last].iter().copied());
    Play {
        steps,
        ..play.clone()
    }
}

/// Leaves out steps for as long as the sequence exceeds the allowance without them.
pub fn shrink(mut play: Play, defect: Option<Defect>) -> Play {
    let mut index = 0;
    while index < play.steps.len() {
        let mut shorter = play.clone();
        shorter.steps.remove(index);
        match shorter.worst_window(defect).is_exceeded() {
            true => play = shorter,
            false => index += 1,
        }
    }
    play
}
