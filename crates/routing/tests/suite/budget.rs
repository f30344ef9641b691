//! Retries stay within their share of first attempts.

use hollowsail_routing::RetryBudget;

#[test]
fn when_everything_fails_retries_stay_near_their_ratio() {
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
fn a_burst_of_failures_after_a_quiet_time_may_be_retried() {
    let mut budget = RetryBudget::new(0.1);
    (0..1000).for_each(|_| budget.earn());
    let granted = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(granted, 20);
}

#[test]
fn a_ratio_of_zero_grants_no_more_than_was_saved_at_the_start() {
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
fn a_share_bounds_what_is_saved_and_shrinks_with_more_entries() {
    let mut budget = RetryBudget::with_share(0.2, 3.0);
    let granted = (0..10).filter(|_| budget.spend()).count();
    assert_eq!(granted, 3, "the share is there at the start");
    (0..100).for_each(|_| budget.earn());
    budget.set_share(1.0);
    let granted = (0..10).filter(|_| budget.spend()).count();
    assert_eq!(granted, 1);
}

#[test]
fn entries_together_keep_to_the_ratio_and_the_extra() {
    let (entries, extra, ratio) = (9, 58.0, 0.2);
    let mut budgets = vec![RetryBudget::with_share(ratio, extra / f64::from(entries)); 9];
    let mut retries = 0;
    for request in 0..900 {
        let budget = &mut budgets[request % 9];
        budget.earn();
        retries += usize::from(budget.spend());
    }
    assert!(retries as f64 <= 900.0 * ratio + extra, "{retries} of 900");
}
