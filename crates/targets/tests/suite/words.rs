//! What targets said of themselves, in whatever order it comes.

use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::Words;
use proptest::prelude::*;

const HOUR_MS: u64 = 3_600_000;

fn start(id: &str, born: u64) -> Incarnation {
    Incarnation {
        id: id.to_string(),
        born,
    }
}

#[test]
fn a_word_holds_for_its_start_and_those_before() {
    let mut words = Words::default();
    assert!(words.says_leaving(0, &start("i-1", 2_000)));
    assert!(!words.says_leaving(5, &start("i-1", 2_000)), "known");
    assert!(!words.says_leaving(5, &start("i-1", 1_000)), "of before");
    assert!(words.leaves(&start("i-1", 2_000)) && words.leaves(&start("i-1", 1_000)));
    assert!(!words.leaves(&start("i-1", 3_000)) && !words.leaves(&start("i-2", 2_000)));
}

#[test]
fn a_rest_ends_and_a_shorter_one_changes_nothing() {
    let mut words = Words::default();
    let target = start("i-1", 0);
    assert!(words.asks_rest(100, &target, 1_000));
    assert!(!words.asks_rest(200, &target, 300));
    assert_eq!(words.rests_until(1_099, &target), Some(1_100));
    assert_eq!(words.rests_until(1_100, &target), None);
    assert_eq!(words.rests_until(500, &start("i-1", 7)), None, "the next");
    words.asks_rest(2_000, &target, u64::MAX);
    assert_eq!(words.rests_until(1 << 60, &target), Some(u64::MAX));
}

#[test]
fn the_others_are_told_once_and_only_of_what_leaves() {
    let mut words = Words::default();
    let target = start("i-1", 1);
    assert!(!words.pass_on(&target));
    words.asks_rest(0, &target, 1_000);
    assert!(!words.pass_on(&target));
    words.says_leaving(0, &target);
    assert!(words.pass_on(&target) && !words.pass_on(&target));
    words.says_leaving(0, &start("i-1", 2));
    assert!(words.pass_on(&start("i-1", 2)), "another start");
}

#[test]
fn words_of_targets_that_are_gone_are_dropped_after_an_hour() {
    let mut words = Words::default();
    for number in 0..1_000 {
        words.says_leaving(0, &start(&format!("i-{number}"), 0));
    }
    words.forget(HOUR_MS - 1, |_| false);
    assert_eq!(words.len(), 1_000);
    words.forget(HOUR_MS, |id| id == "i-7");
    assert_eq!(words.len(), 1, "one is still listed");
    assert!(words.leaves(&start("i-7", 0)));
}

/// Something that is said of a start, after some time.
#[derive(Debug, Clone)]
enum Say {
    Leaves(u64),
    Rests(u64, u64),
    Forget,
}

fn say() -> impl Strategy<Value = (u64, Say)> {
    let what = prop_oneof![
        (0..4u64).prop_map(Say::Leaves),
        (0..4u64, 0..3_000u64).prop_map(|(born, rest)| Say::Rests(born, rest)),
        Just(Say::Forget),
    ];
    (0..2_000u64, what)
}

proptest! {
    /// Within the hour, whatever is said in whatever order: what left stays out, and so
    /// does each start before one that spoke; a rest is kept to the end.
    #[test]
    fn no_order_of_words_brings_a_leaving_start_back(said in prop::collection::vec(say(), 1..60)) {
        let mut words = Words::default();
        let (mut now, mut newest, mut left) = (0, None, Vec::new());
        let mut rests: Vec<(u64, u64)> = Vec::new();
        for (wait, what) in said {
            now += wait;
            match what {
                Say::Leaves(born) => {
                    words.says_leaving(now, &start("i-1", born));
                    left.push(born);
                    newest = newest.max(Some(born));
                }
                Say::Rests(born, rest) => {
                    words.asks_rest(now, &start("i-1", born), rest);
                    rests.push((born, now + rest));
                    newest = newest.max(Some(born));
                }
                Say::Forget => words.forget(now, |_| false),
            }
            for born in 0..4 {
                let target = start("i-1", born);
                let is_out = left.contains(&born) || Some(born) < newest;
                prop_assert_eq!(words.leaves(&target), is_out);
                let asked = rests.iter().filter(|(of, _)| *of == born);
                let until = asked.map(|(_, until)| *until).max();
                let rests_now = until.filter(|until| now < *until && Some(born) == newest);
                prop_assert_eq!(words.rests_until(now, &target), rests_now);
            }
        }
    }
}
