//! A planned stop that interrupts no request.
//!
//! The entry reports itself as not ready at once and keeps serving until the load balancer has
//! noticed. Then it refuses new requests, which could not finish in time, and closes idle
//! connections of callers. It exits when nothing is in flight, or just before the platform
//! kills the process.
//!
//! A request asks [`check`] before each step that may take long, and again when it is sent. What still
//! waits when the exit is near is answered all the same ([`refusal_at_exit`]).

use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use hollowsail_clock::BootInstant;
use hollowsail_observe::events::{self, Event};
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_routing::planned_stop::{ends_in_time, ExpectedTime};
use tokio::time::sleep;

use crate::answer::Refusal;
use crate::request::{Admitted, PendingKey, WaitsFor};
use crate::traffic::{Stopping, Traffic};

/// Time until the load balancer sends no more connections: it checks each second, acts on the
/// second failure, and a last connection may still be in setup.
const BALANCER_LAG: Duration = Duration::from_millis(2_900);
/// Time before the platform's kill at which the process exits in any case.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit at which requests that were not sent to a target yet are refused.
const FINAL_SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Time before the exit at which the other requests are answered.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Retry-After during a stop: short, but long enough to spread the retries. Other entries serve at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Interval between checks of the open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the sockets to send their last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Runs a planned stop; the process may exit when it returns.
pub async fn run(cx: &Rc<Traffic>, accepting: JoinHandle<()>) {
    let grace = cx.settings().grace();
    let begun = BootInstant::now();
    let in_grace = |margin: Duration| begun + grace.saturating_sub(KILL_MARGIN + margin);
    cx.last_answers_at.set(Some(in_grace(LAST_ANSWER_MARGIN)));
    cx.stopping.set(Stopping::Serving);
    log_step(cx, events::STOP_BEGUN);
    sleep(BALANCER_LAG.min(grace / 2)).await;
    cx.stopping.set(Stopping::RefusingNew);
    cx.close_idle.notify_waiters();
    drain_until(cx, in_grace(FINAL_SHUTDOWN_MARGIN)).await;
    cx.final_shutdown.set();
    drain_until(cx, in_grace(LAST_ANSWER_MARGIN)).await;
    cx.last_answers.set();
    drain_until(cx, in_grace(Duration::ZERO)).await;
    accepting.abort();
    log_step(cx, events::STOP_DRAINED);
    sleep(FLUSH_TIME).await;
    cx.pending.log_all(&cx.log);
}

/// Waits until no caller is connected and nothing runs for peers, at most until `latest`.
async fn drain_until(cx: &Traffic, latest: BootInstant) {
    let is_idle =
        || cx.connections.get() == 0 && cx.reach.relayed() == 0 && !cx.pools.has_running_calls();
    while !is_idle() && BootInstant::now() < latest {
        sleep(POLL_INTERVAL).await;
    }
}

/// The refusal of a request that wasn't sent.
pub fn refusal(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::Stopping, detail).with_retry_after(RETRY_AFTER)
}

/// Refuses a request that isn't expected to end at a service before the process exits.
pub fn check(cx: &Traffic, admitted: &Admitted, service: ServiceKey) -> Result<(), Refusal> {
    match may_send(cx, admitted, service) {
        true => Ok(()),
        false => Err(refusal(
            "this entry is shutting down before the request could end",
        )),
    }
}

/// False if a request isn't expected to end before the process exits.
pub fn may_send(cx: &Traffic, admitted: &Admitted, service: ServiceKey) -> bool {
    let Some(last_answers_at) = cx.last_answers_at.get() else {
        return true;
    };
    let route = admitted.route();
    let expected = ExpectedTime {
        until_deadline: admitted.remaining(),
        usual: cx.usual_time(&admitted.deployment, service, route.repeat.is_stream()),
        target_latency: route.target_latency,
        is_repeatable: route.repeat.is_repeatable(),
    };
    ends_in_time(
        last_answers_at.saturating_since(BootInstant::now()),
        expected,
    )
}

/// Waits until a request has to be answered because the process exits. One that no target got is refused
/// first, so that its caller has time to repeat it elsewhere.
pub async fn refusal_at_exit(cx: &Traffic, key: PendingKey) -> Refusal {
    cx.final_shutdown.wait().await;
    while cx.pending.waits_for(key) == Some(WaitsFor::Answer) && !cx.last_answers.is_set() {
        sleep(POLL_INTERVAL).await;
    }
    match cx.pending.may_have_run(key) {
        false => refusal("this entry stopped before the request was sent"),
        true => Refusal::new(
            ErrorKind::TargetFailed,
            "this entry stopped before the target had answered",
        ),
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
