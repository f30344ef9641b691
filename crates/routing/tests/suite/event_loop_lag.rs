//! Detection of a lagging event loop.

use hollowsail_routing::EventLoopLag;

/// Interval between two timers, in milliseconds.
const INTERVAL_MS: u64 = 50;

/// Records timers that are `late` for `for_ms`; returns whether the process lags then.
fn run(lag: &mut EventLoopLag, from: u64, for_ms: u64, late: u64) -> bool {
    for now in (from..from + for_ms).step_by(INTERVAL_MS as usize) {
        lag.record(now, late);
    }
    lag.is_lagging()
}

#[test]
fn late_timers_are_detected_within_500_ms() {
    let mut lag = EventLoopLag::default();
    assert!(!run(&mut lag, 0, 10_000, 2));
    assert!(run(&mut lag, 10_000, 500, 30));
}

#[test]
fn single_late_timer_is_ignored() {
    let mut lag = EventLoopLag::default();
    run(&mut lag, 0, 1_000, 1);
    lag.record(1_000, 2_000);
    assert!(!lag.is_lagging());
    lag.record(1_050, 900);
    assert!(!lag.is_lagging(), "two late timers are ignored");
}

#[test]
fn recovery_takes_a_while_on_time() {
    let mut lag = EventLoopLag::default();
    run(&mut lag, 0, 1_000, 40);
    assert!(
        run(&mut lag, 1_000, 3_000, 1),
        "on time for less than the recovery time"
    );
    assert!(run(&mut lag, 4_000, 500, 30), "late again");
    assert!(run(&mut lag, 4_500, 4_000, 1));
    assert!(!run(&mut lag, 8_500, 1_500, 1));
}

#[test]
fn each_change_is_reported_once() {
    let mut lag = EventLoopLag::default();
    let late = [vec![1; 50], vec![40; 50], vec![1; 200]].concat();
    let times = late.into_iter().enumerate();
    let changes = times.filter(|(index, late)| lag.record(*index as u64 * INTERVAL_MS, *late));
    assert_eq!(changes.count(), 2);
}

// Guards against requests that count as sent when a process reads them after it stood still.
#[test]
fn first_timer_after_a_standstill_doesnt_show_that_all_was_read() {
    let mut lag = EventLoopLag::default();
    assert_eq!(lag.all_read_until(), 0);
    run(&mut lag, 0, 1_000, 1);
    assert_eq!(lag.all_read_until(), 900);
    lag.record(13_000, 12_000);
    assert_eq!(lag.all_read_until(), 950);
}

/// Guards against conclusions from messages that were missed while the process stood still.
#[test]
fn standstill_is_remembered_for_what_began_before_its_end() {
    let mut lag = EventLoopLag::default();
    run(&mut lag, 0, 1_000, 2);
    assert!(!lag.has_stalled_since(0, 1_100));
    assert!(lag.has_stalled_since(1_000, 1_450), "no timer fired since");
    lag.record(1_500, 450);
    run(&mut lag, 1_550, 1_000, 2);
    assert!(lag.has_stalled_since(1_100, 2_600) && lag.has_stalled_since(1_500, 2_600));
    assert!(!lag.has_stalled_since(1_501, 2_600));
}
