//! Steps of the leader of a roll-out.

use hollowsail_rollout::{Arm, Evidence, Outcome, Phase, Plan, Progress, Rollout, Step};

const PLAN: Plan = Plan {
    began: 1_000,
    within_ms: 16_000,
};

fn good_evidence(count: u32) -> Evidence {
    let mut evidence = Evidence::default();
    for index in 0..count {
        evidence.observe(
            "a",
            Arm::New,
            &format!("new-{}", index % 4),
            Outcome::Answered(80.0),
        );
        evidence.observe("a", Arm::Old, "old", Outcome::Answered(80.0));
    }
    evidence
}

fn progress(evidence: &Evidence) -> Progress<'_> {
    Progress {
        evidence,
        has_new_targets: true,
        is_old_idle: true,
        silent_since: None,
    }
}

/// The phases entered, with their times in milliseconds, at a step each 250 ms.
fn phases(rollout: &mut Rollout, progress: &Progress<'_>) -> Vec<(u64, Phase)> {
    let mut entered = Vec::new();
    for now in (PLAN.began..PLAN.began + 30_000).step_by(250) {
        if let Some(Step::Enter(phase)) = rollout.step(now, progress) {
            entered.push((now - PLAN.began, phase));
            if phase.is_final() {
                break;
            }
        }
    }
    entered
}

#[test]
fn good_version_completes_in_time() {
    let mut rollout = Rollout::new(PLAN, Phase::Waiting, PLAN.began);
    let evidence = good_evidence(100);
    let entered = phases(&mut rollout, &progress(&evidence));
    expect_test::expect![[r"
        [
            (
                0,
                Canary,
            ),
            (
                8000,
                Ramp,
            ),
            (
                9250,
                Full,
            ),
            (
                10750,
                Completed,
            ),
        ]
    "]]
    .assert_debug_eq(&entered);
}

#[test]
fn little_evidence_prolongs_the_ramp() {
    let mut rollout = Rollout::new(PLAN, Phase::Waiting, PLAN.began);
    let evidence = good_evidence(9);
    let entered = phases(&mut rollout, &progress(&evidence));
    assert_eq!(entered[1], (8_000, Phase::Ramp));
    assert_eq!(entered[2], (13_000, Phase::Full));
}

#[test]
fn requests_at_old_version_block_completion() {
    let mut rollout = Rollout::new(PLAN, Phase::Full, PLAN.began);
    let evidence = good_evidence(100);
    let busy = Progress {
        is_old_idle: false,
        ..progress(&evidence)
    };
    assert!(phases(&mut rollout, &busy).is_empty());
}

#[test]
fn silent_entry_delays_completion() {
    let mut rollout = Rollout::new(PLAN, Phase::Full, PLAN.began);
    let evidence = good_evidence(100);
    let silent = Progress {
        silent_since: Some(PLAN.began + 3_000),
        ..progress(&evidence)
    };
    let entered = phases(&mut rollout, &silent);
    assert_eq!(entered, [(7_000, Phase::Completed)]);
}

#[test]
fn waits_without_targets_of_the_new_version() {
    let mut rollout = Rollout::new(PLAN, Phase::Waiting, PLAN.began);
    let evidence = Evidence::default();
    let none = Progress {
        has_new_targets: false,
        ..progress(&evidence)
    };
    assert!(phases(&mut rollout, &none).is_empty());
}

#[test]
fn verdict_is_final() {
    let mut rollout = Rollout::new(PLAN, Phase::Full, PLAN.began);
    rollout.set_verdict(Phase::Completed, PLAN.began);
    let mut evidence = good_evidence(10);
    for index in 0..50 {
        evidence.observe("a", Arm::New, &format!("new-{index}"), Outcome::Failed);
    }
    assert!(phases(&mut rollout, &progress(&evidence)).is_empty());
    assert_eq!(rollout.phase(), Phase::Completed);
}

#[test]
fn targets_in_use_follow_the_share() {
    assert_eq!(Phase::Waiting.targets_in_use(0.05, 60), 0);
    assert_eq!(Phase::Canary.targets_in_use(0.05, 60), 3);
    assert_eq!(Phase::Canary.targets_in_use(0.05, 4), 1);
    assert_eq!(Phase::Full.targets_in_use(0.05, 60), 60);
    assert_eq!(Phase::RolledBack.targets_in_use(0.05, 60), 0);
}

#[test]
fn retries_go_to_the_old_version_until_full() {
    assert_eq!(Arm::draw(Phase::Canary, 0.05, true, 0.04), Arm::New);
    assert_eq!(Arm::draw(Phase::Canary, 0.05, false, 0.04), Arm::Old);
    assert_eq!(Arm::draw(Phase::Canary, 0.05, true, 0.06), Arm::Old);
    assert_eq!(Arm::draw(Phase::Full, 0.05, false, 0.99), Arm::New);
    assert_eq!(Arm::draw(Phase::RolledBack, 0.05, true, 0.0), Arm::Old);
}
