//! Time across suspensions of a host.

use std::time::{Duration, Instant};

use hollowsail_clock::{suspension, BootInstant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn suspension_is_boot_time_beyond_monotonic() {
    assert_eq!(suspension(ms(1_000), ms(1_000)), ms(0));
    assert_eq!(suspension(ms(1_000), ms(1_003)), ms(0), "clock jitter");
    assert_eq!(suspension(ms(1_003), ms(1_000)), ms(0));
    assert_eq!(suspension(ms(1_000), ms(11_000)), ms(10_000));
}

#[test]
fn elapsed_time_includes_suspension() {
    let start = Instant::now();
    let before = BootInstant::new(start, ms(0));
    let after = BootInstant::new(start + ms(200), ms(10_000));
    assert_eq!(after.saturating_since(before), ms(10_200));
    assert_eq!(before.saturating_since(after), ms(0));
    assert!(after > before);
}

/// Guards against a deadline that is extended by a suspension of the host.
#[test]
fn deadline_passes_during_suspension() {
    let start = Instant::now();
    let deadline = BootInstant::new(start, ms(0)) + ms(2_000);
    let resumed = BootInstant::new(start + ms(100), ms(10_000));
    assert!(resumed > deadline);
    assert_eq!(deadline.saturating_since(resumed), ms(0), "no time is left");
    let not_suspended = BootInstant::new(start + ms(100), ms(0));
    assert_eq!(deadline.saturating_since(not_suspended), ms(1_900));
}

/// Guards against an order by the monotonic clock alone.
#[test]
fn order_counts_monotonic_time_and_suspension() {
    let start = Instant::now();
    let a = BootInstant::new(start + ms(5_000), ms(0));
    let b = BootInstant::new(start, ms(6_000));
    assert!(b > a);
    assert_eq!(b - a, ms(1_000));
    assert_eq!(a, BootInstant::new(start, ms(5_000)));
}

#[test]
fn now_and_timers_use_the_present() {
    let now = BootInstant::now();
    assert!(now.elapsed() < ms(1_000));
    let timer = (now + ms(300)).to_instant();
    let remaining = timer.saturating_duration_since(Instant::now());
    assert!(remaining <= ms(300) && remaining > ms(100), "{remaining:?}");
}
