//! Faults found in the answers of two versions.

use hollowsail_rollout::{Arm, Evidence, Fault, Outcome};

/// Counts `count` answers of a kind, spread over three targets; each `bad_each`th is bad.
fn answers(evidence: &mut Evidence, kind: &str, arm: Arm, count: u32, bad_each: u32, bad: Outcome) {
    for index in 1..=count {
        let outcome = match bad_each > 0 && index % bad_each == 0 {
            true => bad,
            false => Outcome::Answered(100.0),
        };
        evidence.observe(kind, arm, &format!("{arm:?}-{}", index % 3), outcome);
    }
}

#[test]
fn equally_bad_versions_are_no_fault() {
    let mut evidence = Evidence::default();
    answers(&mut evidence, "a", Arm::Old, 400, 7, Outcome::Failed);
    answers(&mut evidence, "a", Arm::New, 40, 7, Outcome::Failed);
    assert_eq!(evidence.fault(), None);
}

#[test]
fn failures_on_one_kind_are_found() {
    let mut evidence = Evidence::default();
    answers(&mut evidence, "a", Arm::Old, 2_000, 0, Outcome::Failed);
    answers(&mut evidence, "a", Arm::New, 300, 0, Outcome::Failed);
    answers(&mut evidence, "b", Arm::Old, 100, 0, Outcome::Failed);
    answers(&mut evidence, "b", Arm::New, 10, 2, Outcome::Failed);
    let fault = evidence.fault();
    assert!(
        matches!(fault, Some(Fault::Fails { ref kind, .. }) if kind == "b"),
        "{fault:?}"
    );
}

#[test]
fn answers_that_break_off_are_a_fault() {
    let mut evidence = Evidence::default();
    answers(&mut evidence, "a", Arm::Old, 100, 0, Outcome::Broken);
    answers(&mut evidence, "a", Arm::New, 12, 2, Outcome::Broken);
    assert!(matches!(evidence.fault(), Some(Fault::Breaks { .. })));
}

#[test]
fn one_failing_target_is_no_version_fault() {
    let mut evidence = Evidence::default();
    for index in 0..30 {
        evidence.observe("a", Arm::Old, "old", Outcome::Answered(100.0));
        let (target, outcome) = match index % 3 {
            0 => ("new-0", Outcome::Failed),
            1 => ("new-1", Outcome::Answered(100.0)),
            _ => ("new-2", Outcome::Answered(100.0)),
        };
        evidence.observe("a", Arm::New, target, outcome);
    }
    assert_eq!(evidence.fault(), None);
}

#[test]
fn slowness_is_relative_to_the_old_version() {
    let mut evidence = Evidence::default();
    for index in 0..60u32 {
        let ms = 50.0 + f64::from(index % 7) * 10.0;
        evidence.observe("a", Arm::Old, "old", Outcome::Answered(ms));
        if index % 4 == 0 {
            evidence.observe("a", Arm::New, "new", Outcome::Answered(ms * 8.0));
            evidence.observe("b", Arm::New, "new", Outcome::Answered(ms * 1.8));
        }
        evidence.observe("b", Arm::Old, "old", Outcome::Answered(ms));
    }
    let fault = evidence.fault();
    assert!(
        matches!(fault, Some(Fault::Slow { ref kind, .. }) if kind == "a"),
        "{fault:?}"
    );
}

#[test]
fn timeouts_count_as_latency() {
    let mut evidence = Evidence::default();
    for index in 0..10 {
        evidence.observe("a", Arm::Old, "old", Outcome::Answered(100.0));
        evidence.observe(
            "a",
            Arm::New,
            &format!("new-{index}"),
            Outcome::TimedOut(2_000.0),
        );
    }
    assert!(matches!(evidence.fault(), Some(Fault::Slow { .. })));
}

#[test]
fn counts_of_entries_add_up() {
    let mut one = Evidence::default();
    let mut other = Evidence::default();
    let mut total = Evidence::default();
    for index in 0..20 {
        let part = if index % 2 == 0 { &mut one } else { &mut other };
        for evidence in [part, &mut total] {
            evidence.observe(
                "a",
                Arm::New,
                &format!("new-{}", index % 3),
                Outcome::Answered(1.0),
            );
            evidence.observe("a", Arm::Old, "old", Outcome::Failed);
        }
    }
    one.add(&other);
    assert_eq!(one, total);
    assert_eq!((one.answers(Arm::Old), one.answers(Arm::New)), (20, 20));
}
