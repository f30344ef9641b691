//! Requests that an entry that stops may still send.

use std::time::Duration;

use hollowsail_routing::planned_stop::{ends_in_time, ExpectedTime};

const LEFT: Duration = Duration::from_secs(2);

fn expected(usual_ms: Option<u64>, is_repeatable: bool) -> ExpectedTime {
    ExpectedTime {
        until_deadline: Duration::from_secs(8),
        usual: usual_ms.map(Duration::from_millis),
        target_latency: Duration::from_millis(300),
        is_repeatable,
    }
}

#[test]
fn request_is_sent_if_recent_ones_ended_in_the_time_left() {
    assert!(ends_in_time(LEFT, expected(Some(2_000), false)));
    assert!(!ends_in_time(LEFT, expected(Some(2_001), false)));
    assert!(!ends_in_time(LEFT, expected(Some(2_001), true)));
}

#[test]
fn request_is_sent_if_its_deadline_comes_before_the_exit() {
    let expected = ExpectedTime {
        until_deadline: LEFT,
        ..expected(Some(5_000), false)
    };
    assert!(ends_in_time(LEFT, expected));
}

#[test]
fn request_of_unknown_length_is_sent_only_if_it_may_be_repeated() {
    assert!(ends_in_time(LEFT, expected(None, true)));
    assert!(!ends_in_time(LEFT, expected(None, false)));
    assert!(!ends_in_time(
        Duration::from_millis(200),
        expected(None, true)
    ));
}
