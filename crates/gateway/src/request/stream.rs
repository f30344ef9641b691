//! Relays an event stream from a target to the caller.
//!
//! Only complete events are passed on. A stream is interrupted when its body ends with an error or
//! inside an event. It is resumed at another target of the same software version if its route allows
//! that; otherwise the caller's connection is closed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hollowsail_clock::BootInstant;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::headers::{value_of, InvalidValue};
use hollowsail_rollout::Outcome;
use hollowsail_routing::crashes::parts::SURVIVAL_MS;
use hollowsail_routing::Observation;
use http::{header, HeaderMap, HeaderValue, Response};
use http_body::Frame;
use http_body_util::StreamBody;

use super::admit::Admitted;
use super::attempt::{Failure, TargetAnswer};
use super::attempts::Attempts;
use super::event_splitter::EventSplitter;
use super::prepare::{self, Prepared};
use super::relay::{caller_response, record_passed};
use super::stream_version::{self, PendingCopies};
use super::{completeness, dispatch, retry, select};
use crate::answer::{AnswerStream, BodyFault, Refusal};
use crate::mechanisms::Mechanism;
use crate::reservations::ReservedRoom;
use crate::traffic::Traffic;

/// Extra time after the deadline in which the rest of a stream is still relayed.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// A stream that is being relayed.
struct RelayedStream {
    cx: Rc<Traffic>,
    admitted: Rc<Admitted>,
    attempts: Attempts,
    answer: TargetAnswer,
    /// Inputs of the request, until the first event shows that the target has read them.
    prepared: Option<Prepared>,
    splitter: EventSplitter,
    /// Copies of the stream's record, which the first event waits for.
    copies: Option<PendingCopies>,
    /// The current target has sent an event.
    has_started: bool,
    /// The current target has answered for [`SURVIVAL_MS`].
    has_survived: bool,
    is_done: bool,
}

/// Relays the stream of an answer to the caller as it arrives.
pub fn relay(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    answer: TargetAnswer,
    prepared: Prepared,
    mut attempts: Attempts,
) -> Response<AnswerStream> {
    attempts.version = Some(answer.target.record.version.clone());
    let parts = answer.parts.clone();
    let copies = stream_version::record(cx, admitted, &answer.target);
    let stream = RelayedStream {
        cx: cx.clone(),
        admitted: admitted.clone(),
        attempts,
        answer,
        prepared: Some(prepared),
        splitter: EventSplitter::default(),
        copies,
        has_started: false,
        has_survived: false,
        is_done: false,
    };
    let frames = stream::unfold(stream, |mut stream| async move {
        let next = stream.next().await?;
        Some((next.map(Frame::data), stream))
    });
    caller_response(admitted, &parts, Box::pin(StreamBody::new(frames)))
}

/// False when the headers of an answer declare a body of another type.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let declared = content_type.and_then(|value| value.to_str().ok());
    declared.is_none_or(|declared| {
        declared
            .to_ascii_lowercase()
            .starts_with("text/event-stream")
    })
}

impl RelayedStream {
    /// Returns the next complete events; `None` after the last.
    async fn next(&mut self) -> Option<Result<Bytes, BodyFault>> {
        while !self.is_done {
            let latest = self.admitted.deadline + DEADLINE_GRACE;
            let chunk =
                tokio::time::timeout_at(latest.to_instant().into(), self.answer.body.chunk()).await;
            match chunk {
                Ok(Some(Ok(bytes))) => {
                    let events = self.splitter.push(&bytes);
                    self.answer.body.set_buffered(self.splitter.buffered());
                    if let Some(events) = events {
                        self.on_first_event();
                        self.record_survival();
                        if let Some(copies) = self.copies.take() {
                            copies.wait().await;
                        }
                        return Some(Ok(events));
                    }
                    // The timeout alone doesn't end a stream that always has bytes.
                    if BootInstant::now() >= latest {
                        return self.fail(BodyFault::DeadlineExceeded);
                    }
                    if self.splitter.is_event_too_long() {
                        self.log_end("too_long");
                        let fault = BodyFault::EventTooLong;
                        if !self.resume(&fault).await {
                            return self.fail(fault);
                        }
                    }
                }
                Ok(None) => {
                    self.log_end("end");
                    match self.early_end().await {
                        Some(fault) if !self.resume(&fault).await => return self.fail(fault),
                        Some(_) => {}
                        None => return self.finish(),
                    }
                }
                Ok(Some(Err(source))) => {
                    self.log_end("error");
                    let fault = BodyFault::Target { source };
                    if !self.resume(&fault).await {
                        return self.fail(fault);
                    }
                }
                Err(_) => return self.fail(BodyFault::DeadlineExceeded),
            }
        }
        None
    }

    /// Records the end of prefill and releases the request's inputs. Retaining them for whole
    /// streams would fill the workers' memory; a resumed stream runs its stages again.
    fn on_first_event(&mut self) {
        if !std::mem::replace(&mut self.has_started, true) {
            self.answer.in_flight.prefill_done();
            let service = self.attempts.service;
            let unshared_tokens = self.admitted.unshared_tokens();
            let took = self.answer.sent.elapsed();
            let deployment = &self.admitted.deployment;
            self.cx
                .record_prefill(deployment, service, unshared_tokens, took);
            let outcome = Outcome::Answered(took.as_secs_f64() * 1_000.0);
            let kind = &self.admitted.route().name;
            let rollouts = &self.cx.rollouts;
            rollouts.observe(kind, &self.answer.target, outcome);
            if let Some(placed) = &self.answer.placed {
                placed.prefill_done();
            }
        }
        let may_be_resumed = self.admitted.route().repeat.is_repeatable();
        if self.cx.has(Mechanism::FirstEvent) || !may_be_resumed {
            self.prepared = None;
        }
    }

    /// Records once that the answer has gone on for too long to have crashed its target by beginning.
    fn record_survival(&mut self) {
        let survives = self.answer.begun.elapsed().as_millis() as u64 >= SURVIVAL_MS;
        if survives && !std::mem::replace(&mut self.has_survived, true) {
            let (prompt, target) = (self.admitted.prompt(), &self.answer.target);
            self.cx
                .crashes
                .record_passed(&self.cx, prompt, target, false);
        }
    }

    /// Why the end of the body isn't the end of the stream; `None` when it is.
    async fn early_end(&self) -> Option<BodyFault> {
        let framing = self.answer.body.framing();
        let has_events = is_event_stream(&self.answer.parts.headers);
        if has_events && self.splitter.is_inside_event() {
            Some(BodyFault::InsideEvent)
        } else if has_events && framing.ends_with_connection() && !self.splitter.has_events() {
            Some(BodyFault::NoEvent)
        } else {
            let end = completeness::check_end(&self.cx, &self.answer.target, framing).await;
            end.err()
        }
    }

    /// Logs how the current target's stream ended.
    fn log_end(&self, end: &str) {
        self.cx.log.line(
            events::STREAM_ENDED,
            format_args!(
                "request={} target={} by={end} framing={} after={} partial_bytes={}",
                Field(&self.admitted.caller.request_id),
                Field(&self.answer.target.incarnation().id),
                self.answer.body.framing().name(),
                Field(String::from_utf8_lossy(
                    self.splitter.last_id().unwrap_or(b"none")
                )),
                self.splitter.partial_len()
            ),
        );
    }

    fn finish(&mut self) -> Option<Result<Bytes, BodyFault>> {
        self.is_done = true;
        self.answer.target.observe(Observation::Answered(1), 1);
        let (service, took) = (self.attempts.service, self.answer.sent.elapsed());
        self.cx
            .record_stream_time(&self.admitted.deployment, service, took);
        if let Some(placed) = &mut self.answer.placed {
            placed.completed();
        }
        record_passed(&self.cx, &self.admitted, &self.answer.target);
        let rest = self.splitter.take_partial();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn fail(&mut self, fault: BodyFault) -> Option<Result<Bytes, BodyFault>> {
        self.is_done = true;
        self.cx.log.line(
            events::ATTEMPT_FAILED,
            format_args!(
                "request={} target={} progress=Broken why={}",
                Field(&self.admitted.caller.request_id),
                Field(&self.answer.target.incarnation().id),
                Quoted(&fault)
            ),
        );
        Some(Err(fault))
    }

    /// Resumes the stream at another target after the last complete event. Returns false when
    /// that is not allowed or fails.
    async fn resume(&mut self, fault: &BodyFault) -> bool {
        if let Some(placed) = &mut self.answer.placed {
            placed.failed();
        }
        let failure = match fault {
            BodyFault::Target { source } if source.is_malformed() => {
                Failure::malformed(fault.to_string())
            }
            _ => Failure::cut_off(self.answer.begun, fault.to_string()),
        };
        let target = self.answer.target.clone();
        let (cx, admitted) = (&self.cx.clone(), &self.admitted.clone());
        if retry::handle_failure(cx, admitted, &mut self.attempts, &target, failure)
            .await
            .is_err()
        {
            return false;
        }
        if !select::has_candidate(cx, admitted, &self.attempts) {
            let version = &target.record.version;
            let detail = format!("no other target runs version {version}");
            return self.log_not_resumed(&Refusal::new(ErrorKind::NoTarget, detail));
        }
        let after = match self.resume_point() {
            Ok(after) => after,
            Err(fault) => {
                let detail = format!("the id of the last event can't be sent: {fault}");
                return self.log_not_resumed(&Refusal::new(ErrorKind::TargetFailed, detail));
            }
        };
        let prepared = match self.prepared.take() {
            Some(prepared) => prepared,
            None => match prepare::run(
                cx,
                admitted,
                &ReservedRoom::none(cx, admitted),
                admitted.resume_deadline(),
            )
            .await
            {
                Ok(prepared) => prepared,
                Err(refusal) => return self.log_not_resumed(&refusal),
            },
        };
        let attempts = &mut self.attempts;
        let next = dispatch::next_answer(cx, admitted, &prepared, attempts, after.as_ref());
        let answer = match next.await {
            Ok(answer) => answer,
            Err(refusal) => return self.log_not_resumed(&refusal),
        };
        self.prepared = Some(prepared);
        if !answer.parts.status.is_success() {
            return false;
        }
        self.continue_with(answer, after.as_ref());
        true
    }

    /// Id of the event that the next target is to resume after; `None` to begin at the start.
    fn resume_point(&self) -> Result<Option<HeaderValue>, InvalidValue> {
        let from_caller = self.admitted.caller.last_event_id.as_deref();
        let last = self.splitter.last_id().or(from_caller.map(str::as_bytes));
        last.map(value_of).transpose()
    }

    /// Logs why a stream could not be resumed.
    fn log_not_resumed(&self, refusal: &Refusal) -> bool {
        self.cx.log.line(
            events::STREAM_NOT_RESUMED,
            format_args!(
                "request={} from={} kind={} why={}",
                Field(&self.admitted.caller.request_id),
                Field(&self.answer.target.incarnation().id),
                refusal.kind.answer().name,
                Quoted(&refusal.detail)
            ),
        );
        false
    }

    /// Continues the stream with another target's answer.
    fn continue_with(&mut self, answer: TargetAnswer, after: Option<&HeaderValue>) {
        self.cx.log.line(
            events::STREAM_RESUMED,
            format_args!(
                "request={} from={} from_version={} to={} to_version={} after={}",
                Field(&self.admitted.caller.request_id),
                Field(&self.answer.target.incarnation().id),
                Field(&self.answer.target.record.version),
                Field(&answer.target.incarnation().id),
                Field(&answer.target.record.version),
                Field(String::from_utf8_lossy(
                    after.map_or(b"start", HeaderValue::as_bytes)
                ))
            ),
        );
        // The new target sends the interrupted event again in full.
        self.splitter.take_partial();
        self.answer = answer;
        self.has_started = false;
        self.has_survived = false;
    }
}
