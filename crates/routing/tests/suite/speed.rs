//! The estimate of a target's speed from answers and reports.

use hollowsail_routing::TargetSpeed;

/// Usual duration of a call, in milliseconds.
const USUAL_MS: f64 = 300.0;

/// Records answers that take `factor` times as long as usual, one every `interval` ms from
/// `start` on; returns the time of the last.
fn answers(speed: &mut TargetSpeed, start: u64, interval: u64, count: u64, factor: f64) -> u64 {
    let times = (0..count).map(|n| start + n * interval);
    times.fold(start, |_, now| {
        speed.record_answer(USUAL_MS * factor, USUAL_MS, now);
        now
    })
}

/// Guards against choices that follow noise after it is over: slow answers within less than
/// half a second don't change the lasting estimate.
#[test]
fn noise_leaves_no_trace() {
    let mut speed = TargetSpeed::default();
    let now = answers(&mut speed, 0, 100, 20, 1.0);
    let now = answers(&mut speed, now + 100, 100, 5, 4.0);
    assert!((speed.slowness(now) - 1.0).abs() < 0.01, "{speed:?}");
    let now = answers(&mut speed, now + 100, 100, 1, 1.0);
    let now = answers(&mut speed, now + 100, 100, 5, 4.0);
    assert!((speed.slowness(now) - 1.0).abs() < 0.01, "{speed:?}");
}

/// Guards against a target that is slow for good and keeps its usual share of work.
#[test]
fn lasting_change_shows_within_a_few_answers() {
    let mut speed = TargetSpeed::default();
    let now = answers(&mut speed, 0, 300, 10, 1.0);
    let now = answers(&mut speed, now + 900, 900, 3, 3.0);
    assert!((speed.slowness(now) - 3.0).abs() < 0.1, "{speed:?}");
    let now = answers(&mut speed, now + 300, 300, 3, 1.0);
    assert!((speed.slowness(now) - 1.0).abs() < 0.1, "{speed:?}");
}

#[test]
fn report_counts_by_its_age() {
    let mut speed = TargetSpeed::default();
    assert!(!speed.has_report());
    speed.record_report(400, 1_000);
    assert!(speed.has_report());
    let at = |now| speed.slowness(now);
    assert!((at(1_000) - 4.0).abs() < 0.01, "fully when new");
    assert!(at(1_250) > 1.9 && at(1_250) < 2.1, "half of it later");
    assert!((at(1_500) - 1.0).abs() < 0.01, "not at all after 500 ms");
    assert!(at(1_100) > at(1_200));
    speed.record_report(50, 900);
    assert!((speed.slowness(1_000) - 4.0).abs() < 0.01, "overtaken");
}

/// Guards against a target that is never used again because it was slow once.
#[test]
fn slow_target_is_tried_again() {
    let mut speed = TargetSpeed::default();
    let now = answers(&mut speed, 1_000, 900, 5, 3.0);
    assert!(speed.slowness(now) > 2.5);
    assert!(speed.slowness(now + 30_000) < 1.1);
}

/// Guards against overflows and endless waits by extreme figures.
#[test]
fn slowness_is_bounded() {
    let mut speed = TargetSpeed::default();
    speed.record_report(10_000, 0);
    assert!(speed.slowness(0) <= 20.1);
    speed.record_report(1, 1);
    assert!(speed.slowness(1) >= 0.049);
    let mut speed = TargetSpeed::default();
    speed.carry_over(f64::NAN, 0);
    assert!(speed.slowness(0).is_finite());
    speed.carry_over(f64::INFINITY, 0);
    speed.record_answer(0.0, 0.0, 1);
    assert!(speed.slowness(1).is_finite());
}
