//! Measures the event-loop lag of the traffic thread, and detects that the host was suspended.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::{suspended, BootInstant};
use hollowsail_observe::events;
use hollowsail_routing::event_loop_lag::MEASURE_INTERVAL_MS;

use crate::traffic::Traffic;

/// Interval between measurements.
const MEASURE_INTERVAL: Duration = Duration::from_millis(MEASURE_INTERVAL_MS);

/// Measures until the thread ends.
pub async fn watch(cx: Rc<Traffic>) {
    let mut suspended_earlier = suspended();
    loop {
        let due = BootInstant::now() + MEASURE_INTERVAL;
        tokio::time::sleep_until(due.to_instant().into()).await;
        let suspended_now = suspended();
        let suspended_for = suspended_now.saturating_sub(suspended_earlier);
        suspended_earlier = suspended_now;
        if !suspended_for.is_zero() {
            let fields = format_args!("suspended_ms={}", suspended_for.as_millis());
            cx.log.line(events::HOST_WOKE, fields);
        }
        record_lag(&cx, due.elapsed());
    }
}

fn record_lag(cx: &Rc<Traffic>, lag: Duration) {
    let mut event_loop_lag = cx.lag.get();
    let changed = event_loop_lag.record(cx.clock.now(), lag.as_millis() as u64);
    cx.lag.set(event_loop_lag);
    if changed {
        let fields = format_args!(
            "is_slow={} late_ms={:.1}",
            event_loop_lag.is_lagging(),
            event_loop_lag.lag_ms()
        );
        cx.log.line(events::PACE, fields);
        cx.pools.hand_over(cx);
        if !cx.declines_ownership() {
            cx.peers.end_declining(cx);
        }
    }
}
