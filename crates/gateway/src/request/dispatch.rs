//! Sends a request to targets until one answers or no further attempt is allowed.
//!
//! [`select`] selects the target of each attempt, [`attempt`] sends the request, and [`retry`]
//! decides what follows a failed attempt.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::text::Field;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::Repeat;
use hollowsail_routing::{stage_status, Progress, Reason, StageStatus};
use hollowsail_targets::Target;
use http::header::HeaderValue;

use super::admit::Admitted;
use super::attempt::{self, AttemptOptions, TargetAnswer, Unconnected};
use super::attempts::Attempts;
use super::pending::WaitsFor;
use super::prepare::Prepared;
use super::{relay, retry, select, stream, unservable, RequestStats};
use crate::answer::{AnswerStream, Refusal};
use crate::metrics;
use crate::stop;
use crate::traffic::Traffic;

/// An attempt times out after this multiple of the service's 99th-percentile latency ...
const TIMEOUT_FACTOR: u64 = 2;
/// ... but not before this time, so that a host that lags is not taken to be unresponsive.
const MIN_TIMEOUT: Duration = Duration::from_millis(60);

/// Sends a request and relays the answer, or refuses the request.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    prepared: Prepared,
    mut attempts: Attempts,
    stats: &mut RequestStats,
) -> Result<http::Response<AnswerStream>, Refusal> {
    loop {
        let answer = next_answer(cx, admitted, &prepared, &mut attempts, None).await;
        stats.attempts = attempts.count() + u32::from(answer.is_ok());
        stats.last_target.clone_from(&attempts.last_target);
        let answer = answer?;
        if admitted.route().repeat.is_stream() && answer.parts.status.is_success() {
            return Ok(stream::relay(cx, admitted, answer, prepared, attempts));
        }
        match relay::buffered(cx, admitted, answer, &mut attempts).await {
            relay::Buffered::Response(response) => return Ok(*response),
            relay::Buffered::Retry => cx.pending.set_may_have_run(admitted.pending),
        }
    }
}

/// Makes attempts until a target answers. `resume_after` is the id of the event after which a
/// stream is resumed.
pub async fn next_answer(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    attempts: &mut Attempts,
    resume_after: Option<&HeaderValue>,
) -> Result<TargetAnswer, Refusal> {
    loop {
        if admitted.remaining().is_zero() {
            return Err(attempts.deadline_refusal());
        }
        cx.pending.set(admitted.pending, WaitsFor::Target);
        unservable::check_crashes(cx, admitted).map_err(|refusal| attempts.refusal_for(refusal))?;
        stop::check(cx, admitted, attempts.service)
            .map_err(|refusal| attempts.refusal_for(refusal))?;
        let selected = select::next_target(cx, admitted, prepared, attempts).await?;
        let (mut target, others, placed) = (selected.target, selected.others, selected.placed);
        let timeout = timeout(cx, admitted, attempts);
        let options = attempt_options(admitted, prepared, timeout, resume_after);
        let Some(permit) = attempts.take_permit() else {
            return Err(attempts.refusal(ErrorKind::Overloaded));
        };
        attempts.last_sent = BootInstant::now();
        let chosen = target.clone();
        let result = attempt::run(cx, admitted, &mut target, &others, &options, permit).await;
        if !Rc::ptr_eq(&chosen, &target) {
            let candidates = 1 + others.len();
            select::log_choice(cx, admitted, &target, Reason::FreeConnection, candidates);
        }
        attempts.last_target.clone_from(&target.incarnation().id);
        match result {
            Ok(mut answer) => {
                metrics::count_attempt(&target.record.service, "answered");
                if let Some(placed) = &placed {
                    placed.repeat_limit_reports(cx, &target);
                }
                answer.placed = placed;
                return Ok(answer);
            }
            // Nothing was sent, and no target is at fault.
            Err(failure) if failure.unconnected == Some(Unconnected::TargetsChanged) => {
                placed.into_iter().for_each(|mut placed| placed.completed());
                attempts.keep_permit(failure.permit);
                log_outdated_choice(cx, admitted, &target, attempts.last_sent);
            }
            Err(failure) => {
                if stage_status([failure.progress]) != StageStatus::NotRun {
                    cx.pending.set_may_have_run(admitted.pending);
                }
                placed
                    .into_iter()
                    .for_each(|mut placed| match failure.progress {
                        Progress::FinalRefusal => placed.refused(&target),
                        _ if failure.unconnected.is_some() => placed.completed(),
                        _ => placed.failed(),
                    });
                retry::handle_failure(cx, admitted, attempts, &target, failure).await?;
            }
        }
    }
}

/// Logs that a choice of a target was given up before the request was sent.
fn log_outdated_choice(cx: &Traffic, admitted: &Admitted, target: &Target, chosen_at: BootInstant) {
    let (request, target) = (&admitted.caller.request_id, &target.incarnation().id);
    let waited_ms = chosen_at.elapsed().as_millis();
    let fields = format_args!(
        "request={} target={} waited_ms={waited_ms}",
        Field(&request),
        Field(&target)
    );
    cx.log.line(events::CHOICE_OUTDATED, fields);
}

/// Time after which an attempt without an answer fails: well before the deadline if another target
/// may be tried, otherwise `None`. A connection that died without a reset can't be detected in
/// another way.
fn timeout(cx: &Traffic, admitted: &Admitted, attempts: &Attempts) -> Option<Duration> {
    let route = admitted.route();
    let may_retry = attempts.reached + 1 < route.max_attempts;
    if route.repeat != Repeat::Safe || !may_retry {
        return None;
    }
    let p99_ms = cx.p99_ms(&admitted.deployment, attempts.service)?;
    let timeout = Duration::from_millis(p99_ms * TIMEOUT_FACTOR).max(MIN_TIMEOUT);
    Some(timeout.min(admitted.remaining() / 2))
}

fn attempt_options<'a>(
    admitted: &Admitted,
    prepared: &'a Prepared,
    timeout: Option<Duration>,
    resume_after: Option<&'a HeaderValue>,
) -> AttemptOptions<'a> {
    let generation = admitted.caller.generation.as_ref();
    AttemptOptions {
        inputs: &prepared.inputs,
        deadline: admitted.deadline,
        timeout,
        resume_after,
        prefill_tokens: generation.map_or(0, |generation| generation.prompt_tokens),
    }
}
