//! Pauses of watches, played over the start of a whole fleet.

use hollowsail_fleet::{watch_pause, Millis};

/// The pause that a fleet of 295 hosts comes to.
const LONGEST: Millis = 8_000;

/// When a host that read the list at 0 looks again, up to `until`.
fn looks(until: Millis) -> Vec<Millis> {
    let next = |at: &Millis| Some(at + watch_pause(*at, LONGEST));
    std::iter::successors(Some(0), next)
        .skip(1)
        .take_while(|at| *at <= until)
        .collect()
}

/// 295 hosts start within 650 ms, as the first of them reads the list at once. With
/// one pause of 28 ms for each known host, hosts came to know all others after 1 to
/// 8 s, and a queue had up to 61 owners meanwhile.
#[test]
fn every_host_knows_the_whole_fleet_half_a_second_after_its_last_start() {
    let after_the_last = looks(LONGEST).into_iter().find(|at| *at >= 650);
    assert!(
        after_the_last.is_some_and(|at| at <= 1_200),
        "{after_the_last:?}"
    );
}

#[test]
fn a_start_costs_few_answers() {
    assert!(looks(20_000).len() <= 12, "{:?}", looks(20_000));
}

#[test]
fn a_pause_is_never_longer_than_its_bound() {
    for age in (0..100_000).step_by(7) {
        assert!(watch_pause(age, LONGEST) <= LONGEST);
        assert!(watch_pause(age, 50) <= 50, "nor when the bound is short");
    }
}
