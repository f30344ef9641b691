//! How far a list is behind the store.

use hollowsail_fleet::{ListFreshness, Position};

#[test]
fn list_of_an_earlier_epoch_is_reported_once_for_each_epoch() {
    let mut list = ListFreshness::default();
    list.confirm(100, Position::new(1, 52));
    assert_eq!(list.check(200, 1), None);
    assert_eq!(list.check(1_000, 2), None);
    assert_eq!(list.check(2_000, 2), None, "it may be read for a second");
    assert_eq!(list.check(2_500, 2), Some(1_500));
    assert_eq!(list.check(9_000, 2), None);
    assert_eq!(list.check(9_500, 3), None);
    assert_eq!(list.check(11_000, 3), Some(1_500));
    assert_eq!(list.age(11_000), Some(10_900));
}

#[test]
fn list_that_reaches_the_newest_epoch_in_time_is_not_reported() {
    let mut list = ListFreshness::default();
    assert_eq!(list.check(5_000, 2), None, "there is no list yet");
    list.confirm(5_100, Position::new(1, 9));
    assert_eq!(list.check(5_200, 2), None);
    list.confirm(6_000, Position::new(2, 3));
    assert_eq!(list.check(9_000, 2), None);
    assert_eq!(
        (list.at(), list.age(9_000)),
        (Position::new(2, 3), Some(3_000))
    );
}
