//! Limits of log lines that may occur with every answer.

use hollowsail_observe::LogThrottle;

#[test]
fn subject_is_logged_once_per_interval() {
    let mut throttle = LogThrottle::new(1_000);
    assert!(throttle.is_due(0, "a") && throttle.is_due(0, "b"));
    assert!(!throttle.is_due(999, "a") && throttle.is_due(1_000, "a"));
}

#[test]
fn number_of_tracked_subjects_is_bounded() {
    let mut throttle = LogThrottle::new(1_000);
    let logged = (0..10_000).filter(|number| throttle.is_due(0, *number));
    assert_eq!(logged.count(), 256);
    assert!(
        throttle.is_due(1_000, 10_001),
        "earlier subjects have expired"
    );
}
