//! How long engines need for a prompt.

use hollowsail_routing::ReadingTimes;

#[test]
fn a_first_guess_counts_until_some_times_are_known() {
    let mut times = ReadingTimes::default();
    assert_eq!(times.expected_ms(1_000), 130);
    (0..5).for_each(|_| times.record(1_000, 900));
    assert_eq!(times.expected_ms(1_000), 130);
}

#[test]
fn longer_prompts_are_expected_later() {
    let mut times = ReadingTimes::default();
    for at in 0..100 {
        let tokens = 500 + at % 10 * 400;
        times.record(tokens, 50 + tokens / 20);
    }
    for (tokens, ms) in [(0, 50), (2_000, 150), (10_000, 550)] {
        let got = times.expected_ms(tokens);
        assert!(got.abs_diff(ms) <= 2, "{tokens} tokens: {got}, not {ms}");
    }
}

#[test]
fn prompts_of_one_length_say_nothing_of_others_and_old_times_fade() {
    let mut times = ReadingTimes::default();
    (0..100).for_each(|_| times.record(1_000, 300));
    assert_eq!(times.expected_ms(5_000), 300);
    (0..400).for_each(|_| times.record(1_000, 100));
    assert!(times.expected_ms(1_000) <= 101);
}

#[test]
fn no_line_falls_below_nothing() {
    let mut times = ReadingTimes::default();
    for at in 0..100 {
        times.record(1_000 + at, 400 - at);
    }
    assert!(times.expected_ms(100_000) <= 400);
    let mut times = ReadingTimes::default();
    (0..50).for_each(|at| times.record(1_000 + at, at * 20));
    assert!(times.expected_ms(0) <= 1_000);
}
