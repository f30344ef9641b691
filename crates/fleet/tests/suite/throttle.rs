//! Messages on subjects that change often.

use hollowsail_fleet::{Tell, Throttle};

#[test]
fn the_first_change_is_told_at_once_and_those_soon_after_together() {
    let throttle = Throttle::new(250);
    assert_eq!(throttle.changed(100, &"a"), Tell::Now);
    assert_eq!(throttle.changed(110, &"a"), Tell::At(350));
    assert_eq!(throttle.changed(120, &"a"), Tell::IsDue);
    assert_eq!(throttle.changed(120, &"b"), Tell::Now, "another subject");
    throttle.told(350, &"a");
    assert_eq!(throttle.changed(360, &"a"), Tell::At(600), "again a pause");
    throttle.told(600, &"a");
    assert_eq!(throttle.changed(850, &"a"), Tell::Now, "the pause is over");
}

/// A subject that changes a thousand times a second is told four times a second, and its
/// last change is told, too.
#[test]
fn a_subject_that_always_changes_is_told_as_often_as_the_pause_allows() {
    let throttle = Throttle::new(250);
    let (mut told, mut due) = (Vec::new(), None);
    for now in 0..2_000 {
        if due == Some(now) {
            throttle.told(now, &());
            told.push(now);
            due = None;
        }
        match throttle.changed(now, &()) {
            Tell::Now => told.push(now),
            Tell::At(at) => due = Some(at),
            Tell::IsDue => {}
        }
    }
    assert_eq!(told, [0, 250, 500, 750, 1_000, 1_250, 1_500, 1_750]);
    assert_eq!(due, Some(2_000), "the last change");
}
