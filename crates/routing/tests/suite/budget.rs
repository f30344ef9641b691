//! The retry budget bounds retries relative to first attempts.

use hollowsail_routing::RetryBudget;

#[test]
fn retries_stay_near_the_ratio_if_all_fail() {
    let mut budget = RetryBudget::new(0.1);
    let firsts = 10_000;
    let retries = (0..firsts)
        .filter(|_| {
            budget.earn();
            budget.spend()
        })
        .count();
    assert!((990..=1020).contains(&retries), "{retries} retries");
}

#[test]
fn saved_tokens_cover_a_burst_of_failures() {
    let mut budget = RetryBudget::new(0.1);
    (0..1000).for_each(|_| budget.earn());
    let granted = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(granted, 20);
}

#[test]
fn zero_ratio_grants_only_initial_tokens() {
    let mut budget = RetryBudget::new(0.0);
    let granted = (0..100)
        .filter(|_| {
            budget.earn();
            budget.spend()
        })
        .count();
    assert_eq!(granted, 10);
}
