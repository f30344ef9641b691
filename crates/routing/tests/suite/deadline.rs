//! Division of the remaining time among stages.

use hollowsail_routing::{plan, StageExpectation, TooLate};
use proptest::prelude::*;

fn stage(fast_ms: u64, typical_ms: u64, slow_ms: u64) -> StageExpectation {
    StageExpectation {
        fast_ms,
        typical_ms,
        slow_ms,
    }
}

#[test]
fn stage_leaves_typical_time_of_successors() {
    let plan = plan(1000, &[stage(5, 10, 30), stage(50, 200, 400)]).expect("the stages fit");
    assert_eq!(plan.stage_ms, 800);
    assert_eq!(plan.attempt_ms, 90);
}

#[test]
fn late_request_is_rejected_with_needed_time() {
    let late = plan(54, &[stage(5, 10, 30), stage(50, 200, 400)]);
    assert_eq!(late, Err(TooLate { needed_ms: 55 }));
}

proptest! {
    #![proptest_config(crate::config(51))]
    #[test]
    fn plan_fits_the_remaining_time(
        remaining in 0u64..5000,
        times in prop::collection::vec((0u64..200, 0u64..500, 0u64..900), 1..6),
    ) {
        let stages: Vec<_> = times
            .iter()
            .map(|(fast, more, most)| stage(*fast, fast + more, fast + more + most))
            .collect();
        let rest: u64 = stages[1..].iter().map(|s| s.fast_ms).sum();
        if let Ok(plan) = plan(remaining, &stages) {
            prop_assert!(plan.stage_ms >= 1);
            prop_assert!(plan.stage_ms + rest <= remaining.max(rest + 1));
            prop_assert!(plan.stage_ms >= stages[0].fast_ms);
            prop_assert!(plan.attempt_ms <= plan.stage_ms);
        }
    }
}
