//! Watches how late this entry's traffic thread is, and tells when that makes it slow, and
//! when the host was suspended.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::{suspended, Moment};
use hollowsail_observe::events;

use crate::traffic::Traffic;

/// Between two looks. Each costs some microseconds.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Looks until the thread ends.
pub async fn watch(cx: Rc<Traffic>) {
    let mut suspended_before = suspended();
    loop {
        let due = Moment::now() + LOOK_EVERY;
        tokio::time::sleep_until(due.timer().into()).await;
        let suspended_now = suspended();
        let away = suspended_now.saturating_sub(suspended_before);
        suspended_before = suspended_now;
        if !away.is_zero() {
            let fields = format_args!("suspended_ms={}", away.as_millis());
            cx.log.line(events::HOST_WOKE, fields);
        }
        take_lateness(&cx, due.elapsed());
    }
}

fn take_lateness(cx: &Rc<Traffic>, late: Duration) {
    let mut pace = cx.pace.get();
    let changed = pace.woke(cx.clock.now(), late.as_millis() as u64);
    cx.pace.set(pace);
    if changed {
        let fields = format_args!("is_slow={} late_ms={:.1}", pace.is_slow(), pace.late_ms());
        cx.log.line(events::PACE, fields);
        cx.pools.hand_over(cx);
    }
}
