//! Sends a request to targets until one answers or nothing more may be tried.
//!
//! [`find`] finds the target of each send, [`attempt`] makes it, and [`retry`]
//! decides what follows one that failed.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::Moment;
use hollowsail_platform::deployment::Repeat;
use hollowsail_routing::Progress;

use super::admit::Admitted;
use super::attempt::{self, Answered, Send};
use super::prepare::Prepared;
use super::sends::Sends;
use super::{find, passing, relay, retry, unservable, Trace};
use crate::answer::{AnswerStream, Refusal};
use crate::metrics;
use crate::traffic::Traffic;

/// A target is taken to be silent after this multiple of the slowest of a hundred
/// answers of its service ...
const SILENT_FACTOR: u64 = 2;
/// ... and after this time at the earliest: a host that lags is not silent.
const LEAST_SILENT: Duration = Duration::from_millis(60);

/// Sends a request and passes the answer on.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    prepared: Prepared,
    trace: &mut Trace,
) -> Result<http::Response<AnswerStream>, Refusal> {
    let mut sends = Sends::new(admitted);
    loop {
        let answered = next_answer(cx, admitted, &prepared, &mut sends, None).await;
        trace.attempts = sends.count() + u32::from(answered.is_ok());
        trace.last_target.clone_from(&sends.last_target);
        let answered = answered?;
        if admitted.route().repeat.is_stream() && answered.parts.status.is_success() {
            return Ok(passing::stream(cx, admitted, answered, prepared, sends));
        }
        match relay::whole(cx, admitted, answered, &mut sends).await {
            relay::Whole::Response(response) => return Ok(*response),
            relay::Whole::TryAgain => {}
        }
    }
}

/// Sends until a target answers. `resume_after` takes a stream up.
pub async fn next_answer(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &mut Sends,
    resume_after: Option<&str>,
) -> Result<Answered, Refusal> {
    loop {
        if admitted.remaining().is_zero() {
            return Err(sends.out_of_time());
        }
        unservable::may_run(cx, admitted).map_err(|refusal| sends.refused(refusal))?;
        let (target, placed) = find::next_target(cx, admitted, prepared, sends).await?;
        let silent_from = silent_from(cx, admitted, sends);
        let send = send_for(admitted, prepared, silent_from, resume_after);
        if sends.is_first() {
            cx.with_budget(&admitted.deployment, sends.service, |budget| budget.earn());
        }
        sends.last_target.clone_from(&target.incarnation().id);
        sends.last_sent = Moment::now();
        match attempt::run(cx, admitted, &target, &send).await {
            Ok(mut answered) => {
                metrics::count_attempt(&target.record.service, "answered");
                if let Some(placed) = &placed {
                    placed.answered(cx, &target);
                }
                answered.placed = placed;
                return Ok(answered);
            }
            Err(failure) => {
                placed
                    .into_iter()
                    .for_each(|mut placed| match failure.progress {
                        // It did what it should: the engine isn't to blame.
                        Progress::FinalRefusal => placed.whole(),
                        _ => placed.failed(),
                    });
                retry::take_failure(cx, admitted, sends, &target, failure).await?;
            }
        }
    }
}

/// When a target that has said nothing is taken to be silent: long before the
/// request's end where another may still be asked. A connection that fell silent
/// without a reset shows in no other way, and would cost each request that is sent on
/// it all of its time.
fn silent_from(cx: &Traffic, admitted: &Admitted, sends: &Sends) -> Moment {
    let route = admitted.route();
    let another_may_follow = sends.arrivals + 1 < route.max_attempts;
    if route.repeat != Repeat::Safe || !another_may_follow {
        return admitted.until;
    }
    let slowest = cx.slowest_ms(&admitted.deployment, sends.service);
    let Some(slowest) = slowest else {
        return admitted.until;
    };
    let longest = Duration::from_millis(slowest * SILENT_FACTOR).max(LEAST_SILENT);
    Moment::now() + longest.min(admitted.remaining() / 2)
}

/// What each attempt is given.
fn send_for<'a>(
    admitted: &Admitted,
    prepared: &'a Prepared,
    silent_from: Moment,
    resume_after: Option<&'a str>,
) -> Send<'a> {
    let generation = admitted.caller.generation.as_ref();
    Send {
        inputs: &prepared.inputs,
        until: admitted.until,
        silent_from,
        resume_after,
        unread_tokens: generation.map_or(0, |g| g.prompt_tokens),
    }
}
