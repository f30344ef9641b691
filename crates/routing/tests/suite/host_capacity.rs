//! Admission of callers' connections by the capacity of their host.

use hollowsail_routing::host_capacity::{CallerAdmission, Carried, HostState, LinkBudget};

const MBPS: f64 = 10.0;
const FULL: HostState = HostState {
    budget_left: -0.1,
    link_used: 0.8,
    lag_ms: 1.0,
};

fn carried(received: u64, sent: u64, requests: u64) -> Carried {
    Carried {
        bytes: [received, sent],
        requests,
    }
}

/// What is left after `for_ms` with these bytes per millisecond each way.
fn left_after(for_ms: u64, received_per_ms: u64, sent_per_ms: u64) -> f64 {
    let mut budget = LinkBudget::new(0);
    for now in (0..=for_ms).step_by(10) {
        let carried = carried(now * received_per_ms, now * sent_per_ms, now / 20);
        budget.update(now, MBPS, carried);
    }
    budget.left(MBPS)
}

#[test]
fn budget_lasts_below_the_usable_share_and_either_direction_spends_it() {
    // 10 Mbit/s are 1,250 bytes per millisecond.
    assert!(left_after(60_000, 700, 700) > 0.9);
    assert!(left_after(3_000, 900, 100) < 0.0);
    assert!(left_after(3_000, 100, 900) < 0.0);
}

#[test]
fn budget_bears_the_largest_bodies_and_recovers_after_a_crowd() {
    let mut budget = LinkBudget::new(0);
    budget.update(0, MBPS, carried(200_000, 200_000, 2));
    assert!(budget.left(MBPS) > 0.0);
    budget.update(1_000, MBPS, carried(20_000_000, 200_000, 3_000));
    assert_eq!(budget.left(MBPS), -1.0);
    budget.update(2_000, MBPS, carried(20_000_000, 200_000, 3_000));
    assert_eq!(budget.left(MBPS), 1.0);
}

#[test]
fn accepted_connections_spend_the_budget_before_their_bytes_arrive() {
    let mut budget = LinkBudget::new(0);
    budget.update(0, MBPS, carried(100_000, 100_000, 10));
    budget.update(1_000, MBPS, carried(100_000, 100_000, 10));
    assert_eq!(budget.left(MBPS), 1.0);
    (0..40).for_each(|_| budget.reserve(MBPS));
    assert!(budget.left(MBPS) < 0.0);
    let reserved = budget.left(MBPS);
    // The bytes that were reserved aren't counted twice.
    budget.update(1_000, MBPS, carried(400_000, 400_000, 40));
    assert!((budget.left(MBPS) - reserved).abs() < 0.01);
}

#[test]
fn reservations_of_silent_connections_expire() {
    let mut budget = LinkBudget::new(0);
    budget.update(0, MBPS, carried(100_000, 100_000, 10));
    (0..100).for_each(|_| budget.reserve(MBPS));
    budget.update(4_000, MBPS, carried(100_000, 100_000, 10));
    assert_eq!(budget.left(MBPS), 1.0);
}

#[test]
fn full_host_refuses_only_while_others_have_room() {
    let mut admission = CallerAdmission::default();
    assert!(admission.is_open(0, &FULL, false));
    assert!(!admission.is_open(10, &FULL, true));
    assert!(admission.is_open(20, &FULL, false));
}

#[test]
fn full_host_takes_some_connections_while_it_refuses_others() {
    let mut admission = CallerAdmission::default();
    let is_open = |admission: &mut CallerAdmission, now| admission.is_open(now, &FULL, true);
    assert!(!is_open(&mut admission, 0));
    assert!(!is_open(&mut admission, 499));
    assert!(is_open(&mut admission, 500));
    assert!(is_open(&mut admission, 600), "none was accepted since");
    admission.record_accepted();
    assert!(!is_open(&mut admission, 610));
}

#[test]
fn hosts_that_are_all_busy_have_no_room_for_each_other() {
    let mut budget = LinkBudget::new(0);
    for now in (0..20_000).step_by(10) {
        budget.update(now, MBPS, carried(now * 625, now * 100, now / 20));
    }
    let used = budget.used_share(MBPS);
    assert!((used - 0.5).abs() < 0.02, "{used}");
    let busy = HostState {
        budget_left: budget.left(MBPS),
        link_used: used,
        lag_ms: 1.0,
    };
    assert!(!busy.is_full() && !busy.has_room());
}

#[test]
fn lagging_host_refuses_and_reopens_once_it_keeps_up() {
    let late = HostState {
        budget_left: 1.0,
        link_used: 0.1,
        lag_ms: 20.0,
    };
    let on_time = HostState {
        lag_ms: 2.0,
        ..late
    };
    let mut admission = CallerAdmission::default();
    assert!(!admission.is_open(0, &late, true));
    assert!(admission.is_open(100, &on_time, true));
    assert!(on_time.has_room() && !late.has_room());
}
