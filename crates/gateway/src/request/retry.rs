//! Decides whether a failed attempt is followed by another or by a refusal.
//!
//! Every failure is logged and counted in the target's health, the rollout's evidence and, when the
//! target crashed, the crash ledger. Retries are limited by the route and the service's budget.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_routing::repeats::{RepeatReason, SendPermit, Work};
use hollowsail_routing::{may_retry, stage_status, Observation, Progress, StageStatus};
use hollowsail_targets::Target;

use super::admit::Admitted;
use super::attempt::{Failure, Unconnected};
use super::attempts::Attempts;
use super::{select, unservable};
use crate::answer::Refusal;
use crate::crashes::InterruptedRun;
use crate::metrics;
use crate::repeats::Repeat;
use crate::traffic::Traffic;

/// Maximum number of attempts that reached no target. They don't count against the route's limit,
/// so this bounds a request whose targets are all unreachable.
const MAX_UNREACHED: u32 = 4;
/// Number of target crashes after which a request isn't sent again. More than one, because a
/// target may crash for unrelated reasons.
const MAX_CRASHES: u32 = 2;
/// How long a repeat waits for targets that run to close the connections of earlier attempts, and how
/// often that is checked.
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(20);
const SETTLE_INTERVAL: Duration = Duration::from_millis(2);

/// Records a failed attempt. Returns the refusal when no further attempt is allowed.
pub async fn handle_failure(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    target: &Rc<Target>,
    failure: Failure,
) -> Result<(), Refusal> {
    let progress = failure.progress;
    log_failure(cx, admitted, target, &failure);
    if let Some(outcome) = failure.outcome(attempts.last_sent.elapsed()) {
        let kind = &admitted.route().name;
        cx.rollouts.observe(kind, target, outcome);
    }
    if failure.inputs_gone {
        attempts.record_failure(target, failure);
        return Err(attempts.refusal(ErrorKind::InputsGone));
    }
    if failure.unconnected == Some(Unconnected::NotInTime) {
        attempts.record_failure(target, failure);
        return Err(attempts.refusal(ErrorKind::Overloaded));
    }
    // A target that has no connection for this entry isn't at fault.
    if progress != Progress::FinalRefusal && failure.unconnected.is_none() {
        record_target_failure(cx, attempts.service, target);
    }
    if failure.is_connection_lost {
        let (sent, begun) = (attempts.last_sent, failure.begun);
        attempts.crashed += u32::from(report_crash(cx, admitted, target, sent, begun).await);
    }
    attempts.record_failure(target, failure);
    if admitted.remaining().is_zero() {
        return Err(attempts.deadline_refusal());
    }
    let may_retry = may_retry_request(cx, admitted, attempts, progress);
    if may_retry && has_permit(cx, admitted, attempts, progress).await {
        Ok(())
    } else {
        let refusal = attempts.refusal(ErrorKind::Overloaded);
        Err(select::with_backoff_retry(cx, admitted, attempts, refusal))
    }
}

/// Writes the log line and updates the metric of a failed attempt.
fn log_failure(cx: &Traffic, admitted: &Admitted, target: &Target, failure: &Failure) {
    let progress = failure.progress;
    cx.log.line(
        events::ATTEMPT_FAILED,
        format_args!(
            "request={} content={} target={} progress={progress:?} why={}",
            Field(&admitted.caller.request_id),
            admitted.digest(),
            Field(&target.incarnation().id),
            Quoted(&failure.reason)
        ),
    );
    let outcome = match stage_status([progress]) {
        StageStatus::NotRun => "not_run",
        StageStatus::Unknown | StageStatus::Ran => "unknown",
    };
    metrics::count_attempt(&target.record.service, outcome);
}

/// Checks whether a target whose connection closed has crashed, and reports that. True if so.
async fn report_crash(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    target: &Rc<Target>,
    sent: BootInstant,
    begun: Option<BootInstant>,
) -> bool {
    let run = InterruptedRun {
        sent,
        interrupted: BootInstant::now(),
    };
    if !target.has_crashed().await {
        return false;
    }
    let (request_id, digest) = (&admitted.caller.request_id, admitted.digest());
    let id = &target.incarnation().id;
    let answering_ms = begun.map_or("none".to_string(), |begun| {
        let answering = run.interrupted.saturating_since(begun);
        answering.as_millis().to_string()
    });
    let parts = admitted.prompt().labels();
    let fields = format_args!(
        "request={} content={digest} target={} answering_ms={answering_ms} \
         parts={parts}",
        Field(&request_id),
        Field(&id)
    );
    cx.log.line(events::TARGET_ENDED, fields);
    cx.crashes.target_crashed(cx, digest, run);
    if let Some(begun) = begun {
        let prompt = admitted.prompt();
        cx.crashes.answer_crashed(cx, prompt, target, run, begun);
    }
    true
}

/// Records a failure in the target's health, which may eject targets.
fn record_target_failure(cx: &Rc<Traffic>, service: ServiceKey, target: &Target) {
    target.observe(Observation::Failed, 1);
    for ejected in cx.targets().eject_worst(service, cx.clock.now()) {
        let fields = format_args!("target={} why=failures", Field(&ejected.incarnation().id));
        cx.log.line(events::TARGET_EJECTED, fields);
    }
}

/// Number of target crashes after which the request isn't sent again; lower for a suspect.
fn max_crashes(cx: &Traffic, admitted: &Admitted) -> u32 {
    match unservable::is_suspect(cx, admitted) {
        true => 1,
        false => MAX_CRASHES,
    }
}

/// True when another attempt is safe and within the request's limits.
fn may_retry_request(
    cx: &Traffic,
    admitted: &Admitted,
    attempts: &Attempts,
    progress: Progress,
) -> bool {
    let route = admitted.route();
    may_retry(progress, route.repeat.is_repeatable())
        && attempts.reached < route.max_attempts
        && attempts.crashed < max_crashes(cx, admitted)
        && attempts.unreached < MAX_UNREACHED
}

/// True if the request may be sent again: nothing was sent, or the service's budget permits a repeat.
async fn has_permit(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    progress: Progress,
) -> bool {
    if !attempts.has_permit() {
        until_settled(cx, &attempts.work).await;
        let reason = match progress {
            Progress::FinalRefusal => RepeatReason::AttemptRefused,
            _ => RepeatReason::AttemptFailed,
        };
        let (service, work) = (attempts.service, &attempts.work);
        attempts.keep_permit(permit_repeat(cx, admitted, service, work, reason));
    }
    attempts.has_permit()
}

/// Waits a moment until targets have closed the connections of attempts that were given up: repeats
/// of attempts that may still arrive are scarce.
async fn until_settled(cx: &Traffic, work: &Work) {
    let until = BootInstant::now() + MAX_SETTLE_WAIT;
    while work.is_unread(cx.clock.now()) && BootInstant::now() < until {
        tokio::time::sleep(SETTLE_INTERVAL).await;
    }
}

/// Permits the request to be sent to its service again; `None` if the budget is used up.
pub fn permit_repeat(
    cx: &Traffic,
    admitted: &Admitted,
    service: ServiceKey,
    work: &Work,
    reason: RepeatReason,
) -> Option<SendPermit> {
    cx.permit_repeat(&Repeat {
        service: &admitted.deployment.service(service).name,
        request: &admitted.caller.request_id,
        piece: None,
        work,
        reason,
    })
}

/// Permits another target to be tried after an error status; otherwise the error answer is passed on.
pub fn try_another(
    cx: &Traffic,
    admitted: &Admitted,
    attempts: &Attempts,
    status: http::StatusCode,
) -> Option<SendPermit> {
    let route = admitted.route();
    let may_try = status.is_server_error()
        && may_retry(Progress::Broken, route.repeat.is_repeatable())
        && attempts.reached + 1 < route.max_attempts
        && !admitted.remaining().is_zero();
    let reason = RepeatReason::AttemptFailed;
    may_try.then(|| permit_repeat(cx, admitted, attempts.service, &attempts.work, reason))?
}
