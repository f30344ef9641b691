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
