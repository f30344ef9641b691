//! Whether a process keeps up, by its timers.

use hollowsail_routing::Pace;

/// Between two timers, in milliseconds.
const EVERY: u64 = 50;

/// Feeds timers that are late by so much for a while; tells whether it is slow then.
fn run(pace: &mut Pace, from: u64, for_ms: u64, late: u64) -> bool {
    for now in (from..from + for_ms).step_by(EVERY as usize) {
        pace.woke(now, late);
    }
    pace.is_slow()
}

#[test]
fn a_process_that_stays_late_is_slow_within_half_a_second() {
    let mut pace = Pace::default();
    assert!(!run(&mut pace, 0, 10_000, 2));
    assert!(run(&mut pace, 10_000, 500, 30));
}

#[test]
fn one_late_timer_says_nothing() {
    let mut pace = Pace::default();
    run(&mut pace, 0, 1_000, 1);
    pace.woke(1_000, 2_000);
    assert!(!pace.is_slow());
    pace.woke(1_050, 900);
    assert!(!pace.is_slow(), "nor do two");
}

#[test]
fn it_is_well_again_only_after_a_while_in_time() {
    let mut pace = Pace::default();
    run(&mut pace, 0, 1_000, 40);
    assert!(run(&mut pace, 1_000, 3_000, 1), "its work went elsewhere");
    assert!(run(&mut pace, 4_000, 500, 30), "late once more");
    assert!(run(&mut pace, 4_500, 4_000, 1));
    assert!(!run(&mut pace, 8_500, 1_500, 1));
}

#[test]
fn each_change_is_told_once() {
    let mut pace = Pace::default();
    let late = [vec![1; 50], vec![40; 50], vec![1; 200]].concat();
    let times = late.into_iter().enumerate();
    let changes = times.filter(|(at, late)| pace.woke(*at as u64 * EVERY, *late));
    assert_eq!(changes.count(), 2);
}
