//! A target that doesn't close the connections of abandoned requests gets probes only.

use hollowsail_routing::repeats::{RepeatBudget, TrackedSend};
use hollowsail_routing::{Millis, Stall};

fn abandoned(stall: &mut Stall, now: Millis) -> TrackedSend {
    let permit = RepeatBudget::first_of_piece(now);
    let send = permit.send().clone();
    send.begin(now, false);
    send.abandon(now);
    stall.record_abandoned(now, &send);
    send
}

#[test]
fn target_that_closes_abandoned_connections_in_time_is_not_stalled() {
    let mut stall = Stall::default();
    let send = abandoned(&mut stall, 1_000);
    assert_eq!(stall.until(1_040), None);
    send.settle();
    assert_eq!(stall.until(1_500), None);
}

#[test]
fn probes_of_a_stalled_target_get_rarer_until_it_answers() {
    let mut stall = Stall::default();
    let _unread = abandoned(&mut stall, 1_000);
    let mut now = 1_300;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let until = stall.until(now).expect("it is stalled");
        pauses.push(until - now);
        now = until;
        stall.record_sent(now);
        let _probe = abandoned(&mut stall, now + 100);
    }
    assert!(pauses.is_sorted() && pauses[4] <= 8_000, "{pauses:?}");
    stall.record_answered(now + 300, now + 200);
    assert_eq!(stall.until(now + 1_000), None);
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_stall() {
    let mut stall = Stall::default();
    let send = abandoned(&mut stall, 1_000);
    stall.record_answered(1_100, 900);
    assert!(stall.until(1_400).is_some() && !send.is_settled(1_400));
}
