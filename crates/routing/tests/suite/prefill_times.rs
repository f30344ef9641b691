//! Estimates of the time to the first event by prompt length.

use hollowsail_routing::PrefillTimes;

#[test]
fn initial_estimate_applies_with_few_samples() {
    let mut times = PrefillTimes::default();
    assert_eq!(times.expected_ms(1_000), 130);
    (0..5).for_each(|_| times.record(1_000, 900));
    assert_eq!(times.expected_ms(1_000), 130);
}

#[test]
fn expected_time_grows_with_prompt_length() {
    let mut times = PrefillTimes::default();
    for index in 0..100 {
        let tokens = 500 + index % 10 * 400;
        times.record(tokens, 50 + tokens / 20);
    }
    for (tokens, ms) in [(0, 50), (2_000, 150), (10_000, 550)] {
        let expected = times.expected_ms(tokens);
        assert!(
            expected.abs_diff(ms) <= 2,
            "{tokens} tokens: expected {expected} ms, not {ms} ms"
        );
    }
}

#[test]
fn equal_lengths_give_a_flat_decaying_line() {
    let mut times = PrefillTimes::default();
    (0..100).for_each(|_| times.record(1_000, 300));
    assert_eq!(times.expected_ms(5_000), 300);
    (0..400).for_each(|_| times.record(1_000, 100));
    assert!(times.expected_ms(1_000) <= 101);
}

#[test]
fn base_and_slope_are_never_negative() {
    let mut times = PrefillTimes::default();
    for index in 0..100 {
        times.record(1_000 + index, 400 - index);
    }
    assert!(times.expected_ms(100_000) <= 400);
    let mut times = PrefillTimes::default();
    (0..50).for_each(|index| times.record(1_000 + index, index * 20));
    assert!(times.expected_ms(0) <= 1_000);
}
