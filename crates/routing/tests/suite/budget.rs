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

#[test]
fn share_bounds_saved_tokens() {
    let mut budget = RetryBudget::with_share(0.2, 3.0);
    let granted = (0..10).filter(|_| budget.spend()).count();
    assert_eq!(granted, 3, "a budget with a share starts full");
    (0..100).for_each(|_| budget.earn());
    budget.set_share(1.0);
    let granted = (0..10).filter(|_| budget.spend()).count();
    assert_eq!(granted, 1);
}

#[test]
fn all_entries_stay_within_ratio_and_extra() {
    let (entries, extra, ratio) = (9, 58.0, 0.2);
    let mut budgets = vec![RetryBudget::with_share(ratio, extra / f64::from(entries)); 9];
    let mut retries = 0;
    for request in 0..900 {
        let budget = &mut budgets[request % 9];
        budget.earn();
        retries += usize::from(budget.spend());
    }
    assert!(
        retries as f64 <= 900.0 * ratio + extra,
        "{retries} retries of 900 requests"
    );
}
