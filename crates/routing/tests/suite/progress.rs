//! Checks the reported status against a model target that knows whether it executed.

use hollowsail_routing::{
    attempt_status, may_retry, outcome_of, stage_status, Outcome, Progress, StageStatus,
};
use proptest::prelude::*;

/// How an attempt ended, and whether the target executed it.
fn attempt() -> impl Strategy<Value = (Progress, bool)> {
    prop_oneof![
        Just((Progress::NotChosen, false)),
        Just((Progress::NotDialled, false)),
        Just((Progress::NothingSent, false)),
        Just((Progress::FinalRefusal, false)),
        any::<bool>().prop_map(|executed| (Progress::OtherRefusal, executed)),
        any::<bool>().prop_map(|executed| (Progress::Broken, executed)),
        Just((Progress::Answered, true)),
    ]
}

/// Runs a stage as the entry does: until an answer, or until no retry is allowed.
fn run_stage(attempts: &[(Progress, bool)], repeatable: bool) -> (Vec<Progress>, usize) {
    let mut attempted = Vec::new();
    let mut executed = 0;
    for (progress, ran) in attempts {
        attempted.push(*progress);
        executed += usize::from(*ran);
        if !may_retry(*progress, repeatable) {
            break;
        }
    }
    (attempted, executed)
}

proptest! {
    #![proptest_config(crate::config(41))]
    #[test]
    fn reported_outcome_matches_execution(
        stages in prop::collection::vec((prop::collection::vec(attempt(), 0..4), any::<bool>()), 1..6),
    ) {
        let mut statuses = Vec::new();
        let mut any_executed = false;
        for (attempts, repeatable) in &stages {
            let (attempted, executed) = run_stage(attempts, *repeatable);
            let status = stage_status(attempted.iter().copied());
            if !repeatable {
                prop_assert!(executed <= 1, "a non-repeatable stage ran {executed} times");
            }
            if status == StageStatus::NotRun {
                prop_assert_eq!(executed, 0, "reported as not run, but it ran");
            }
            if status == StageStatus::Ran {
                prop_assert!(executed >= 1);
            }
            any_executed |= executed > 0;
            statuses.push(status);
            if status != StageStatus::Ran {
                break;
            }
        }
        statuses.resize(stages.len(), StageStatus::NotRun);
        let reached_end = statuses.last() == Some(&StageStatus::Ran);
        match outcome_of(&statuses, reached_end) {
            Outcome::NotRun => prop_assert!(!any_executed, "reported as not run, but it ran"),
            Outcome::Whole => prop_assert!(statuses.iter().all(|s| *s == StageStatus::Ran)),
            Outcome::Unknown => {}
        }
    }
}

#[test]
fn status_and_retry_table() {
    use Progress::*;
    let rows = [
        (NotChosen, StageStatus::NotRun, true, true),
        (NotDialled, StageStatus::NotRun, true, true),
        (NothingSent, StageStatus::NotRun, true, true),
        (FinalRefusal, StageStatus::NotRun, true, true),
        (OtherRefusal, StageStatus::Unknown, true, false),
        (Broken, StageStatus::Unknown, true, false),
        (Answered, StageStatus::Ran, false, false),
    ];
    for (progress, status, retry_if_repeatable, retry_if_not) in rows {
        assert_eq!(attempt_status(progress), status, "{progress:?}");
        assert_eq!(
            may_retry(progress, true),
            retry_if_repeatable,
            "{progress:?}"
        );
        assert_eq!(may_retry(progress, false), retry_if_not, "{progress:?}");
    }
}
