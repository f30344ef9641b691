//! Two clocks that drift apart while a host is suspended.

use std::time::{Duration, Instant};

use hollowsail_clock::{suspension, Moment};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_suspension_is_what_the_boot_clock_is_ahead() {
    assert_eq!(suspension(ms(1_000), ms(1_000)), ms(0));
    assert_eq!(
        suspension(ms(1_000), ms(1_003)),
        ms(0),
        "read one after the other"
    );
    assert_eq!(suspension(ms(1_003), ms(1_000)), ms(0));
    assert_eq!(suspension(ms(1_000), ms(11_000)), ms(10_000));
}

#[test]
fn time_goes_on_while_the_steady_clock_stands_still() {
    let start = Instant::now();
    let before = Moment::at(start, ms(0));
    let after = Moment::at(start + ms(200), ms(10_000));
    assert_eq!(after.saturating_since(before), ms(10_200));
    assert_eq!(before.saturating_since(after), ms(0));
    assert!(after > before);
}

/// A host sleeps ten seconds in the middle of a request with two seconds left.
#[test]
fn a_deadline_passes_while_the_host_is_suspended() {
    let start = Instant::now();
    let until = Moment::at(start, ms(0)) + ms(2_000);
    let woken = Moment::at(start + ms(100), ms(10_000));
    assert!(woken > until);
    assert_eq!(until.saturating_since(woken), ms(0), "nothing is left");
    let awake = Moment::at(start + ms(100), ms(0));
    assert_eq!(until.saturating_since(awake), ms(1_900));
}

/// A later moment of a host that was suspended less than another's is ordered by both.
#[test]
fn moments_are_ordered_by_steady_time_and_suspension_together() {
    let start = Instant::now();
    let a = Moment::at(start + ms(5_000), ms(0));
    let b = Moment::at(start, ms(6_000));
    assert!(b > a);
    assert_eq!(b - a, ms(1_000));
    assert_eq!(a, Moment::at(start, ms(5_000)));
}

#[test]
fn the_clocks_of_this_host_agree_on_the_present() {
    let now = Moment::now();
    assert!(now.elapsed() < ms(1_000));
    let timer = (now + ms(300)).timer();
    let waits = timer.saturating_duration_since(Instant::now());
    assert!(waits <= ms(300) && waits > ms(100), "{waits:?}");
}
