//! Tests of the warm-ups of targets, as derived from their records.

use hollowsail_fleet::{ColdRecord, ColdSpells, Position};

fn record(revision: u64, cold_ms: u64) -> ColdRecord<'static> {
    ColdRecord {
        incarnation: "i-1",
        at: Position::new(0, revision),
        cold_ms,
    }
}

#[test]
fn warm_up_counts_from_first_sight_of_record() {
    let mut warm_ups = ColdSpells::default();
    warm_ups.take(1_000, [record(5, 3_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(4_000));
    warm_ups.take(2_500, [record(5, 3_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(4_000), "the same record");
}

#[test]
fn warm_up_can_repeat_and_end() {
    let mut warm_ups = ColdSpells::default();
    warm_ups.take(0, [record(5, 3_000)].into_iter());
    warm_ups.take(10_000, [record(9, 2_000)].into_iter());
    assert_eq!(warm_ups.until("i-1"), Some(12_000));
    warm_ups.take(11_000, std::iter::empty());
    assert_eq!(warm_ups.until("i-1"), None);
}
