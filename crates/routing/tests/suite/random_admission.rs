//! Property tests of admission: the critical path matches an exhaustive search, and more
//! load or less time never helps.

use hollowsail_routing::{
    admit, critical_path, ServiceLoad, StageDemand, StageExpectation, Verdict,
};
use proptest::prelude::*;

/// Predecessors of a stage as a bit set, and its demand.
type RandomStage = (u8, Option<StageDemand>);

fn demand() -> impl Strategy<Value = StageDemand> {
    (0u64..400, 0u64..400, 0u32..40, 0u32..200).prop_map(|(fast, more, slots, ahead)| StageDemand {
        expected: StageExpectation {
            fast_ms: fast,
            typical_ms: fast + more / 2,
            slow_ms: fast + more,
        },
        load: ServiceLoad {
            slots: f64::from(slots),
            ahead: f64::from(ahead),
        },
    })
}

fn stages() -> impl Strategy<Value = Vec<RandomStage>> {
    prop::collection::vec((any::<u8>(), prop::option::of(demand())), 0..6)
}

fn predecessors(stage: usize, bits: u8) -> Vec<usize> {
    (0..stage).filter(|bit| bits & (1 << bit) != 0).collect()
}

/// Time that `admit` reports as needed, in milliseconds.
fn needed_ms(stages: &[StageDemand]) -> f64 {
    match admit(0, stages, 0.0) {
        Verdict::Admit => 0.0,
        Verdict::CannotFinish(ms) => ms as f64,
    }
}

/// Length of the longest path that ends at a stage, by exhaustive search.
fn longest_to(stages: &[RandomStage], stage: usize) -> f64 {
    let (bits, demand) = &stages[stage];
    let lengths = predecessors(stage, *bits)
        .into_iter()
        .map(|s| longest_to(stages, s));
    lengths.fold(0.0, f64::max) + demand.map_or(0.0, |demand| exact_ms(&demand))
}

fn exact_ms(demand: &StageDemand) -> f64 {
    let typical = demand.expected.typical_ms;
    demand.load.wait_ms(typical) + typical as f64
}

proptest! {
    #[test]
    fn critical_path_matches_exhaustive_search(random_stages in stages()) {
        let lists: Vec<Vec<usize>> = (0..random_stages.len())
            .map(|stage| predecessors(stage, random_stages[stage].0))
            .collect();
        let stages = lists
            .iter()
            .zip(&random_stages)
            .map(|(list, (_, demand))| (list.as_slice(), *demand));
        let path = critical_path(stages);
        let best = (0..random_stages.len())
            .map(|stage| longest_to(&random_stages, stage))
            .fold(0.0, f64::max);
        let found: f64 = path.iter().map(exact_ms).sum();
        prop_assert!((found - best).abs() < 1e-6, "{} ms, expected {} ms", found, best);
    }

    #[test]
    fn needed_time_is_monotonic_in_load_and_slots(
        mut path in prop::collection::vec(demand(), 1..6),
        index in any::<prop::sample::Index>(),
        more in 1u32..50,
    ) {
        let before = needed_ms(&path);
        let index = index.index(path.len());
        path[index].load.ahead += f64::from(more);
        let loaded = needed_ms(&path);
        prop_assert!(loaded >= before);
        path[index].load.slots += f64::from(more);
        prop_assert!(needed_ms(&path) <= loaded);
    }

    #[test]
    fn admission_is_monotonic_in_time_and_caution(
        path in prop::collection::vec(demand(), 0..6),
        remaining in 0u64..3_000,
        more in 0u64..1_000,
        caution in 0.0f64..1.0,
    ) {
        if admit(remaining, &path, caution) == Verdict::Admit {
            prop_assert_eq!(admit(remaining + more, &path, caution), Verdict::Admit);
            prop_assert_eq!(admit(remaining, &path, caution / 2.0), Verdict::Admit);
        }
    }
}
