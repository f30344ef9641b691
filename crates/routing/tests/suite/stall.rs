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
    stall.record_answered(now + 300, now + 200, false);
    assert_eq!(stall.until(now + 1_000), None);
}

#[test]
fn answer_to_an_earlier_request_does_not_end_a_stall() {
    let mut stall = Stall::default();
    let send = abandoned(&mut stall, 1_000);
    stall.record_answered(1_100, 900, false);
    assert!(stall.until(1_400).is_some() && !send.is_settled(1_400));
}

/// Guards against taking a link that holds what was sent for a target that stands still.
#[test]
fn sends_that_a_lost_link_may_hold_stall_no_target() {
    let mut stall = Stall::default();
    let _sent_before = abandoned(&mut stall, 1_000);
    stall.record_links_lost();
    assert_eq!(stall.until(1_400), None);
}

/// Guards against repeats beyond their budget when a link gives out what it held.
#[test]
fn answers_settle_no_send_that_a_link_may_hold() {
    let mut stall = Stall::default();
    let sent_before = abandoned(&mut stall, 1_000);
    stall.record_answered(1_200, 1_100, true);
    assert!(!sent_before.is_settled(1_200), "answered through a relay");

    let sent_before = abandoned(&mut stall, 1_300);
    stall.record_links_lost();
    stall.record_answered(2_000, 1_900, false);
    assert!(
        !sent_before.is_settled(2_000),
        "answered once links are back"
    );
}
