//! Property test of claims, against a model of the store that loses answers and delays
//! writes.
//!
//! At most one claim may end as the owner of an id, and its value must be the one in the
//! store.

use hollowsail_ledger::claim::{
    is_id_claimable, Claim, ClaimOutcome, ClaimStep, ClaimValue, Progress, StoreAnswer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Network fault of one call.
#[derive(Debug, Clone, Copy)]
enum NetworkFault {
    Answered,
    /// Takes effect; the answer is lost.
    AnswerLost,
    /// Takes effect at the next call; the answer is lost.
    Delayed,
    /// Is not sent, and the caller receives an error.
    NotSent,
}

fn fault() -> impl Strategy<Value = NetworkFault> {
    prop_oneof![
        3 => Just(NetworkFault::Answered),
        2 => Just(NetworkFault::AnswerLost),
        1 => Just(NetworkFault::Delayed),
        1 => Just(NetworkFault::NotSent),
    ]
}

#[derive(Default)]
struct Store {
    value: Option<ClaimValue>,
    delayed: Vec<ClaimValue>,
}

impl Store {
    fn create(&mut self, value: &ClaimValue) -> StoreAnswer {
        match &self.value {
            Some(found) => StoreAnswer::Found(found.clone()),
            None => {
                self.value = Some(value.clone());
                StoreAnswer::Created
            }
        }
    }

    fn call(&mut self, step: ClaimStep, value: &ClaimValue, fault: NetworkFault) -> StoreAnswer {
        if let Some(delayed_value) = self.delayed.pop() {
            self.create(&delayed_value);
        }
        if matches!(fault, NetworkFault::NotSent) {
            return StoreAnswer::NotDone;
        }
        if matches!(fault, NetworkFault::Delayed) {
            if step == ClaimStep::Create {
                self.delayed.push(value.clone());
            }
            return StoreAnswer::Lost;
        }
        let answer = match step {
            ClaimStep::Create => self.create(value),
            ClaimStep::Read => match &self.value {
                Some(found) => StoreAnswer::Found(found.clone()),
                None => StoreAnswer::Absent,
            },
        };
        match fault {
            NetworkFault::AnswerLost => StoreAnswer::Lost,
            _ => answer,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn at_most_one_claimer_owns_an_id(calls in prop::collection::vec((0usize..4, fault()), 1..60)) {
        let mut store = Store::default();
        let mut claims: Vec<(Claim, Option<ClaimOutcome>)> = (0..4)
            .map(|id| (Claim::new(ClaimValue { owner: id, nonce: 100 + id }), None))
            .collect();
        for (index, fault) in calls {
            let (claim, ended) = &mut claims[index];
            if ended.is_some() {
                continue;
            }
            let answer = store.call(claim.step(), &claim.value().clone(), fault);
            if let Progress::End(claimed) = claim.answer(answer) {
                *ended = Some(claimed);
            }
        }
        let ours: Vec<_> = claims
            .iter()
            .filter(|(_, ended)| *ended == Some(ClaimOutcome::Ours))
            .collect();
        prop_assert!(ours.len() <= 1);
        for (claim, _) in ours {
            prop_assert_eq!(store.value.as_ref(), Some(claim.value()));
        }
        for (_, ended) in &claims {
            if let Some(ClaimOutcome::Theirs(owner)) = ended {
                prop_assert_eq!(store.value.as_ref().map(|value| value.owner), Some(*owner));
            }
        }
    }
}

/// Cases per property; `HOLLOWSAIL_CASES` overrides the default.
pub fn cases() -> u32 {
    std::env::var("HOLLOWSAIL_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(256)
}

#[test]
fn id_accepted_for_half_of_claim_retention() {
    assert!(is_id_claimable(1000, 1000, 3_600_000));
    assert!(
        is_id_claimable(21_000, 1000, 3_600_000),
        "caller's clock leads by 20 s"
    );
    assert!(
        !is_id_claimable(61_000, 1000, 3_600_000),
        "caller's clock leads by 60 s"
    );
    assert!(
        !is_id_claimable(0, 1_800_000, 3_600_000),
        "older than half of the retention"
    );
}
