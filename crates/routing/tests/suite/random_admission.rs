//! Admission of drawn requests: it agrees with a plain account of all ways, and
//! more load or less time never helps.

use hollowsail_routing::{admit, longest_way, ServiceLoad, StageDemand, StageExpectation, Verdict};
use proptest::prelude::*;

/// A stage's position's needs as bits, and its demand.
type Drawn = (u8, Option<StageDemand>);

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

fn stages() -> impl Strategy<Value = Vec<Drawn>> {
    prop::collection::vec((any::<u8>(), prop::option::of(demand())), 0..6)
}

fn after(at: usize, bits: u8) -> Vec<usize> {
    (0..at).filter(|bit| bits & (1 << bit) != 0).collect()
}

/// What `admit` says is needed, whatever the time left.
fn needed(stages: &[StageDemand]) -> f64 {
    match admit(0, stages, 0.0) {
        Verdict::Admit => 0.0,
        Verdict::CannotFinish(ms) => ms as f64,
    }
}

/// The longest of all ways that end at a stage, found by trying each.
fn longest_to(stages: &[Drawn], at: usize) -> f64 {
    let (bits, demand) = &stages[at];
    let before = after(at, *bits).into_iter().map(|s| longest_to(stages, s));
    before.fold(0.0, f64::max) + demand.map_or(0.0, |demand| exact(&demand))
}

fn exact(demand: &StageDemand) -> f64 {
    let typical = demand.expected.typical_ms;
    demand.load.wait_ms(typical) + typical as f64
}

proptest! {
    #[test]
    fn the_longest_way_is_the_longest_of_all(drawn in stages()) {
        let lists: Vec<Vec<usize>> = (0..drawn.len()).map(|at| after(at, drawn[at].0)).collect();
        let with_needs = lists.iter().zip(&drawn).map(|(after, (_, demand))| (after.as_slice(), *demand));
        let way = longest_way(with_needs);
        let best = (0..drawn.len()).map(|at| longest_to(&drawn, at)).fold(0.0, f64::max);
        let found: f64 = way.iter().map(exact).sum();
        prop_assert!((found - best).abs() < 1e-6, "{} instead of {}", found, best);
    }

    #[test]
    fn more_load_never_shortens_and_more_slots_never_lengthen(
        mut way in prop::collection::vec(demand(), 1..6),
        at in any::<prop::sample::Index>(),
        more in 1u32..50,
    ) {
        let before = needed(&way);
        let at = at.index(way.len());
        way[at].load.ahead += f64::from(more);
        let loaded = needed(&way);
        prop_assert!(loaded >= before);
        way[at].load.slots += f64::from(more);
        prop_assert!(needed(&way) <= loaded);
    }

    #[test]
    fn what_is_admitted_is_admitted_with_more_time_and_less_caution(
        way in prop::collection::vec(demand(), 0..6),
        left in 0u64..3_000,
        more in 0u64..1_000,
        caution in 0.0f64..1.0,
    ) {
        if admit(left, &way, caution) == Verdict::Admit {
            prop_assert_eq!(admit(left + more, &way, caution), Verdict::Admit);
            prop_assert_eq!(admit(left, &way, caution / 2.0), Verdict::Admit);
        }
    }
}
