//! Sharing and pacing of scarce connections.

use hollowsail_routing::connections::{expected_wait, first_of_waits, is_scarce, share};
use hollowsail_routing::DialPacing;
use proptest::prelude::*;

/// Guards against limiting services whose connections suffice for all entries.
#[test]
fn scarcity_depends_on_connections_per_entry() {
    assert!(!is_scarce(100, 25));
    assert!(is_scarce(100, 26));
    assert!(is_scarce(100, 61));
    assert!(is_scarce(1, 1));
    assert!(!is_scarce(0, 61), "0 states no maximum");
}

#[test]
fn share_is_a_part_of_the_usable_connections_but_at_least_one() {
    assert_eq!(share(100, 61), 1);
    assert_eq!(share(100, 30), 3);
    assert_eq!(share(100, 1), 90);
    assert_eq!(share(1, 75), 1);
    assert_eq!(share(0, 0), 1);
}

#[test]
fn backoff_doubles_up_to_a_second_and_starts_anew_after_an_answer() {
    let mut pacing = DialPacing::default();
    let backoffs: Vec<u64> = (0..7).map(|_| pacing.failed(0, 1.0)).collect();
    assert_eq!(backoffs, [50, 100, 200, 400, 800, 1_000, 1_000]);
    pacing.answered();
    assert_eq!(pacing.failed(0, 1.0), 50);
}

/// Guards against entries that were reset together dialling together again.
#[test]
fn jitter_spreads_the_second_half_of_a_backoff() {
    let backoff = |jitter| DialPacing::default().failed(0, jitter);
    assert_eq!([backoff(0.0), backoff(0.5), backoff(1.0)], [25, 38, 50]);
}

#[test]
fn one_connection_is_opened_at_a_time() {
    let mut pacing = DialPacing::default();
    assert!(pacing.may_dial(0));
    pacing.started();
    assert!(!pacing.may_dial(1_000_000));
    pacing.ended();
    assert!(pacing.may_dial(0));
}

/// Guards against a shorter backoff that replaces a longer one in progress.
#[test]
fn backoff_never_becomes_shorter() {
    let mut pacing = DialPacing::default();
    (0..6).for_each(|_| {
        pacing.failed(0, 1.0);
    });
    pacing.answered();
    pacing.failed(0, 0.0);
    assert_eq!(pacing.backoff_left(0), 1_000);
    assert!(!pacing.may_dial(999) && pacing.may_dial(1_000));
}

#[test]
fn wait_grows_with_the_line_and_shrinks_with_the_share() {
    assert_eq!(expected_wait(0, 1, 30.0), 30.0);
    assert_eq!(expected_wait(3, 2, 30.0), 60.0);
}

/// Guards against refusals by the sum of several lines in which the same requests wait.
#[test]
fn lines_that_a_request_waits_in_together_are_shorter() {
    assert_eq!(first_of_waits([].into_iter()), 0.0);
    assert_eq!(first_of_waits([30.0].into_iter()), 30.0);
    assert_eq!(first_of_waits([60.0, 60.0].into_iter()), 30.0);
    assert_eq!(first_of_waits([60.0, 0.0].into_iter()), 0.0);
}

#[test]
fn observation_covers_two_round_trips_within_bounds() {
    let mut pacing = DialPacing::default();
    let observations = [0.1, 10.0, 400.0].map(|ms| pacing.observation_ms(ms));
    assert_eq!(observations, [5.0, 20.0, 50.0]);
    // A host that is too busy to reset in time is given longer.
    let after_resets = [1, 2, 3, 4].map(|_| {
        pacing.failed(0, 0.5);
        pacing.observation_ms(0.1)
    });
    assert_eq!(after_resets, [10.0, 20.0, 40.0, 50.0]);
    pacing.answered();
    assert_eq!(pacing.observation_ms(0.1), 5.0);
}

proptest! {
    #![proptest_config(crate::config(41))]

    /// Guards against entries exceeding a target's limit together where each can have one.
    #[test]
    fn shares_fit_into_the_limit(max in 1u32..2_000, entries in 1usize..2_000) {
        prop_assume!(f64::from(max) * 0.9 >= entries as f64);
        prop_assert!(u64::from(share(max, entries)) * entries as u64 <= u64::from(max));
    }

    #[test]
    fn backoff_is_within_its_bounds(resets in 1usize..200, jitter in 0.0f64..=1.0) {
        let mut pacing = DialPacing::default();
        let last = (0..resets).map(|_| pacing.failed(0, jitter)).last();
        prop_assert!(last.is_some_and(|last| (25..=1_000).contains(&last)));
    }
}
