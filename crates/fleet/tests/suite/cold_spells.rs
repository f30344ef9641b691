//! Cold spells of targets, by their records.

use hollowsail_fleet::{ColdRecord, ColdSpells, Position};

fn record(revision: u64, cold_ms: u64) -> ColdRecord<'static> {
    ColdRecord {
        incarnation: "i-1",
        at: Position::new(0, revision),
        cold_ms,
    }
}

#[test]
fn a_spell_is_counted_from_when_its_record_was_first_seen() {
    let mut spells = ColdSpells::default();
    spells.take(1_000, [record(5, 3_000)].into_iter());
    assert_eq!(spells.until("i-1"), Some(4_000));
    spells.take(2_500, [record(5, 3_000)].into_iter());
    assert_eq!(spells.until("i-1"), Some(4_000), "the same record");
}

#[test]
fn a_target_may_turn_cold_again_and_be_warm() {
    let mut spells = ColdSpells::default();
    spells.take(0, [record(5, 3_000)].into_iter());
    spells.take(10_000, [record(9, 2_000)].into_iter());
    assert_eq!(spells.until("i-1"), Some(12_000));
    spells.take(11_000, std::iter::empty());
    assert_eq!(spells.until("i-1"), None);
}
