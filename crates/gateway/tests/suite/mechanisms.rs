//! The command-line option that turns mechanisms off.

use expect_test::expect;
use hollowsail_gateway::{Mechanism, Mechanisms};

#[test]
fn without_turns_off_named_mechanisms() {
    let all = Mechanisms::default();
    assert!(all.has(Mechanism::Scheduler) && all.has(Mechanism::Forecast));
    let some = Mechanisms::without(&["desk".into(), "halls".into()]).expect("the names are known");
    assert!(!some.has(Mechanism::Scheduler) && !some.has(Mechanism::Halls));
    assert!(some.has(Mechanism::Forecast));
}

#[test]
fn unknown_name_error_lists_known_names() {
    let err = Mechanisms::without(&["desks".into()]).expect_err("the name is unknown");
    expect!["--without desks: no such mechanism; give one of shared-queues, desk, affinity, forecast, groups, halls, joint-finals, first-event, reading-times, route-priority, overdue, connection-shares, engines-by-time, target-speeds, reservations, relays, caller-admission"]
        .assert_eq(&err.to_string());
}
