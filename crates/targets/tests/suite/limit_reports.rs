//! Limits that targets report, received by any path and in any order.

use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::{LimitKind, LimitReport, TargetReports};
use proptest::prelude::*;

fn incarnation(started: u64) -> Incarnation {
    Incarnation {
        id: "i-1".to_string(),
        started,
    }
}

fn report(per_s: Option<f64>, sent: u64, received: u64) -> LimitReport {
    LimitReport {
        kind: LimitKind::Requests,
        per_s,
        sent_at: sent,
        received_at: received,
    }
}

#[test]
fn limit_applies_until_an_answer_without_one() {
    let mut reports = TargetReports::default();
    assert!(
        !reports.record_limit(0, &incarnation(1), report(None, 0, 0)),
        "no limit before"
    );
    assert!(reports.is_empty(), "no state for a target without a limit");
    assert!(reports.record_limit(10, &incarnation(1), report(Some(4.0), 5, 10)));
    assert!(
        !reports.record_limit(20, &incarnation(1), report(Some(4.0), 15, 20)),
        "same limit"
    );
    assert_eq!(
        reports.limit(&incarnation(1), LimitKind::Requests),
        Some(4.0)
    );
    assert_eq!(
        reports.limit(&incarnation(2), LimitKind::Requests),
        None,
        "the next incarnation reported none"
    );
    assert_eq!(reports.limited().count(), 1);
    assert!(reports.record_limit(30, &incarnation(1), report(None, 25, 30)));
    assert_eq!(
        (
            reports.limit(&incarnation(1), LimitKind::Requests),
            reports.limited().count()
        ),
        (None, 0)
    );
}

#[test]
fn stricter_of_crossing_reports_applies() {
    let mut reports = TargetReports::default();
    reports.record_limit(100, &incarnation(0), report(Some(1.0), 50, 100));
    assert!(
        !reports.record_limit(110, &incarnation(0), report(None, 60, 110)),
        "may be older"
    );
    assert!(
        !reports.record_limit(110, &incarnation(0), report(Some(9.0), 99, 110)),
        "may be older, too"
    );
    assert!(
        reports.record_limit(120, &incarnation(0), report(Some(9.0), 100, 120)),
        "certainly newer"
    );
    assert!(
        reports.record_limit(130, &incarnation(0), report(Some(2.0), 60, 130)),
        "stricter"
    );
    assert!(reports.record_limit(150, &incarnation(0), report(None, 131, 150)));
    assert!(
        !reports.record_limit(160, &incarnation(0), report(Some(1.0), 50, 100)),
        "certainly older"
    );
}

#[test]
fn end_of_limit_expires_after_one_minute() {
    let mut reports = TargetReports::default();
    reports.record_limit(0, &incarnation(0), report(Some(1.0), 0, 0));
    reports.record_limit(10, &incarnation(0), report(None, 10, 10));
    reports.expire(60_009, |_| true);
    assert!(reports
        .limit_report(&incarnation(0), LimitKind::Requests)
        .is_some());
    reports.expire(60_010, |_| true);
    assert!(reports
        .limit_report(&incarnation(0), LimitKind::Requests)
        .is_none());
}

#[derive(Debug, Clone)]
struct Answer {
    sent: u64,
    written: u64,
    received: u64,
}

fn answer() -> impl Strategy<Value = Answer> {
    (0_u64..1_000, 0_u64..200, 0_u64..200).prop_map(|(sent, work, transit)| Answer {
        sent,
        written: sent + work,
        received: sent + work + transit,
    })
}

proptest! {
    /// Guards against dropping or raising a limit while the newest report received, by the
    /// time it was written, is stricter.
    #[test]
    fn any_order_respects_newest_report(
        mut answers in prop::collection::vec(answer(), 1..30),
        changes in prop::collection::vec((0_u64..1_200, prop::option::of(1_u32..9)), 1..5),
    ) {
        let limit_at = |time: u64| {
            let before = changes.iter().filter(|(from, _)| *from <= time);
            let last = before.max_by_key(|(from, _)| *from);
            last.and_then(|(_, limit)| limit.map(f64::from))
        };
        answers.sort_by_key(|answer| answer.received);
        let mut reports = TargetReports::default();
        let mut newest: Option<u64> = None;
        for answer in &answers {
            let per_s = limit_at(answer.written);
            reports.record_limit(answer.received, &incarnation(0), report(per_s, answer.sent, answer.received));
            newest = newest.max(Some(answer.written));
            let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
            let allowed = rate(newest.and_then(limit_at));
            prop_assert!(rate(reports.limit(&incarnation(0), LimitKind::Requests)) <= allowed);
        }
    }
}

/// A target may report both kinds, and neither replaces the other.
#[test]
fn limits_of_different_kinds_are_kept_apart() {
    let mut reports = TargetReports::default();
    let refusals = LimitReport {
        kind: LimitKind::Refusals,
        ..report(Some(3.0), 0, 10)
    };
    reports.record_limit(10, &incarnation(1), refusals);
    reports.record_limit(20, &incarnation(1), report(Some(8.0), 15, 20));
    reports.record_limit(30, &incarnation(1), report(None, 25, 30));
    let limit = |kind| reports.limit(&incarnation(1), kind);
    assert_eq!(limit(LimitKind::Requests), None);
    assert_eq!(limit(LimitKind::Refusals), Some(3.0));
}
