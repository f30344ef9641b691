//! Runs one request through the stages of its pipeline.
//!
//! Each stage gets a time plan and runs attempts until one answers or no more are
//! allowed; its output is the input of the next stage. The attempts' progress
//! determines the stage's status ([`stage_status`]).

use hollowsail_observe::text::Field;
use std::time::Instant;

use hollowsail_config::Stage;
use hollowsail_routing::{deadline, stage_status, StagePlan, StageStatus};
use serde_json::Value;

use crate::admission;
use crate::answer::{AnswerBody, StageReport};
use crate::attempt::{self, StageRun};
use crate::events;
use crate::in_flight_by_org::Admitted;
use crate::job::{Job, Sink};
use crate::kinds::ErrorKind;
use crate::metrics;
use crate::task::{Failure, StageTask};
use crate::worker::Worker;

/// Admits the request and runs its stages; a refusal or failure is an answer too.
pub async fn run(worker: &Worker, job: &Job, sink: Option<&Sink>) -> AnswerBody {
    let deployment = &job.configuration.deployment;
    let admitted = deployment
        .find_organisation(&job.org)
        .ok_or_else(|| {
            (
                ErrorKind::NotAllowed,
                format!("organisation {} is no longer configured", job.org),
            )
        })
        .and_then(|org| {
            worker.entry.crashes.check(worker.entry.now(), job)?;
            admission::admit_request(worker, deployment, org, job.pipeline, job.remaining_ms())
        });
    match admitted {
        Ok(admitted) => run_stages(worker, job, &admitted, sink).await,
        Err(refusal) => finish(worker, job, Vec::new(), Err(refusal)),
    }
}

async fn run_stages(
    worker: &Worker,
    job: &Job,
    admitted: &Admitted,
    sink: Option<&Sink>,
) -> AnswerBody {
    let mut reports = Vec::new();
    let mut input = job.input.clone();
    let mut failure = None;
    for (index, stage) in job.pipeline().stages.iter().enumerate() {
        let started = Instant::now();
        let is_last = index + 1 == job.pipeline().stages.len();
        let sink = sink.filter(|_| is_last);
        let indexed = IndexedStage { index, stage };
        let (run, result) = run_stage(worker, job, admitted, indexed, input, sink).await;
        reports.push(stage_report(stage, &run, started));
        match result {
            Ok(output) => input = output,
            Err(err) => {
                failure = Some(err);
                input = Value::Null;
                break;
            }
        }
    }
    if failure.is_none() {
        worker.entry.crashes.record_success(job);
    }
    let result = match failure {
        None => Ok(input),
        Some(err) => Err(err),
    };
    finish(worker, job, reports, result)
}

fn stage_report(stage: &Stage, run: &StageRun, started: Instant) -> StageReport {
    StageReport {
        stage: stage.name.clone(),
        status: stage_status(run.attempts.iter().copied()),
        attempts: run.attempts.len() as u32,
        ms: started.elapsed().as_millis() as u64,
    }
}

/// A stage and its index in the pipeline.
struct IndexedStage<'a> {
    index: usize,
    stage: &'a Stage,
}

async fn run_stage(
    worker: &Worker,
    job: &Job,
    admitted: &Admitted,
    IndexedStage { index, stage }: IndexedStage<'_>,
    input: Value,
    sink: Option<&Sink>,
) -> (StageRun, Result<Value, Failure>) {
    let view = worker.entry.view();
    let expected = view.expectations(job.pipeline, index);
    let plan = deadline::plan(job.remaining_ms(), expected).or_else(|shortfall| {
        match worker.entry.switches.early_refusal || job.remaining_ms() == 0 {
            true => Err(shortfall),
            false => Ok(StagePlan::all_of(job.remaining_ms())),
        }
    });
    let plan = match plan {
        Ok(plan) => plan,
        Err(shortfall) => {
            let kind = match job.remaining_ms() {
                0 => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::CannotFinish,
            };
            let message = format!(
                "the deadline is in {} ms, but the pipeline from stage {} on needs {} ms",
                job.remaining_ms(),
                stage.name,
                shortfall.needed_ms
            );
            return (StageRun::default(), Err((kind, message)));
        }
    };
    let task = StageTask {
        worker,
        job,
        stage_index: index,
        stage,
        plan,
        over_share: admitted.over_share,
        sink,
    };
    attempt::run_attempts(&task, input).await
}

/// Builds and records the answer, with stages that weren't reached as not run.
fn finish(
    worker: &Worker,
    job: &Job,
    mut reports: Vec<StageReport>,
    result: Result<Value, Failure>,
) -> AnswerBody {
    let stages = &job.pipeline().stages;
    for stage in &stages[reports.len()..] {
        reports.push(StageReport {
            stage: stage.name.clone(),
            status: StageStatus::NotRun,
            attempts: 0,
            ms: 0,
        });
    }
    let safe = result.is_err() && safe_to_repeat(stages, &reports);
    let mut answer = AnswerBody::from_stages(&job.request, reports, safe, result);
    answer.revision = job.configuration.revision();
    record_answer(worker, job, &answer);
    answer
}

/// True when no stage that must not be repeated has run or may have run.
fn safe_to_repeat(stages: &[Stage], reports: &[StageReport]) -> bool {
    stages
        .iter()
        .zip(reports)
        .all(|(stage, report)| stage.repeatable || report.status == StageStatus::NotRun)
}

fn record_answer(worker: &Worker, job: &Job, answer: &AnswerBody) {
    let ms = job.accepted.elapsed().as_millis() as u64;
    let pipeline = &job.pipeline().name;
    let name = &worker.entry.settings.name;
    metrics::count_request(name, pipeline, answer.outcome, answer.kind, ms);
    let kind = answer.kind.map_or("none", |kind| kind.answer().name);
    worker.entry.log(
        events::REQUEST_ENDED,
        format_args!(
            "request={} run={} org={} pipeline={} outcome={:?} kind={kind} ms={ms}",
            Field(&job.request),
            job.run,
            Field(&job.org),
            Field(&pipeline),
            answer.outcome
        ),
    );
}
