//! Serves one request from its headers to the end of its answer.
//!
//! [`admit`] reads it; [`unservable`], [`crate::reservations`] and [`forecast`] refuse it if it
//! can't be served, or not in time, and [`stream_version`] if it can't resume its stream; [`prepare`] runs its stages; [`dispatch`] sends it to targets. [`relay`] passes on short
//! answers and [`stream`] event streams. A request without a target's answer ends in a [`Refusal`].

mod admit;
mod attempt;
mod attempts;
mod choose;
mod completeness;
mod digest;
mod dispatch;
mod event_splitter;
mod forecast;
mod pending;
mod prepare;
mod relay;
mod retry;
mod select;
mod stream;
mod stream_version;
mod unservable;

use std::rc::Rc;

use hollowsail_clock::BootInstant;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_observe::{events as catalogue, ErrorKind};
use hollowsail_platform::headers;
use hollowsail_routing::repeats::RepeatReason;
use hyper::body::Incoming;

use crate::answer::{AnswerStream, Refusal};
use crate::metrics;
use crate::reservations::{self, ReservedRoom};
use crate::stop;
use crate::traffic::Traffic;

use attempts::{Attempts, Destination};

pub use admit::Admitted;
pub use attempt::{Failure, Unconnected};
pub use forecast::max_return;
pub use pending::{PendingKey, PendingRequests, WaitsFor};
pub use prepare::{stage_due, stage_graph};
pub use stream_version::copy_records_when_contested;

/// Maximum number of times that the stages are run again because the engine no longer has their
/// results.
const MAX_STAGE_RERUNS: u32 = 1;

/// Values for the log line of a request.
#[derive(Debug, Default)]
struct RequestStats {
    attempts: u32,
    stages_ms: u64,
    last_target: String,
}

/// Serves one request. A request that fails is answered with its refusal.
pub async fn serve(cx: Rc<Traffic>, req: http::Request<Incoming>) -> http::Response<AnswerStream> {
    let arrived = BootInstant::now();
    let (head, body) = req.into_parts();
    let mut stats = RequestStats::default();
    let id = headers::request_id(&head.headers).unwrap_or("none");
    let mut pending = PendingAnswer::new(&cx, id, arrived);
    let admitted = match admit::admit(&cx, pending.key, head, body, arrived).await {
        Ok(admitted) => Rc::new(admitted),
        Err(rejected) => {
            let id = rejected.request_id.as_deref();
            let labels = LogLabels {
                request_id: id.unwrap_or("none"),
                route: "none",
                service: "none",
            };
            pending.finished();
            log_end(&cx, &labels, &stats, arrived, Err(&rejected.refusal));
            return rejected.refusal.into_response(id);
        }
    };
    pending.admitted = Some(admitted.clone());
    let answered = tokio::select! {
        biased;
        answered = answer(&cx, &admitted, &mut stats) => answered,
        refusal = stop::refusal_at_exit(&cx, admitted.pending) => Err(refusal),
    };
    pending.finished();
    let labels = LogLabels {
        request_id: &admitted.caller.request_id,
        route: &admitted.route().name,
        service: admitted.service_name(),
    };
    let result = answered.as_ref().map(|response| response.status());
    log_end(&cx, &labels, &stats, arrived, result);
    answered.unwrap_or_else(|refusal| refusal.into_response(Some(labels.request_id)))
}

/// Labels of a request for its log line and metric; "none" where unknown.
struct LogLabels<'a> {
    request_id: &'a str,
    route: &'a str,
    service: &'a str,
}

/// A request whose answer has not started. Dropping it before [`Self::finished`] logs that the
/// caller disconnected.
struct PendingAnswer {
    cx: Rc<Traffic>,
    key: PendingKey,
    admitted: Option<Rc<Admitted>>,
    is_finished: bool,
}

impl PendingAnswer {
    fn new(cx: &Rc<Traffic>, request_id: &str, arrived: BootInstant) -> Self {
        PendingAnswer {
            cx: cx.clone(),
            key: cx.pending.add(request_id, arrived),
            admitted: None,
            is_finished: false,
        }
    }

    fn finished(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let waits_for = self.cx.pending.waits_for(self.key);
        self.cx.pending.remove(self.key);
        let Some(admitted) = self.admitted.take().filter(|_| !self.is_finished) else {
            return;
        };
        self.cx.log.line(
            catalogue::CALLER_LEFT,
            format_args!(
                "request={} route={} phase={} ms={}",
                Field(&admitted.caller.request_id),
                Field(&admitted.route().name),
                waits_for.map_or("none", WaitsFor::name),
                admitted.arrived.elapsed().as_millis()
            ),
        );
        let took = admitted.arrived.elapsed();
        metrics::count_request(admitted.service_name(), "caller_left", 0, took);
    }
}

async fn answer(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    stats: &mut RequestStats,
) -> Result<http::Response<AnswerStream>, Refusal> {
    unservable::check(cx, admitted)?;
    if let Some((service, _)) = admitted.route().services.first() {
        stop::check(cx, admitted, *service)?;
    }
    unservable::begin_trials(cx, admitted).await?;
    let resumed_at = stream_version::find(cx, admitted).await?;
    let room = match &resumed_at {
        // Work for the stream was done already: it doesn't compete with new ones.
        Some(_) => ReservedRoom::none(cx, admitted),
        None => reserve_room(cx, admitted).await?,
    };
    let destination = Destination::choose(admitted, resumed_at.as_ref());
    let service = &admitted.deployment.service(destination.service).name;
    let mut permit = cx.permit_request(service, admitted.sent_after);
    let work = permit.work().clone();
    let stage_deadline = admitted.stage_deadline(room.is_complete(&admitted.caller.pieces));
    let mut stage_reruns = 0;
    loop {
        cx.pending.set(admitted.pending, WaitsFor::Stages);
        let prepared = prepare::run(cx, admitted, &room, stage_deadline).await?;
        cx.pending.set(admitted.pending, WaitsFor::Target);
        stats.stages_ms = admitted.arrived.elapsed().as_millis() as u64;
        let attempts = Attempts::new(admitted, destination.clone(), permit);
        match dispatch::run(cx, admitted, prepared, attempts, stats).await {
            // The engine did not run the request, so the stages can be repeated.
            Err(refusal)
                if refusal.kind == ErrorKind::InputsGone && stage_reruns < MAX_STAGE_RERUNS =>
            {
                stage_reruns += 1;
                let reason = RepeatReason::RequestInputGone;
                let repeat = retry::permit_repeat(cx, admitted, destination.service, &work, reason);
                permit = repeat.ok_or(refusal)?;
            }
            result => return result,
        }
    }
}

/// Reserves room for the stages of a new request. Refuses it if there is none, or not in time.
async fn reserve_room(cx: &Rc<Traffic>, admitted: &Rc<Admitted>) -> Result<ReservedRoom, Refusal> {
    let room = reservations::reserve(cx, admitted).await?;
    forecast::check(cx, admitted, &room)?;
    Ok(room)
}

/// Writes the log line and updates the metrics of an answered request.
fn log_end(
    cx: &Traffic,
    labels: &LogLabels<'_>,
    stats: &RequestStats,
    arrived: BootInstant,
    result: Result<http::StatusCode, &Refusal>,
) {
    let (status, kind, detail) = match result {
        Ok(status) => (status, "none", ""),
        Err(refusal) => (
            refusal.status(),
            refusal.kind.answer().name,
            refusal.detail.as_str(),
        ),
    };
    let took = arrived.elapsed();
    cx.log.line(
        catalogue::REQUEST_ENDED,
        format_args!(
            "request={} route={} status={} kind={kind} why={} \
             attempts={} target={} stages_ms={} ms={} view={}",
            Field(&labels.request_id),
            Field(&labels.route),
            status.as_u16(),
            Quoted(&detail),
            stats.attempts,
            Field(&stats.last_target),
            stats.stages_ms,
            took.as_millis(),
            cx.view_number()
        ),
    );
    metrics::count_request(labels.service, kind, status.as_u16(), took);
}
