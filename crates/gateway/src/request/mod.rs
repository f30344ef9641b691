//! The life of one request.
//!
//! [`admit`] reads its head and body; [`prepare`] runs the stages before it;
//! [`dispatch`] sends it to targets until one answers or nothing more may be
//! tried; [`relay`] passes the answer on. Every way that ends without a
//! target's answer ends in a [`Refusal`].

mod admit;
mod attempt;
mod choose;
mod dispatch;
mod events;
mod prepare;
mod relay;

use std::rc::Rc;
use std::time::Instant;

use hollowsail_observe::events as catalogue;
use hyper::body::Incoming;

use crate::answer::{AnswerStream, Refusal};
use crate::traffic::Traffic;

pub use admit::Admitted;

/// Figures of a request for its log line.
#[derive(Debug, Default)]
struct Trace {
    attempts: u32,
    stages_ms: u64,
    last_target: String,
}

/// Serves one request.
pub async fn serve(cx: Rc<Traffic>, req: http::Request<Incoming>) -> http::Response<AnswerStream> {
    let arrived = Instant::now();
    let (head, body) = req.into_parts();
    let mut trace = Trace::default();
    let admitted = match admit::admit(&cx, head, body, arrived).await {
        Ok(admitted) => Rc::new(admitted),
        Err(rejected) => {
            let id = rejected.request_id.as_deref();
            log_end(
                &cx,
                id.unwrap_or("none"),
                "none",
                &trace,
                arrived,
                Err(&rejected.refusal),
            );
            return rejected.refusal.into_response(id);
        }
    };
    let answered = answer(&cx, &admitted, &mut trace).await;
    let id = &admitted.caller.request_id;
    let outcome = answered.as_ref().map(|response| response.status());
    log_end(&cx, id, &admitted.route().name, &trace, arrived, outcome);
    answered.unwrap_or_else(|refusal| refusal.into_response(Some(id)))
}

async fn answer(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    trace: &mut Trace,
) -> Result<http::Response<AnswerStream>, Refusal> {
    let prepared = prepare::run(cx, admitted).await?;
    trace.stages_ms = admitted.arrived.elapsed().as_millis() as u64;
    dispatch::run(cx, admitted, prepared, trace).await
}

fn log_end(
    cx: &Traffic,
    request_id: &str,
    route: &str,
    trace: &Trace,
    arrived: Instant,
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
    cx.log.line(
        catalogue::REQUEST_ENDED,
        format_args!(
            "request={request_id} route={route} status={} kind={kind} why=\"{why}\" \
             attempts={} target={} stages_ms={} ms={} view={}",
            status.as_u16(),
            trace.attempts,
            trace.last_target,
            trace.stages_ms,
            arrived.elapsed().as_millis(),
            cx.view_number(),
        ),
    );
}
