//! Claims against a model of the store that loses answers and delays writes.
//!
//! Oracle: whatever happens, at most one claim is told that the id is its own,
//! and never one whose value does not stand in the store.

use hollowsail_ledger::claim::{
    id_is_young, Claim, ClaimStep, ClaimValue, Claimed, Progress, StoreAnswer,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What the network does with one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    /// Takes effect; the answer is lost.
    AnswerLost,
    /// Takes effect later, when another call comes; the answer is lost.
    Delayed,
    /// Never arrives; the caller knows.
    NotSent,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::NotSent),
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

    fn call(&mut self, step: ClaimStep, value: &ClaimValue, fate: Fate) -> StoreAnswer {
        if let Some(late) = self.delayed.pop() {
            self.create(&late);
        }
        if matches!(fate, Fate::NotSent) {
            return StoreAnswer::NotDone;
        }
        if matches!(fate, Fate::Delayed) {
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
        match fate {
            Fate::AnswerLost => StoreAnswer::Lost,
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
    fn at_most_one_claimer_owns_an_id(calls in prop::collection::vec((0usize..4, fate()), 1..60)) {
        let mut store = Store::default();
        let mut claims: Vec<(Claim, Option<Claimed>)> = (0..4)
            .map(|at| (Claim::new(ClaimValue { owner: at, nonce: 100 + at }), None))
            .collect();
        for (who, fate) in calls {
            let (claim, ended) = &mut claims[who];
            if ended.is_some() {
                continue;
            }
            let answer = store.call(claim.step(), &claim.value().clone(), fate);
            if let Progress::End(claimed) = claim.answer(answer) {
                *ended = Some(claimed);
            }
        }
        let ours: Vec<_> = claims
            .iter()
            .filter(|(_, ended)| *ended == Some(Claimed::Ours))
            .collect();
        prop_assert!(ours.len() <= 1);
        for (claim, _) in ours {
            prop_assert_eq!(store.value.as_ref(), Some(claim.value()));
        }
        for (_, ended) in &claims {
            if let Some(Claimed::Theirs(owner)) = ended {
                prop_assert_eq!(store.value.as_ref().map(|v| v.owner), Some(*owner));
            }
        }
    }
}

/// Cases per property; the long mode sets more.
pub fn cases() -> u32 {
    std::env::var("HOLLOWSAIL_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(256)
}

#[test]
fn an_id_is_accepted_while_its_claim_certainly_stands() {
    assert!(id_is_young(1000, 1000, 3_600_000));
    assert!(
        id_is_young(21_000, 1000, 3_600_000),
        "a clock a little ahead"
    );
    assert!(!id_is_young(61_000, 1000, 3_600_000), "a clock far ahead");
    assert!(
        !id_is_young(0, 1_800_000, 3_600_000),
        "half of the time is margin"
    );
}
