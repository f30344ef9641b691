//! Reports of targets, received in any order.

use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::TargetReports;
use proptest::prelude::*;

const HOUR_MS: u64 = 3_600_000;

fn incarnation(id: &str, started: u64) -> Incarnation {
    Incarnation {
        id: id.to_string(),
        started,
    }
}

#[test]
fn draining_covers_earlier_incarnations() {
    let mut reports = TargetReports::default();
    assert!(reports.record_draining(0, &incarnation("i-1", 2_000)));
    assert!(
        !reports.record_draining(5, &incarnation("i-1", 2_000)),
        "already known"
    );
    assert!(
        !reports.record_draining(5, &incarnation("i-1", 1_000)),
        "earlier incarnation"
    );
    assert!(
        reports.is_draining(&incarnation("i-1", 2_000))
            && reports.is_draining(&incarnation("i-1", 1_000))
    );
    assert!(
        !reports.is_draining(&incarnation("i-1", 3_000))
            && !reports.is_draining(&incarnation("i-2", 2_000))
    );
}

#[test]
fn backoff_ends_and_is_never_shortened() {
    let mut reports = TargetReports::default();
    let target = incarnation("i-1", 0);
    assert!(reports.record_backoff(100, &target, 1_000));
    assert!(!reports.record_backoff(200, &target, 300));
    assert_eq!(reports.backoff_until(1_099, &target), Some(1_100));
    assert_eq!(reports.backoff_until(1_100, &target), None);
    assert_eq!(
        reports.backoff_until(500, &incarnation("i-1", 7)),
        None,
        "next incarnation"
    );
    reports.record_backoff(2_000, &target, u64::MAX);
    assert_eq!(reports.backoff_until(1 << 60, &target), Some(u64::MAX));
}

#[test]
fn only_draining_is_broadcast_and_once() {
    let mut reports = TargetReports::default();
    let target = incarnation("i-1", 1);
    assert!(!reports.mark_broadcast(&target));
    reports.record_backoff(0, &target, 1_000);
    assert!(!reports.mark_broadcast(&target));
    reports.record_draining(0, &target);
    assert!(reports.mark_broadcast(&target) && !reports.mark_broadcast(&target));
    reports.record_draining(0, &incarnation("i-1", 2));
    assert!(
        reports.mark_broadcast(&incarnation("i-1", 2)),
        "another incarnation"
    );
}

#[test]
fn reports_of_unlisted_targets_expire() {
    let mut reports = TargetReports::default();
    for number in 0..1_000 {
        reports.record_draining(0, &incarnation(&format!("i-{number}"), 0));
    }
    reports.expire(HOUR_MS - 1, |_| false);
    assert_eq!(reports.len(), 1_000);
    reports.expire(HOUR_MS, |id| id == "i-7");
    assert_eq!(reports.len(), 1, "one is listed");
    assert!(reports.is_draining(&incarnation("i-7", 0)));
}

/// A report of an incarnation by its number, or an expiry run.
#[derive(Debug, Clone)]
enum Event {
    Draining(u64),
    Backoff(u64, u64),
    Expire,
}

fn event() -> impl Strategy<Value = (u64, Event)> {
    let event = prop_oneof![
        (0..4u64).prop_map(Event::Draining),
        (0..4u64, 0..3_000u64).prop_map(|(started, backoff)| Event::Backoff(started, backoff)),
        Just(Event::Expire),
    ];
    (0..2_000u64, event)
}

proptest! {
    /// Guards against new work for a draining or superseded incarnation, and against a
    /// backoff that ends early.
    #[test]
    fn any_order_keeps_draining_and_backoff(events in prop::collection::vec(event(), 1..60)) {
        let mut reports = TargetReports::default();
        let (mut now, mut newest, mut draining) = (0, None, Vec::new());
        let mut backoffs: Vec<(u64, u64)> = Vec::new();
        for (wait, event) in events {
            now += wait;
            match event {
                Event::Draining(started) => {
                    reports.record_draining(now, &incarnation("i-1", started));
                    draining.push(started);
                    newest = newest.max(Some(started));
                }
                Event::Backoff(started, backoff) => {
                    reports.record_backoff(now, &incarnation("i-1", started), backoff);
                    backoffs.push((started, now + backoff));
                    newest = newest.max(Some(started));
                }
                Event::Expire => reports.expire(now, |_| false),
            }
            for started in 0..4 {
                let target = incarnation("i-1", started);
                let is_draining = draining.contains(&started) || Some(started) < newest;
                prop_assert_eq!(reports.is_draining(&target), is_draining);
                let requested = backoffs.iter().filter(|(of, _)| *of == started);
                let until = requested.map(|(_, until)| *until).max();
                let current = until.filter(|until| now < *until && Some(started) == newest);
                prop_assert_eq!(reports.backoff_until(now, &target), current);
            }
        }
    }
}
