//! Whether a host reaches its targets.

use std::time::Duration;

use hollowsail_routing::{ConnectPlan, KnownWays, Reachability};

const QUIET: Duration = Duration::ZERO;
const SILENT: Duration = Duration::from_millis(400);

#[test]
fn one_failing_target_is_no_reason_to_probe() {
    let mut reach = Reachability::default();
    for now in (0..2_000).step_by(100) {
        reach.record_failed(now, 'a');
        assert!(!reach.is_probe_due(now, QUIET));
    }
    assert!(reach.is_failing(2_500, 'a') && !reach.is_failing(2_500, 'b'));
    assert!(!reach.is_failing(3_000, 'a'), "the last failure is too old");
}

#[test]
fn two_failing_targets_without_a_success_are_a_reason() {
    let mut reach = Reachability::default();
    reach.record_failed(0, 'a');
    reach.record_reached(10, 'b');
    reach.record_failed(20, 'c');
    assert!(!reach.is_probe_due(30, QUIET), "one since the success");
    reach.record_failed(40, 'a');
    assert!(reach.is_probe_due(50, QUIET));
    reach.record_probe(50);
    assert!(!reach.is_probe_due(100, QUIET), "one is under way");
}

#[test]
fn silence_of_all_targets_is_a_reason() {
    let reach = Reachability::<char>::default();
    assert!(reach.is_probe_due(0, SILENT));
    assert!(!reach.is_probe_due(0, Duration::from_millis(100)));
}

#[test]
fn cut_lasts_from_a_failed_probe_to_a_success() {
    let mut reach = Reachability::default();
    reach.record_failed(900, 'a');
    reach.record_probe(1_000);
    assert!(reach.record_failed_probe(1_100));
    assert!(!reach.record_failed_probe(1_400), "it began before");
    assert!(reach.is_cut_off() && reach.is_probe_due(1_300, QUIET));
    assert_eq!(reach.record_reached(3_100, 'b'), Some(2_000));
    assert!(!reach.is_cut_off() && !reach.is_failing(3_100, 'a'));
    assert_eq!(reach.record_reached(3_200, 'b'), None);
    assert!(!reach.is_probe_due(3_200, QUIET));
}

#[test]
fn way_that_is_known_to_fail_is_not_tried_first() {
    let known = KnownWays::default();
    assert_eq!(known.plan(), ConnectPlan::DirectFirst);
    let failing = KnownWays {
        is_direct_failing: true,
        ..known
    };
    assert_eq!(failing.plan(), ConnectPlan::RelayFirst);
    let without_relay = KnownWays {
        has_no_relay: true,
        ..failing
    };
    assert_eq!(without_relay.plan(), ConnectPlan::DirectOnly);
    let cut_off = KnownWays {
        is_cut_off: true,
        ..known
    };
    assert_eq!(cut_off.plan(), ConnectPlan::RelayOnly);
    let isolated = KnownWays {
        have_relays_failed: true,
        ..cut_off
    };
    assert_eq!(isolated.plan(), ConnectPlan::Neither);
}

#[test]
fn end_of_a_cut_is_remembered() {
    let mut reach = Reachability::default();
    reach.record_reached(1_000, "a");
    assert!(!reach.was_cut_off_since(0));
    reach.record_failed_probe(2_000);
    assert!(reach.was_cut_off_since(2_500));
    reach.record_reached(4_000, "a");
    assert!(reach.was_cut_off_since(3_900) && !reach.was_cut_off_since(4_100));
}
