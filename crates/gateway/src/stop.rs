//! A planned stop that cuts no request.
//!
//! Not ready at once, so that the balancer sends no new connections; go on
//! serving while it may lag; then refuse what comes, which could not end in
//! time, and close callers' connections between requests; leave when nothing is
//! in flight, or just before the platform kills the process.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use hollowsail_observe::events::{self, Event};
use tokio::time::{sleep, Instant};

use crate::traffic::{Stopping, Traffic};

/// Time until the balancer has stopped sending connections: it asks each
/// second and takes two misses, and its last one may still be coming up.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// Time before the platform's kill at which the process leaves whatever is in
/// flight.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// Time before the end at which requests that no target has yet are refused.
const LAST_CALL: Duration = Duration::from_millis(500);
/// Between two looks at what is in flight.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for last bytes to leave the sockets.
const FLUSH: Duration = Duration::from_millis(50);

/// Runs a planned stop to its end; the process may end after.
pub async fn run(cx: &Rc<Traffic>, accepting: JoinHandle<()>) {
    let latest = Instant::now() + cx.settings().grace().saturating_sub(BEFORE_KILL);
    cx.stopping.set(Stopping::Serving);
    log_step(cx, events::STOP_BEGUN);
    sleep(BALANCER_LAG.min(cx.settings().grace() / 2)).await;
    cx.stopping.set(Stopping::RefusingNew);
    cx.close_idle.notify_waiters();
    drain_until(cx, latest - LAST_CALL).await;
    cx.last_call.notify_waiters();
    drain_until(cx, latest).await;
    accepting.abort();
    log_step(cx, events::STOP_DRAINED);
    sleep(FLUSH).await;
}

/// Waits until no caller is connected, at the longest until a moment.
async fn drain_until(cx: &Traffic, latest: Instant) {
    while cx.connections.get() > 0 && Instant::now() < latest {
        sleep(PAUSE).await;
    }
}

/// Writes a line with what is still there.
fn log_step(cx: &Traffic, step: Event) {
    cx.log.line(
        step,
        format_args!(
            "in_flight={} connections={}",
            cx.in_flight.get(),
            cx.connections.get()
        ),
    );
}
