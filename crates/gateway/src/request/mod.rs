//! The life of one request.
//!
//! [`admit`] reads its head and body; [`unservable`] and [`forecast`] judge whether it can be served,
//! and in time; [`prepare`] runs the stages before it; [`dispatch`] sends it to targets
//! until one answers or nothing more may be tried; [`relay`] passes the answer on, [`passing`]
//! a stream. Every way that ends without a target's answer ends in a [`Refusal`].

mod admit;
mod attempt;
mod choose;
mod digest;
mod dispatch;
mod events;
mod find;
mod forecast;
mod passing;
mod prepare;
mod relay;
mod retry;
mod sends;
mod unservable;

use std::rc::Rc;

use hollowsail_clock::Moment;
use hollowsail_observe::{events as catalogue, ErrorKind};
use hyper::body::Incoming;

use crate::answer::{AnswerStream, Refusal};
use crate::metrics;
use crate::traffic::Traffic;

pub use admit::Admitted;

/// Times that the stages of a request are run again because the engine found
/// their results gone.
const MOST_LOST_INPUTS: u32 = 1;

/// Figures of a request for its log line.
#[derive(Debug, Default)]
struct Trace {
    attempts: u32,
    stages_ms: u64,
    last_target: String,
}

/// Serves one request.
pub async fn serve(cx: Rc<Traffic>, req: http::Request<Incoming>) -> http::Response<AnswerStream> {
    let arrived = Moment::now();
    let (head, body) = req.into_parts();
    let mut trace = Trace::default();
    let admitted = match admit::admit(&cx, head, body, arrived).await {
        Ok(admitted) => Rc::new(admitted),
        Err(rejected) => {
            let id = rejected.request_id.as_deref();
            let whose = Whose {
                request_id: id.unwrap_or("none"),
                route: "none",
                service: "none",
            };
            tell_end(&cx, &whose, &trace, arrived, Err(&rejected.refusal));
            return rejected.refusal.into_response(id);
        }
    };
    let mut waiting = Waiting::new(&cx, &admitted);
    let answered = answer(&cx, &admitted, &mut trace, &mut waiting).await;
    waiting.ended();
    let whose = Whose {
        request_id: &admitted.caller.request_id,
        route: &admitted.route().name,
        service: admitted.service_name(),
    };
    let outcome = answered.as_ref().map(|response| response.status());
    tell_end(&cx, &whose, &trace, arrived, outcome);
    answered.unwrap_or_else(|refusal| refusal.into_response(Some(whose.request_id)))
}

/// Names of a request for its log line and metric; "none" where not known.
struct Whose<'a> {
    request_id: &'a str,
    route: &'a str,
    service: &'a str,
}

/// A request whose answer hasn't begun. Dropped before it ended, its caller has
/// left.
struct Waiting {
    cx: Rc<Traffic>,
    admitted: Rc<Admitted>,
    phase: &'static str,
    has_ended: bool,
}

impl Waiting {
    fn new(cx: &Rc<Traffic>, admitted: &Rc<Admitted>) -> Self {
        Waiting {
            cx: cx.clone(),
            admitted: admitted.clone(),
            phase: "stages",
            has_ended: false,
        }
    }

    fn ended(&mut self) {
        self.has_ended = true;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        self.cx.log.line(
            catalogue::CALLER_LEFT,
            format_args!(
                "request={} route={} phase={} ms={}",
                self.admitted.caller.request_id,
                self.admitted.route().name,
                self.phase,
                self.admitted.arrived.elapsed().as_millis(),
            ),
        );
        let took = self.admitted.arrived.elapsed();
        metrics::count_request(self.admitted.service_name(), "caller_left", 0, took);
    }
}

async fn answer(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    trace: &mut Trace,
    waiting: &mut Waiting,
) -> Result<http::Response<AnswerStream>, Refusal> {
    unservable::judge(cx, admitted)?;
    forecast::judge(cx, admitted)?;
    let mut lost_inputs = 0;
    loop {
        waiting.phase = "stages";
        let prepared = prepare::run(cx, admitted, admitted.stages_by()).await?;
        waiting.phase = "target";
        trace.stages_ms = admitted.arrived.elapsed().as_millis() as u64;
        match dispatch::run(cx, admitted, prepared, trace).await {
            // The request didn't run: its stages may, once more.
            Err(refusal)
                if refusal.kind == ErrorKind::InputsGone && lost_inputs < MOST_LOST_INPUTS =>
            {
                lost_inputs += 1;
            }
            result => return result,
        }
    }
}

/// Writes the log line and counts the metric of a request that was answered.
fn tell_end(
    cx: &Traffic,
    whose: &Whose<'_>,
    trace: &Trace,
    arrived: Moment,
    outcome: Result<http::StatusCode, &Refusal>,
) {
    let (status, kind, why) = match outcome {
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
            "request={} route={} status={} kind={kind} why=\"{why}\" \
             attempts={} target={} stages_ms={} ms={} view={}",
            whose.request_id,
            whose.route,
            status.as_u16(),
            trace.attempts,
            trace.last_target,
            trace.stages_ms,
            took.as_millis(),
            cx.view_number(),
        ),
    );
    metrics::count_request(whose.service, kind, status.as_u16(), took);
}
