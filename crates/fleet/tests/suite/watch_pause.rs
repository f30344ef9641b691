//! Tests of the pauses of watches, over the start of a whole fleet.

use hollowsail_fleet::{watch_pause, Millis};

/// Longest pause in a fleet of 295 hosts.
const LONGEST: Millis = 8_000;

/// Times up to `until` at which a host polls that read the list at 0.
fn polls(until: Millis) -> Vec<Millis> {
    let next = |at: &Millis| Some(at + watch_pause(*at, LONGEST));
    std::iter::successors(Some(0), next)
        .skip(1)
        .take_while(|at| *at <= until)
        .collect()
}

/// Hosts that start within 650 ms of each other must find each other soon; until then a queue
/// has several owners.
#[test]
fn poll_follows_soon_after_last_start() {
    let first_after = polls(LONGEST).into_iter().find(|at| *at >= 650);
    assert!(first_after.is_some_and(|at| at <= 1_200), "{first_after:?}");
}

#[test]
fn start_takes_few_polls() {
    assert!(polls(20_000).len() <= 12, "{:?}", polls(20_000));
}

#[test]
fn pause_never_exceeds_longest() {
    for age in (0..100_000).step_by(7) {
        assert!(watch_pause(age, LONGEST) <= LONGEST);
        assert!(watch_pause(age, 50) <= 50, "with a short bound");
    }
}
