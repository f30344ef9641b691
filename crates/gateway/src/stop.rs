//! A planned stop that cuts no request.
//!
//! Not ready at once, so that the balancer sends no new connections; go on
//! accepting while it may lag; then close callers' connections between
//! requests; leave when nothing is in flight, or just before the platform
//! kills the process.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use hollowsail_observe::events;
use tokio::time::{sleep, Instant};

use crate::traffic::Traffic;

/// Time until the balancer has stopped sending connections: it asks each
/// second and takes two misses, and its last one may still be coming up.
const BALANCER_LAG: Duration = Duration::from_millis(3_200);
/// Time before the platform's kill at which the process leaves whatever is in
/// flight.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// Between two looks at what is in flight.
const PAUSE: Duration = Duration::from_millis(25);
/// Time for last bytes to leave the sockets.
const FLUSH: Duration = Duration::from_millis(50);

/// Runs a planned stop to its end; the process may end after.
pub async fn run(cx: &Rc<Traffic>, accepting: JoinHandle<()>) {
    let latest = Instant::now() + cx.settings().grace().saturating_sub(BEFORE_KILL);
    cx.stopping.set(true);
    cx.log.line(
        events::STOP_BEGUN,
        format_args!(
            "in_flight={} connections={}",
            cx.in_flight.get(),
            cx.connections.get()
        ),
    );
    sleep(BALANCER_LAG.min(cx.settings().grace() / 2)).await;
    cx.close_idle.notify_waiters();
    while cx.connections.get() > 0 && Instant::now() < latest {
        sleep(PAUSE).await;
    }
    accepting.abort();
    cx.log.line(
        events::STOP_DRAINED,
        format_args!(
            "in_flight={} connections={}",
            cx.in_flight.get(),
            cx.connections.get()
        ),
    );
    sleep(FLUSH).await;
}
