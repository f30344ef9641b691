//! Tests of the rate limit for messages on subjects that change often.

use hollowsail_fleet::{SendTime, Throttle};

#[test]
fn first_change_is_sent_now_later_ones_combined() {
    let throttle = Throttle::new(250);
    assert_eq!(throttle.changed(100, &"a"), SendTime::Now);
    assert_eq!(throttle.changed(110, &"a"), SendTime::At(350));
    assert_eq!(throttle.changed(120, &"a"), SendTime::Scheduled);
    assert_eq!(
        throttle.changed(120, &"b"),
        SendTime::Now,
        "another subject"
    );
    throttle.record_sent(350, &"a");
    assert_eq!(
        throttle.changed(360, &"a"),
        SendTime::At(600),
        "another pause"
    );
    throttle.record_sent(600, &"a");
    assert_eq!(
        throttle.changed(850, &"a"),
        SendTime::Now,
        "the pause is over"
    );
}

/// A subject that changes every millisecond must be sent once per pause, its last change
/// included.
#[test]
fn constant_changes_are_sent_once_per_pause() {
    let throttle = Throttle::new(250);
    let (mut sent, mut scheduled) = (Vec::new(), None);
    for now in 0..2_000 {
        if scheduled == Some(now) {
            throttle.record_sent(now, &());
            sent.push(now);
            scheduled = None;
        }
        match throttle.changed(now, &()) {
            SendTime::Now => sent.push(now),
            SendTime::At(at) => scheduled = Some(at),
            SendTime::Scheduled => {}
        }
    }
    assert_eq!(sent, [0, 250, 500, 750, 1_000, 1_250, 1_500, 1_750]);
    assert_eq!(scheduled, Some(2_000), "the last change");
}
