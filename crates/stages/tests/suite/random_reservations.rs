//! Property tests: what was reserved in a healthy queue is done by its due time.

use hollowsail_stages::Millis;
use proptest::prelude::*;

use crate::simulation::{Caller, Simulation, RULES};

/// Three whole calls.
const LONG_LEAD_MS: Millis = 1_300;

fn caller(min_lead: Millis) -> impl Strategy<Value = Caller> {
    (
        0u64..3_000,
        0u8..4,
        0u64..4,
        1u32..12,
        0u64..600,
        min_lead..2_500,
        0u64..3_000,
    )
        .prop_map(
            |(at, urgency, organisation, pieces, ready_in, lead, patience)| Caller {
                pieces,
                ready_in,
                due_in: ready_in + lead,
                patience,
                early_by: patience % 3 * 40,
                ..Caller::new(at, urgency, organisation)
            },
        )
}

/// Checks that every caller has an answer, and every admitted one its results at most
/// `tolerance` after its due time.
fn check(workers: usize, callers: Vec<Caller>, tolerance: Millis) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(workers, callers);
    simulation.run();
    for (caller, outcome) in simulation.callers.iter().zip(&simulation.outcomes) {
        if outcome.admitted_at.is_none() {
            prop_assert!(!outcome.refusals.is_empty(), "a caller has no answer");
            continue;
        }
        let latest = outcome.due + tolerance;
        prop_assert!(
            outcome.done_at.is_some_and(|done| done <= latest),
            "{caller:?}: {outcome:?}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        max_shrink_iters: 50,
        ..ProptestConfig::default()
    })]

    /// Guards against admissions beyond the capacity.
    #[test]
    fn what_was_reserved_is_done_in_time(
        callers in prop::collection::vec(caller(LONG_LEAD_MS), 1..700),
        workers in 2usize..8,
    ) {
        check(workers, callers, 0)?;
    }

    /// Guards against the same where less than two calls fit before the due time. Workers
    /// that start small calls just before such a request arrives can't undo that, so it may
    /// be late by up to one call.
    #[test]
    fn what_is_due_within_two_calls_is_late_by_one_call_at_most(
        callers in prop::collection::vec(caller(600), 1..700),
        workers in 2usize..8,
    ) {
        check(workers, callers, RULES.expected_ms(RULES.batch) as Millis)?;
    }
}
