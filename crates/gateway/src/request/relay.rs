//! Relays a target's answer to the caller.
//!
//! Short answers are buffered completely, so that an interrupted one can be retried or reported as
//! failed. Streams are relayed event by event ([`super::stream`]).

use std::rc::Rc;

use hollowsail_clock::BootInstant;
use hollowsail_platform::headers::without_connection_headers;
use hollowsail_rollout::Outcome;
use hollowsail_routing::{Observation, Progress};
use hollowsail_targets::Target;
use http::response::Parts;
use http::{header, Method, Response};

use super::admit::Admitted;
use super::attempt::{Failure, TargetAnswer};
use super::attempts::Attempts;
use super::retry;
use super::{choose, completeness};
use crate::answer::{full_body, AnswerStream};
use crate::traffic::Traffic;

/// Maximum size of a buffered answer, in bytes; a larger one fails.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Result of buffering an answer.
pub enum Buffered {
    Response(Box<Response<AnswerStream>>),
    /// It was interrupted or failed, and another target may be tried.
    Retry,
}

/// Reads an answer completely and builds the caller's response, or requests a retry.
pub async fn buffered(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    answer: TargetAnswer,
    attempts: &mut Attempts,
) -> Buffered {
    let TargetAnswer {
        in_use: _in_use,
        parts,
        body,
        target,
        in_flight,
        sent,
        begun,
        placed,
    } = answer;
    let framing = body.framing();
    let read = tokio::time::timeout_at(
        admitted.deadline.to_instant().into(),
        body.collect(MAX_BUFFERED_BYTES),
    )
    .await;
    let end = match &read {
        Ok(Ok(_)) => completeness::check_end(cx, &target, framing).await,
        _ => Ok(()),
    };
    drop(in_flight);
    if let Some(mut placed) = placed {
        match &read {
            Ok(Ok(_)) if end.is_ok() && !parts.status.is_server_error() => {
                placed.prefill_done();
                placed.completed();
            }
            _ => placed.failed(),
        }
    }
    let failure = |reason: String| Failure::new(Progress::Broken, reason);
    let failure = match read {
        Ok(Ok(_)) if let Err(fault) = end => Failure::cut_off(begun, fault.to_string()),
        Ok(Ok(Some(_)))
            if let Some(permit) = retry::try_another(cx, admitted, attempts, parts.status) =>
        {
            Failure::answered(parts.status, permit)
        }
        Ok(Ok(Some(bytes))) => {
            let outcome = match parts.status.is_server_error() {
                true => Outcome::Failed,
                false => Outcome::Answered(sent.elapsed().as_secs_f64() * 1_000.0),
            };
            cx.rollouts
                .observe(&admitted.route().name, &target, outcome);
            if !parts.status.is_server_error() {
                record_answer(cx, admitted, attempts, &target, sent);
                record_passed(cx, admitted, &target);
            }
            return Buffered::Response(Box::new(caller_response(
                admitted,
                &parts,
                full_body(bytes),
            )));
        }
        Ok(Ok(None)) => failure(format!("the answer exceeds {MAX_BUFFERED_BYTES} bytes")),
        Ok(Err(err)) if err.is_malformed() => Failure::malformed(err.to_string()),
        Ok(Err(err)) => Failure::cut_off(begun, format!("the answer ended early: {err}")),
        Err(_) => failure("the answer was incomplete at the deadline".to_string()),
    };
    match retry::handle_failure(cx, admitted, attempts, &target, failure).await {
        Ok(()) => Buffered::Retry,
        Err(refusal) => {
            let id = Some(admitted.caller.request_id.as_str());
            Buffered::Response(Box::new(refusal.into_response(id)))
        }
    }
}

/// Clears the suspicion that the request, or a part of its prompt, crashes targets, after a complete
/// answer.
pub(super) fn record_passed(cx: &Rc<Traffic>, admitted: &Admitted, target: &Target) {
    cx.crashes.record_served(cx, || admitted.digest());
    cx.crashes
        .record_passed(cx, admitted.prompt(), target, true);
}

/// Records the time of an answer in the target's speed and health and the service's latency
/// window.
fn record_answer(
    cx: &Traffic,
    admitted: &Admitted,
    attempts: &Attempts,
    target: &Target,
    sent: BootInstant,
) {
    // Waiting for a target and earlier attempts say nothing of this one.
    let took = sent.elapsed();
    let ms = took.as_millis() as u64;
    let typical = cx
        .typical_ms(&admitted.deployment, attempts.service)
        .unwrap_or(ms);
    let has_speed = choose::has_speed(cx, target);
    if has_speed {
        let took_ms = took.as_secs_f64() * 1_000.0;
        target.record_speed(cx.clock.now(), took_ms, typical as f64);
    }
    // A slow target that serves in time gets less work by its speed, and isn't ejected.
    let is_in_time = BootInstant::now() <= admitted.due();
    let expected = match has_speed && is_in_time {
        true => typical.max(ms),
        false => typical,
    };
    target.observe(Observation::Answered(ms), expected);
    cx.record_latency(&admitted.deployment, attempts.service, ms);
}

/// The response for the caller. The server states the length of its body, or sends chunks; nothing that
/// frames it is the target's.
pub(super) fn caller_response(
    admitted: &Admitted,
    parts: &Parts,
    body: AnswerStream,
) -> Response<AnswerStream> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = without_connection_headers(&parts.headers);
    // States the length of the body that a GET would have.
    let length = parts.headers.get(header::CONTENT_LENGTH);
    if let (&Method::HEAD, Some(length)) = (&admitted.head.method, length) {
        response
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length.clone());
    }
    response
}
