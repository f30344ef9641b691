//! Whether the store answers, by the calls of all loops.

use hollowsail_fleet::store_contact::{ContactChange, StoreContact};

fn regained(epoch_before: Option<u64>) -> ContactChange {
    ContactChange {
        is_regained: true,
        epoch_before,
    }
}

/// Guards against an outage that ends with a restore and is announced as neither.
#[test]
fn answer_of_a_new_epoch_ends_an_outage_and_begins_the_epoch() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.record_answer(10, 1), ContactChange::default());
    assert!(contact.record_failure(None));
    assert!(!contact.record_failure(None), "it is unreachable already");
    assert!(!contact.is_reachable());
    assert_eq!(contact.record_answer(500, 2), regained(Some(1)));
    assert!(contact.is_reachable());
    assert_eq!(contact.record_answer(600, 2), ContactChange::default());
    assert!(contact.record_failure(None));
    assert_eq!(contact.record_answer(700, 2), regained(None));
}

#[test]
fn stale_answer_shows_the_epoch_but_ends_no_outage() {
    let mut contact = StoreContact::default();
    assert_eq!(contact.record_epoch(1), ContactChange::default());
    contact.record_failure(None);
    let change = contact.record_epoch(2);
    assert_eq!((change.is_regained, change.epoch_before), (false, Some(1)));
    assert!(!contact.is_reachable());
}

#[test]
fn call_that_began_before_the_last_answer_shows_no_outage() {
    let mut contact = StoreContact::default();
    contact.record_answer(1_000, 1);
    assert!(!contact.record_failure(Some(900)));
    assert!(contact.is_reachable());
    assert!(contact.record_failure(Some(1_000)));
}
