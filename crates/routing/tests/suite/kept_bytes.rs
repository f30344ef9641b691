//! The bound on all bytes that a host keeps.

use hollowsail_routing::kept_bytes::{AccountKey, ByteBudget, Kept};
use proptest::collection::vec;
use proptest::prelude::*;

const FAULTY: u8 = 1;
const SOUND: u8 = 2;

fn answers(budget: &mut ByteBudget<u8>, source: u8, count: usize) -> Vec<AccountKey> {
    (0..count)
        .map(|_| budget.open(Kept::Answer(source)))
        .collect()
}

// Guards against a bound for each answer without one for all.
#[test]
fn answers_of_the_source_with_most_bytes_end_first() {
    let mut budget = ByteBudget::new(1_000);
    let faulty = answers(&mut budget, FAULTY, 4);
    let sound = answers(&mut budget, SOUND, 1);
    for (key, bytes) in faulty.iter().zip([100, 300, 200, 100]) {
        assert!(budget.set_answer(*key, bytes).is_empty());
    }
    // The last one exceeds the bound, and another one goes.
    assert_eq!(budget.set_answer(sound[0], 400), [faulty[1]]);
    assert_eq!(budget.totals().answers, 800);
    assert_eq!(budget.set_answer(faulty[0], 350), [faulty[0]]);
}

#[test]
fn one_answer_of_many_sources_may_use_all() {
    let mut budget = ByteBudget::new(1_000);
    let sound = answers(&mut budget, SOUND, 1);
    assert!(budget.set_answer(sound[0], 1_000).is_empty());
    budget.close(sound[0]);
    assert_eq!(budget.totals().answers, 0);
}

#[test]
fn requests_leave_room_for_answers_and_end_none() {
    let mut budget = ByteBudget::new(1_000);
    let request = budget.open(Kept::Request);
    assert!(budget.try_add(request, 400));
    assert!(!budget.try_add(request, 101), "half of the bound");
    let sound = answers(&mut budget, SOUND, 1);
    assert!(budget.set_answer(sound[0], 600).is_empty());
    assert!(!budget.try_add(request, 1), "the rest is used");
    assert_eq!(budget.bytes(request), 400);
}

#[derive(Debug, Clone)]
enum Change {
    Open(Option<u8>),
    Set(usize, u64),
    Close(usize),
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        prop::option::of(0..4u8).prop_map(Change::Open),
        (0..30usize, 0..900u64).prop_map(|(index, bytes)| Change::Set(index, bytes)),
        (0..30usize).prop_map(Change::Close),
    ];
    vec(change, 1..200)
}

proptest! {
    #[test]
    fn any_changes_keep_the_sum_within_the_bound(changes in changes()) {
        let mut budget = ByteBudget::new(2_000);
        let mut accounts: Vec<(AccountKey, Kept<u8>)> = Vec::new();
        for change in changes {
            match change {
                Change::Open(source) => {
                    let kept = source.map_or(Kept::Request, Kept::Answer);
                    accounts.push((budget.open(kept), kept));
                }
                Change::Set(index, bytes) => match accounts.get(index) {
                    Some((key, Kept::Request)) => drop(budget.try_add(*key, bytes)),
                    Some((key, Kept::Answer(_))) => drop(budget.set_answer(*key, bytes)),
                    None => {}
                },
                Change::Close(index) if index < accounts.len() => {
                    budget.close(accounts.swap_remove(index).0);
                }
                Change::Close(_) => {}
            }
            let totals = budget.totals();
            prop_assert!(totals.requests + totals.answers <= budget.limit());
            let sum: u64 = accounts.iter().map(|(key, _)| budget.bytes(*key)).sum();
            prop_assert_eq!(totals.requests + totals.answers, sum);
        }
    }
}
