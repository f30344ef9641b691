//! Attempts at one stage: choose, dispatch, judge, and maybe try elsewhere.
//!
//! Targets are chosen anew from the newest snapshot for every attempt, by the
//! names of organisation and service, so a configuration that took a hall away
//! while the request was under way is obeyed at the next dispatch.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_config::{Deployment, ServiceKind, Stage, TargetKey};
use hollowsail_fleet::rendezvous;
use hollowsail_platform::target::{self, Call, CallError, Sent, StreamStep, TargetNotice};
use hollowsail_routing::{
    attempt_status, may_try_again, Candidate, Choice, Observation, Progress, RetryBudget, StagePlan,
};
use rand::Rng;
use serde_json::{json, Value};
use tokio::time::timeout;

use crate::control::Fact;
use crate::events;
use crate::kinds::ErrorKind;
use crate::metrics;
use crate::pipeline::{Job, Progress as CallerProgress, Sink};
use crate::view::{InFlight, View};
use crate::worker::Worker;

/// Most attempts at one stage.
const MAX_ATTEMPTS: usize = 3;

/// What happened in one stage.
#[derive(Debug, Default)]
pub struct StageRun {
    pub attempts: Vec<Progress>,
}

/// Why a stage has no output.
type Failure = (ErrorKind, String);

/// A target that was chosen for an attempt.
struct Route {
    key: TargetKey,
    name: String,
    address: SocketAddr,
    revision: u64,
    /// Held for as long as the attempt lasts.
    _in_flight: InFlight,
    /// Other targets that could take over.
    others: usize,
}

/// Tokens that a broken stream delivered, and where it can go on.
#[derive(Default)]
struct Partial {
    text: String,
    tokens: u32,
    target: Option<TargetKey>,
}

/// Runs attempts at a stage until one answers or none may follow.
pub async fn run_attempts(
    worker: &Worker,
    job: &Job,
    at: usize,
    stage: &Stage,
    input: Value,
    plan: StagePlan,
    sink: Option<&Sink>,
) -> (StageRun, Result<Value, Failure>) {
    let begun = Instant::now();
    let stage_time = Duration::from_millis(plan.stage_ms);
    let mut run = StageRun::default();
    let mut tried = Vec::new();
    let mut partial = Partial::default();
    let mut call = new_call(job, stage, input);
    let mut last_failure = None;
    earn_retries(worker, job, stage);
    loop {
        let left = stage_time.saturating_sub(begun.elapsed());
        let Some(route) = choose_route(worker, job, stage, &run, &tried, &partial) else {
            let nothing_left = no_route(worker, job, stage, &run);
            return (run, Err(last_failure.unwrap_or(nothing_left)));
        };
        if left.is_zero() {
            run.attempts.push(Progress::NotDialled);
            let message = format!("the time for stage {} is over", stage.name);
            return (run, Err((ErrorKind::DeadlineExceeded, message)));
        }
        call.dispatch = dispatch_id(job, stage, run.attempts.len() + 1);
        let limit = attempt_limit(worker, stage, &plan, left, route.others);
        let tokens_before = partial.tokens;
        let sent = Instant::now();
        let result = dispatch(
            worker,
            job,
            stage,
            &mut call,
            &route,
            limit,
            &mut partial,
            sink,
        )
        .await;
        let waited = sent.elapsed();
        let progress = judge(worker, job, stage, &result);
        run.attempts.push(progress);
        tell(worker, job, at, &route, &result, waited, limit);
        count(worker, job, stage, progress, waited);
        let err = match result {
            Ok((output, _)) => return (run, Ok(output)),
            Err(err) => err,
        };
        log_failure(worker, &call, &route, progress, &err);
        let may_resume = partial.tokens > tokens_before && waited < limit;
        if !may_resume {
            tried.push(route.key);
        }
        let failure = final_failure(job, stage, &err, progress);
        let may_go_on = may_try_again(progress, stage.repeatable)
            && run.attempts.len() < MAX_ATTEMPTS
            && job.remaining() > Duration::ZERO
            && grants_retry(worker, job, stage);
        if !may_go_on {
            return (run, Err(failure));
        }
        last_failure = Some(failure);
    }
}

/// Counts a first attempt towards the budget of extra ones.
fn earn_retries(worker: &Worker, job: &Job, stage: &Stage) {
    with_budget(worker, job, stage, RetryBudget::earn);
}

/// Takes an extra attempt out of the service's budget.
fn grants_retry(worker: &Worker, job: &Job, stage: &Stage) -> bool {
    !worker.entry.switches.retry_budget
        || with_budget(worker, job, stage, RetryBudget::spend).unwrap_or(true)
}

fn with_budget<T>(
    worker: &Worker,
    job: &Job,
    stage: &Stage,
    change: impl FnOnce(&mut RetryBudget) -> T,
) -> Option<T> {
    let view = worker.entry.view();
    let name = &job.configuration.deployment.service(stage.service).name;
    let services = &view.deployment()?.services;
    let at = services.iter().position(|service| service.name == *name)?;
    let mut budget = view.services[at]
        .retries
        .lock()
        .expect("no panic while held");
    Some(change(&mut budget))
}

fn new_call(job: &Job, stage: &Stage, input: Value) -> Call {
    let deployment = &job.configuration.deployment;
    let org = deployment
        .find_organisation(&job.org)
        .map(|key| deployment.organisation(key));
    Call {
        dispatch: String::new(),
        stage: stage.name.clone(),
        model: stage.model.map(|key| {
            let model = deployment.model(key);
            format!("{}@{}", model.name, model.version)
        }),
        adapter: org.and_then(|org| org.adapter.clone()),
        priority: job.pipeline().priority,
        session: job.session.clone(),
        max_tokens: stage.max_tokens,
        from_token: 0,
        input,
    }
}

/// `request~run/stage/attempt`: unique though callers choose request ids.
fn dispatch_id(job: &Job, stage: &Stage, attempt: usize) -> String {
    format!("{}~{}/{}/{attempt}", job.request, job.run, stage.name)
}

/// An attempt gets less than the whole stage only if another could follow.
fn attempt_limit(
    worker: &Worker,
    stage: &Stage,
    plan: &StagePlan,
    left: Duration,
    others: usize,
) -> Duration {
    if worker.entry.switches.attempt_limits && stage.repeatable && others > 0 {
        left.min(Duration::from_millis(plan.attempt_ms))
    } else {
        left
    }
}

fn choose_route(
    worker: &Worker,
    job: &Job,
    stage: &Stage,
    run: &StageRun,
    tried: &[TargetKey],
    partial: &Partial,
) -> Option<Route> {
    let view = worker.entry.view();
    let deployment = view.deployment()?;
    let service = job.configuration.deployment.service(stage.service);
    let switches = worker.entry.switches;
    let mut candidates = candidates(&view, deployment, job, &service.name, tried);
    for candidate in &mut candidates {
        candidate.ejected &= switches.ejection;
        candidate.affinity = candidate.affinity.filter(|_| switches.affinity);
    }
    let draw = rand::rng().random();
    let choice = resume_choice(&candidates, partial).or_else(|| {
        let turn = worker.entry.next_turn();
        worker.entry.switches.choose(&candidates, draw, turn)
    })?;
    let target = deployment.target(choice.target);
    worker.entry.log(
        events::ROUTE,
        format_args!(
            "request={} run={} stage={} attempt={} target={} why={} candidates={} remaining_ms={}",
            job.request,
            job.run,
            stage.name,
            run.attempts.len() + 1,
            target.name,
            choice.reason.name(),
            candidates.len(),
            job.remaining_ms()
        ),
    );
    Some(Route {
        key: choice.target,
        name: target.name.clone(),
        address: target.address,
        revision: view.revision(),
        _in_flight: InFlight::new(&view.target(choice.target).in_flight),
        others: candidates.len() - 1,
    })
}

/// A broken stream goes on where it broke, if that target may still be used.
fn resume_choice(candidates: &[Candidate], partial: &Partial) -> Option<Choice> {
    let target = partial.target?;
    candidates
        .iter()
        .any(|candidate| candidate.target == target && !candidate.ejected)
        .then_some(Choice {
            target,
            reason: hollowsail_routing::Reason::Affinity,
        })
}

/// Every target that may serve this organisation's stage now.
fn candidates(
    view: &View,
    deployment: &Deployment,
    job: &Job,
    service: &str,
    tried: &[TargetKey],
) -> Vec<Candidate> {
    let Some(org) = deployment.find_organisation(&job.org) else {
        return Vec::new();
    };
    let Some(service) = deployment.services.iter().find(|s| s.name == service) else {
        return Vec::new();
    };
    let affinity = job
        .session
        .as_deref()
        .filter(|_| service.kind == ServiceKind::Engine)
        .map(|session| format!("{}/{session}", job.org));
    service
        .targets
        .iter()
        .filter(|&&key| deployment.permits(org, deployment.target(key).hall))
        .filter(|&&key| view.target(key).takes_work && !tried.contains(&key))
        .map(|&key| {
            let state = view.target(key);
            let own = state.in_flight.load(std::sync::atomic::Ordering::Relaxed);
            Candidate {
                target: key,
                load: f64::from(own).max(state.aged_load),
                reported: state.reported,
                slowness: state.slowness,
                ejected: state.ejected,
                affinity: affinity
                    .as_deref()
                    .map(|key_text| rendezvous::score(key_text, &deployment.target(key).name)),
            }
        })
        .collect()
}

fn no_route(worker: &Worker, job: &Job, stage: &Stage, run: &StageRun) -> Failure {
    worker.entry.log(
        events::NO_ROUTE,
        format_args!(
            "request={} run={} stage={} attempts={}",
            job.request,
            job.run,
            stage.name,
            run.attempts.len()
        ),
    );
    let message = format!(
        "no target in a hall permitted to {} may serve stage {} now",
        job.org, stage.name
    );
    (ErrorKind::NoTarget, message)
}

#[allow(clippy::too_many_arguments)]
async fn dispatch(
    worker: &Worker,
    job: &Job,
    stage: &Stage,
    call: &mut Call,
    route: &Route,
    limit: Duration,
    partial: &mut Partial,
    sink: Option<&Sink>,
) -> Result<(Value, TargetNotice), CallError> {
    let service = job.configuration.deployment.service(stage.service);
    let client = worker.client(stage.repeatable);
    let timed = match service.kind {
        ServiceKind::Engine => {
            begin_stream(call, route, partial, sink).await;
            let stream = read_stream(client, job, call, route, limit, partial, sink);
            timeout(limit, stream).await
        }
        _ => {
            let whole = target::call(client, route.address, &job.org, call, limit);
            timeout(limit, whole).await
        }
    };
    timed.unwrap_or_else(|_| {
        Err(CallError {
            sent: Sent::Something,
            leaving: false,
            reason: format!("no whole answer within {} ms", limit.as_millis()),
        })
    })
}

/// Decides whether a stream goes on from where it broke or starts anew.
async fn begin_stream(call: &mut Call, route: &Route, partial: &mut Partial, sink: Option<&Sink>) {
    if partial.target != Some(route.key) {
        if partial.tokens > 0 {
            send(sink, CallerProgress::Restart).await;
        }
        *partial = Partial {
            target: Some(route.key),
            ..Partial::default()
        };
    }
    call.from_token = partial.tokens;
}

async fn read_stream(
    client: &awc::Client,
    job: &Job,
    call: &Call,
    route: &Route,
    limit: Duration,
    partial: &mut Partial,
    sink: Option<&Sink>,
) -> Result<(Value, TargetNotice), CallError> {
    let (mut stream, notice) =
        target::open_stream(client, route.address, &job.org, call, limit).await?;
    loop {
        match stream.next().await? {
            StreamStep::Token(text) => {
                partial.text.push_str(&text);
                let offset = partial.tokens;
                partial.tokens += 1;
                send(sink, CallerProgress::Token { offset, text }).await;
            }
            StreamStep::Whole => {
                let output = json!({ "text": partial.text, "tokens": partial.tokens });
                return Ok((output, notice));
            }
        }
    }
}

/// A caller that has gone away does not stop the stage here; whoever owns the
/// request decides that.
async fn send(sink: Option<&Sink>, progress: CallerProgress) {
    if let Some(sink) = sink {
        let _ = sink.send(progress).await;
    }
}

fn judge(
    worker: &Worker,
    job: &Job,
    stage: &Stage,
    result: &Result<(Value, TargetNotice), CallError>,
) -> Progress {
    let Err(err) = result else {
        return Progress::Answered;
    };
    match err.sent {
        Sent::Nothing => Progress::NothingSent,
        Sent::Something => Progress::Broken,
        Sent::Refusal(status) if refusal_is_final(worker, job, stage, status) => {
            Progress::FinalRefusal
        }
        Sent::Refusal(_) => Progress::OtherRefusal,
    }
}

/// The newest configuration decides, as for places.
fn refusal_is_final(worker: &Worker, job: &Job, stage: &Stage, status: u16) -> bool {
    let name = &job.configuration.deployment.service(stage.service).name;
    worker.entry.view().deployment().is_some_and(|deployment| {
        deployment
            .services
            .iter()
            .any(|service| service.name == *name && service.final_refusals.contains(&status))
    })
}

fn tell(
    worker: &Worker,
    job: &Job,
    at: usize,
    route: &Route,
    result: &Result<(Value, TargetNotice), CallError>,
    waited: Duration,
    limit: Duration,
) {
    let ms = waited.as_millis() as u64;
    let (observation, notice) = match result {
        Ok((_, notice)) => (Observation::Answered(ms), *notice),
        Err(err) => {
            let notice = TargetNotice {
                leaving: err.leaving,
                load: None,
            };
            let observation = match waited >= limit {
                true => Observation::TimedOut(ms),
                false => Observation::Failed,
            };
            (observation, notice)
        }
    };
    worker.entry.tell(Fact {
        revision: route.revision,
        target: route.key,
        pipeline: job.pipeline,
        stage: at,
        observation,
        notice,
    });
}

fn count(worker: &Worker, job: &Job, stage: &Stage, progress: Progress, waited: Duration) {
    let service = &job.configuration.deployment.service(stage.service).name;
    metrics::count_attempt(
        &worker.entry.settings.name,
        service,
        attempt_status(progress),
        waited.as_millis() as u64,
    );
}

fn log_failure(worker: &Worker, call: &Call, route: &Route, progress: Progress, err: &CallError) {
    worker.entry.log(
        events::ATTEMPT_FAILED,
        format_args!(
            "dispatch={} target={} progress={progress:?} reason=\"{err}\"",
            call.dispatch, route.name
        ),
    );
}

fn final_failure(job: &Job, stage: &Stage, err: &CallError, progress: Progress) -> Failure {
    let kind = match job.remaining_ms() {
        0 => ErrorKind::DeadlineExceeded,
        _ => ErrorKind::TargetFailed,
    };
    let status = match attempt_status(progress) {
        hollowsail_routing::StageStatus::NotRun => "did not run",
        _ => "may have run",
    };
    let message = format!("stage {} {status}: {err}", stage.name);
    (kind, message)
}
