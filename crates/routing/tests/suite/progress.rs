//! The not-run table against a model of what a target may have done.
//!
//! The model target knows whether it executed; the entry sees only how far the
//! attempt got. Whatever the target did, the table's word must be true.

use hollowsail_routing::{
    attempt_status, may_try_again, outcome_of, stage_status, Outcome, Progress, StageStatus,
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

/// Runs a stage as the entry does: until an answer, or nothing may follow.
fn run_stage(attempts: &[(Progress, bool)], repeatable: bool) -> (Vec<Progress>, usize) {
    let mut made = Vec::new();
    let mut executed = 0;
    for (progress, ran) in attempts {
        made.push(*progress);
        executed += usize::from(*ran);
        if !may_try_again(*progress, repeatable) {
            break;
        }
    }
    (made, executed)
}

proptest! {
    #![proptest_config(crate::config(41))]
    #[test]
    fn what_is_said_of_a_request_is_true(
        stages in prop::collection::vec((prop::collection::vec(attempt(), 0..4), any::<bool>()), 1..6),
    ) {
        let mut statuses = Vec::new();
        let mut executed_at_all = false;
        for (attempts, repeatable) in &stages {
            let (made, executed) = run_stage(attempts, *repeatable);
            let status = stage_status(made.iter().copied());
            if !repeatable {
                prop_assert!(executed <= 1, "a stage ran twice that must not");
            }
            if status == StageStatus::NotRun {
                prop_assert_eq!(executed, 0, "said not run, and it ran");
            }
            if status == StageStatus::Ran {
                prop_assert!(executed >= 1);
            }
            executed_at_all |= executed > 0;
            statuses.push(status);
            if status != StageStatus::Ran {
                break;
            }
        }
        statuses.resize(stages.len(), StageStatus::NotRun);
        let reached_end = statuses.last() == Some(&StageStatus::Ran);
        match outcome_of(&statuses, reached_end) {
            Outcome::NotRun => prop_assert!(!executed_at_all, "said not run, and it ran"),
            Outcome::Whole => prop_assert!(statuses.iter().all(|s| *s == StageStatus::Ran)),
            Outcome::Unknown => {}
        }
    }
}

#[test]
fn the_table_row_by_row() {
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
    for (progress, status, again_if_repeatable, again_if_not) in rows {
        assert_eq!(attempt_status(progress), status, "{progress:?}");
        assert_eq!(
            may_try_again(progress, true),
            again_if_repeatable,
            "{progress:?}"
        );
        assert_eq!(may_try_again(progress, false), again_if_not, "{progress:?}");
    }
}
