//! Watches how late this entry's traffic thread is, and tells when that makes it slow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_observe::events;

use crate::traffic::Traffic;

/// Between two looks. Each costs some microseconds.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Looks until the thread ends.
pub async fn watch(cx: Rc<Traffic>) {
    loop {
        let due = Instant::now() + LOOK_EVERY;
        tokio::time::sleep_until(due.into()).await;
        let late = due.elapsed().as_millis() as u64;
        let mut pace = cx.pace.get();
        let changed = pace.woke(cx.clock.now(), late);
        cx.pace.set(pace);
        if changed {
            let fields = format_args!("is_slow={} late_ms={:.1}", pace.is_slow(), pace.late_ms());
            cx.log.line(events::PACE, fields);
            cx.pools.hand_over(&cx);
        }
    }
}
