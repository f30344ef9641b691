use hollowsail_streams::origin_table::MAX_RECORDS;
use hollowsail_streams::{OriginTable, Recorded};

use crate::{build, key};

#[test]
fn a_record_is_kept_until_it_expires() {
    let mut table = OriginTable::default();
    table.record(0, key(1), &build("v1"), 1_000);
    assert_eq!(table.get(999, key(1)), Some(Recorded::Build(build("v1"))));
    assert_eq!(table.get(1_000, key(1)), None);
    assert_eq!(table.get(0, key(2)), None);
    table.record(1_000, key(2), &build("v2"), 2_000);
    assert_eq!(table.len(), 1, "the expired record is gone");
    assert_eq!(table.get(1_500, key(2)), Some(Recorded::Build(build("v2"))));
}

#[test]
fn a_repeated_record_is_kept_longer() {
    let mut table = OriginTable::default();
    table.record(0, key(1), &build("v1"), 2_000);
    table.record(500, key(1), &build("v1"), 1_000);
    table.record(900, key(1), &build("v1"), 3_000);
    assert_eq!(table.get(2_500, key(1)), Some(Recorded::Build(build("v1"))));
}

#[test]
fn records_of_different_builds_are_ambiguous() {
    let mut table = OriginTable::default();
    table.record(0, key(1), &build("v1"), 1_000);
    table.record(0, key(1), &build("v2"), 1_000);
    table.record(0, key(1), &build("v1"), 1_000);
    assert_eq!(table.get(0, key(1)), Some(Recorded::Ambiguous));
}

#[test]
fn a_flood_of_ids_is_bounded() {
    let mut table = OriginTable::default();
    for number in 0..=MAX_RECORDS {
        table.record(0, key(number), &build("v1"), 1_000 + number as u64);
    }
    assert_eq!(table.len(), MAX_RECORDS);
    assert_eq!(table.get(0, key(0)), None, "the first to expire gave way");
    assert!(table.get(0, key(MAX_RECORDS)).is_some());
}

#[test]
fn records_that_need_copies_are_taken_once_when_their_service_is_due() {
    let mut table = OriginTable::default();
    for number in 1..=2 {
        table.record(0, key(number), &build("v1"), 1_000);
    }
    table.set_needs_copies(key(1));
    assert_eq!(table.take_uncopied(0, |_| false), Vec::new());
    let taken = table.take_uncopied(400, |service| service == "engines");
    assert_eq!(taken, vec![(key(1), build("v1"), 600)]);
    assert_eq!(table.take_uncopied(400, |_| true), Vec::new());
}
