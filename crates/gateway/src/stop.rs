//! A planned stop that interrupts no request.
//!
//! The entry reports itself as not ready at once and keeps serving until the load balancer has
//! noticed. Then it refuses new requests, which could not finish in time, and closes idle
//! connections of callers. It exits when nothing is in flight, or just before the platform
//! kills the process.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use hollowsail_observe::events::{self, Event};
use tokio::time::{sleep, Instant};

use crate::traffic::{Stopping, Traffic};

/// Time until the load balancer sends no more connections: it checks each second, acts on the
/// second failure, and a last connection may still be in setup.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// Time before the platform's kill at which the process exits in any case.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit at which requests that were not sent to a target yet are refused.
const FINAL_SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Interval between checks of the open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the sockets to send their last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs a planned stop; the process may exit when it returns.
pub async fn run(cx: &Rc<Traffic>, accepting: JoinHandle<()>) {
    let latest = Instant::now() + cx.settings().grace().saturating_sub(KILL_MARGIN);
    cx.stopping.set(Stopping::Serving);
    log_step(cx, events::STOP_BEGUN);
    sleep(BALANCER_LAG.min(cx.settings().grace() / 2)).await;
    cx.stopping.set(Stopping::RefusingNew);
    cx.close_idle.notify_waiters();
    drain_until(cx, latest - FINAL_SHUTDOWN_MARGIN).await;
    cx.final_shutdown.set();
    drain_until(cx, latest).await;
    accepting.abort();
    log_step(cx, events::STOP_DRAINED);
    sleep(FLUSH_TIME).await;
    cx.pending.log_all(&cx.log);
}

/// Waits until no caller is connected and nothing is relayed for peers, at most until `latest`.
async fn drain_until(cx: &Traffic, latest: Instant) {
    let is_idle = || cx.connections.get() == 0 && cx.reach.relayed() == 0;
    while !is_idle() && Instant::now() < latest {
        sleep(POLL_INTERVAL).await;
    }
}

/// Logs a step of the stop with the requests and connections that remain.
fn log_step(cx: &Traffic, step: Event) {
    cx.log.line(
        step,
        format_args!(
            "in_flight={} connections={} relayed={}",
            cx.in_flight.get(),
            cx.connections.get(),
            cx.reach.relayed()
        ),
    );
}
