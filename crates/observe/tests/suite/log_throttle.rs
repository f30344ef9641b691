//! Things that may come with every answer.

use hollowsail_observe::LogThrottle;

#[test]
fn a_subject_is_told_once_in_a_pause() {
    let mut throttle = LogThrottle::new(1_000);
    assert!(throttle.is_due(0, "a") && throttle.is_due(0, "b"));
    assert!(!throttle.is_due(999, "a") && throttle.is_due(1_000, "a"));
}

#[test]
fn subjects_without_end_are_told_in_part_and_kept_in_part() {
    let mut throttle = LogThrottle::new(1_000);
    let told = (0..10_000).filter(|number| throttle.is_due(0, *number));
    assert_eq!(told.count(), 256);
    assert!(throttle.is_due(1_000, 10_001), "those before are forgotten");
}
