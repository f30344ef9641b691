//! Runs one request through its pipeline.
//!
//! Stage by stage: plan the time, run attempts until one answers or none may
//! follow, feed the output to the next stage. What each attempt proved is
//! folded into the stage's status by `hollowsail-routing`'s table.

use std::time::Instant;

use hollowsail_config::Stage;
use hollowsail_routing::{deadline, stage_status, StagePlan, StageStatus};
use serde_json::Value;

use crate::admission;
use crate::answer::{AnswerBody, StageReport};
use crate::attempt::{self, StageRun};
use crate::events;
use crate::holdings::Admitted;
use crate::job::{Job, Sink};
use crate::kinds::ErrorKind;
use crate::metrics;
use crate::task::{Failure, StageTask};
use crate::worker::Worker;

/// Judges the request, then runs every stage; always ends in an answer.
pub async fn run(worker: &Worker, job: &Job, sink: Option<&Sink>) -> AnswerBody {
    let deployment = &job.configuration.deployment;
    let admitted = deployment
        .find_organisation(&job.org)
        .ok_or_else(|| {
            (
                ErrorKind::NotAllowed,
                "the organisation is gone".to_string(),
            )
        })
        .and_then(|org| {
            worker.entry.crashes.judge(worker.entry.now(), job)?;
            admission::judge(worker, deployment, org, job.pipeline, job.remaining_ms())
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
    for (at, stage) in job.pipeline().stages.iter().enumerate() {
        let begun = Instant::now();
        let last = at + 1 == job.pipeline().stages.len();
        let sink = sink.filter(|_| last);
        let stage_at = StageAt { at, stage };
        let (run, result) = run_stage(worker, job, admitted, stage_at, input, sink).await;
        reports.push(report(stage, &run, begun));
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
        worker.entry.crashes.served(job);
    }
    let result = match failure {
        None => Ok(input),
        Some(err) => Err(err),
    };
    finish(worker, job, reports, result)
}

fn report(stage: &Stage, run: &StageRun, begun: Instant) -> StageReport {
    StageReport {
        stage: stage.name.clone(),
        status: stage_status(run.attempts.iter().copied()),
        attempts: run.attempts.len() as u32,
        ms: begun.elapsed().as_millis() as u64,
    }
}

/// A stage and its position in the pipeline.
struct StageAt<'a> {
    at: usize,
    stage: &'a Stage,
}

async fn run_stage(
    worker: &Worker,
    job: &Job,
    admitted: &Admitted,
    StageAt { at, stage }: StageAt<'_>,
    input: Value,
    sink: Option<&Sink>,
) -> (StageRun, Result<Value, Failure>) {
    let view = worker.entry.view();
    let expected = view.expectations(job.pipeline, at);
    let plan = deadline::plan(job.remaining_ms(), expected).or_else(|late| {
        match worker.entry.switches.early_refusal || job.remaining_ms() == 0 {
            true => Err(late),
            false => Ok(StagePlan::all_of(job.remaining_ms())),
        }
    });
    let plan = match plan {
        Ok(plan) => plan,
        Err(late) => {
            let kind = match job.remaining_ms() {
                0 => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::CannotFinish,
            };
            let message = format!(
                "{} ms are left before stage {} and {} ms are needed",
                job.remaining_ms(),
                stage.name,
                late.needed_ms
            );
            return (StageRun::default(), Err((kind, message)));
        }
    };
    let task = StageTask {
        worker,
        job,
        at,
        stage,
        plan,
        over_share: admitted.over_share,
        sink,
    };
    attempt::run_attempts(&task, input).await
}

/// Adds the stages that were never reached and closes the answer.
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
    let mut answer = AnswerBody::ended(&job.request, reports, safe, result);
    answer.revision = job.configuration.revision();
    record(worker, job, &answer);
    answer
}

/// True when no stage that must not be repeated ran or may have run.
fn safe_to_repeat(stages: &[Stage], reports: &[StageReport]) -> bool {
    stages
        .iter()
        .zip(reports)
        .all(|(stage, report)| stage.repeatable || report.status == StageStatus::NotRun)
}

fn record(worker: &Worker, job: &Job, answer: &AnswerBody) {
    let ms = job.accepted.elapsed().as_millis() as u64;
    let pipeline = &job.pipeline().name;
    let name = &worker.entry.settings.name;
    metrics::count_request(name, pipeline, answer.outcome, answer.kind, ms);
    let kind = answer.kind.map_or("none", |kind| kind.answer().name);
    worker.entry.log(
        events::REQUEST_ENDED,
        format_args!(
            "request={} run={} org={} pipeline={pipeline} outcome={:?} kind={kind} ms={ms}",
            job.request, job.run, job.org, answer.outcome
        ),
    );
}
