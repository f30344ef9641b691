//! Attempts at one stage, with retries.
//!
//! [`routes`] finds the target of each attempt and waits for a slot,
//! [`dispatch`](mod@crate::dispatch) makes the call. This module classifies the result
//! of the attempt, reports it to the control thread and decides whether to retry.

use hollowsail_observe::text::{Field, Quoted};
use std::time::{Duration, Instant};

use hollowsail_clients::target::{CallError, SendProgress, TargetReports};
use hollowsail_routing::{
    attempt_status, may_retry, Millis, Observation, Progress, RetryBudget, StageStatus,
};
use serde_json::Value;

use crate::attempt_report::AttemptReport;
use crate::crashes::{self, MAX_CRASHES};
use crate::dispatch::{self, Dispatched, Partial};
use crate::events;
use crate::kinds::ErrorKind;
use crate::metrics;
use crate::routes::{self, Route, RouteOutcome};
use crate::task::{Failure, StageTask};

/// Maximum number of attempts at one stage.
const MAX_ATTEMPTS: usize = 3;

/// The attempts of one stage.
#[derive(Debug, Default)]
pub struct StageRun {
    pub attempts: Vec<Progress>,
    /// Number of targets that crashed while they ran it.
    crashes: u32,
}

/// Runs attempts at a stage until one answers or no more are allowed; the failure
/// is that of the last attempt.
pub async fn run_attempts(
    task: &StageTask<'_>,
    input: Value,
) -> (StageRun, Result<Value, Failure>) {
    let started = Instant::now();
    let stage_time = Duration::from_millis(task.plan.stage_ms);
    let mut run = StageRun::default();
    let mut tried = Vec::new();
    let mut partial = Partial::default();
    let mut call = dispatch::new_call(task, input);
    let mut last_failure = None;
    with_budget(task, RetryBudget::earn);
    loop {
        let left = stage_time.saturating_sub(started.elapsed());
        let attempt = run.attempts.len() + 1;
        let route = match routes::find(task, attempt, &tried, partial.target(), left).await {
            RouteOutcome::Route(route) => route,
            RouteOutcome::NoTarget => {
                let no_target = routes::no_target(task, attempt);
                return (run, Err(last_failure.unwrap_or(no_target)));
            }
            RouteOutcome::NoTime => {
                let no_slot = routes::no_slot_in_time(task);
                return (run, Err(last_failure.unwrap_or(no_slot)));
            }
        };
        let left = stage_time.saturating_sub(started.elapsed());
        if left.is_zero() {
            run.attempts.push(Progress::NotDialled);
            return (
                run,
                Err(last_failure.unwrap_or(routes::no_slot_in_time(task))),
            );
        }
        let sent_at = task.worker.entry.now();
        call.dispatch = dispatch_id(task, attempt);
        let limit = attempt_limit(task, left, &route, attempt);
        let done = dispatch::dispatch(task, &mut call, &route, limit, &mut partial).await;
        let progress = classify(task, &done.result);
        run.attempts.push(progress);
        report(task, &route, &done);
        count(task, progress, done.waited);
        let err = match done.result {
            Ok((output, _)) => return (run, Ok(output)),
            Err(err) => err,
        };
        log_failure(task, &call.dispatch, &route, progress, &err);
        if err.progress == SendProgress::MaybeSent
            && !done.timed_out
            && has_crashed(task, &route, sent_at).await
        {
            run.crashes += 1;
        }
        if !done.may_resume {
            tried.push(route.key);
        }
        let failure = failure_of(task, &err, progress);
        if run.crashes >= MAX_CRASHES || !may_retry_stage(task, progress, run.attempts.len()) {
            return (run, Err(failure));
        }
        last_failure = Some(failure);
    }
}

/// Checks whether a target whose answer was interrupted has crashed, and records it.
async fn has_crashed(task: &StageTask<'_>, route: &Route, sent_at: Millis) -> bool {
    if !crashes::has_crashed(route.address).await {
        return false;
    }
    let entry = &task.worker.entry;
    let counted = entry.crashes.record_crash(entry.now(), task.job, sent_at);
    let fields = format_args!(
        "request={} target={} counted={counted:?}",
        Field(&task.job.request),
        Field(&route.name)
    );
    entry.log(events::TARGET_ENDED, fields);
    true
}

/// True when the stage may be retried after an attempt with this progress; takes a
/// token of the retry budget.
fn may_retry_stage(task: &StageTask<'_>, progress: Progress, attempts: usize) -> bool {
    may_retry(progress, task.stage.repeatable)
        && attempts < MAX_ATTEMPTS
        && task.job.remaining() > Duration::ZERO
        && take_retry_token(task)
}

/// Takes a token of the service's retry budget; false when there is none.
fn take_retry_token(task: &StageTask<'_>) -> bool {
    !task.worker.entry.switches.retry_budget
        || with_budget(task, RetryBudget::spend).unwrap_or(true)
}

fn with_budget<T>(task: &StageTask<'_>, change: impl FnOnce(&mut RetryBudget) -> T) -> Option<T> {
    let view = task.worker.entry.view();
    let service = view.service_named(task.service_name())?;
    let mut budget = service.retries.lock().expect("no panic while held");
    Some(change(&mut budget))
}

/// `request~run/stage/attempt`; the run makes it unique, as callers may reuse
/// request ids.
fn dispatch_id(task: &StageTask<'_>, attempt: usize) -> String {
    let job = task.job;
    format!("{}~{}/{}/{attempt}", job.request, job.run, task.stage.name)
}

/// Time limit of an attempt: the planned attempt time for the first if a retry is
/// possible, otherwise all that is left of the stage. Limiting retries too would
/// fail requests when the whole service is slow.
fn attempt_limit(task: &StageTask<'_>, left: Duration, route: &Route, attempt: usize) -> Duration {
    let limited = task.worker.entry.switches.attempt_limits && attempt == 1;
    let can_retry = task.stage.repeatable
        && route.others > 0
        && with_budget(task, |budget| budget.has_token()).unwrap_or(false);
    if limited && can_retry {
        left.min(Duration::from_millis(task.plan.attempt_ms))
    } else {
        left
    }
}

fn classify(task: &StageTask<'_>, result: &Result<(Value, TargetReports), CallError>) -> Progress {
    let Err(err) = result else {
        return Progress::Answered;
    };
    match err.progress {
        SendProgress::NotSent => Progress::NothingSent,
        SendProgress::MaybeSent => Progress::Broken,
        SendProgress::Refusal(status) if refusal_is_final(task, status) => Progress::FinalRefusal,
        SendProgress::Refusal(_) => Progress::OtherRefusal,
    }
}

/// Decided by the newest configuration, like the choice of the target.
fn refusal_is_final(task: &StageTask<'_>, status: u16) -> bool {
    let name = task.service_name();
    task.worker.entry.view().deployment().is_some_and(|newest| {
        newest
            .services
            .iter()
            .any(|service| service.name == name && service.final_refusals.contains(&status))
    })
}

fn report(task: &StageTask<'_>, route: &Route, done: &Dispatched) {
    let ms = done.waited.as_millis() as u64;
    let (observation, target_reports) = match &done.result {
        Ok((_, target_reports)) => (Observation::Answered(ms), *target_reports),
        Err(err) => {
            let target_reports = TargetReports {
                draining: err.draining,
                load: None,
            };
            let observation = match done.timed_out {
                true => Observation::TimedOut(ms),
                false => Observation::Failed,
            };
            (observation, target_reports)
        }
    };
    task.worker.entry.report(AttemptReport {
        revision: route.revision,
        target: route.key,
        pipeline: task.job.pipeline,
        stage: task.stage_index,
        observation,
        target_reports,
    });
}

fn count(task: &StageTask<'_>, progress: Progress, waited: Duration) {
    metrics::count_attempt(
        &task.worker.entry.settings.name,
        task.service_name(),
        attempt_status(progress),
        waited.as_millis() as u64,
    );
}

fn log_failure(
    task: &StageTask<'_>,
    dispatch: &str,
    route: &Route,
    progress: Progress,
    err: &CallError,
) {
    task.worker.entry.log(
        events::ATTEMPT_FAILED,
        format_args!(
            "dispatch={dispatch} target={} progress={progress:?} reason={}",
            Field(&route.name),
            Quoted(&err)
        ),
    );
}

fn failure_of(task: &StageTask<'_>, err: &CallError, progress: Progress) -> Failure {
    let kind = match task.job.remaining_ms() {
        0 => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::TargetFailed,
    };
    let status = match attempt_status(progress) {
        StageStatus::NotRun => "did not run",
        StageStatus::Unknown | StageStatus::Ran => "may have run",
    };
    let message = format!("stage {} failed and {status}: {err}", task.stage.name);
    (kind, message)
}
