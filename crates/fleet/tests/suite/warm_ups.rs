//! Tests of the warm-ups of targets, as derived from their records.

use hollowsail_fleet::{Position, WarmUpRecord, WarmUps};

fn record(revision: u64, remaining_ms: u64) -> WarmUpRecord<'static> {
    WarmUpRecord {
        incarnation: "i-1",
        at: Position::new(0, revision),
        remaining_ms,
    }
}

#[test]
fn warm_up_counts_from_first_read_of_record() {
    let mut warm_ups = WarmUps::default();
    warm_ups.replace(1_000, [record(5, 3_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(4_000));
    warm_ups.replace(2_500, [record(5, 3_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(4_000), "the same record");
}

#[test]
fn warm_up_can_repeat_and_end() {
    let mut warm_ups = WarmUps::default();
    warm_ups.replace(0, [record(5, 3_000)].into_iter());
    warm_ups.replace(10_000, [record(9, 2_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(12_000));
    warm_ups.replace(11_000, std::iter::empty());
    assert_eq!(warm_ups.until("i-1"), None);
}
