//! Measures the cost of a routing decision: admitting a request, collecting candidates,
//! choosing one, and taking and returning its slot.
//!
//! All targets belong to one service, the worst case for a decision.

use std::time::{Duration, Instant};

use hollowsail_config::key::hash_key;
use hollowsail_config::{PipelineKey, SourceFile};
use hollowsail_entry::admission;
use hollowsail_entry::job::Job;
use hollowsail_entry::routes::{self, RouteOutcome};
use hollowsail_entry::task::StageTask;
use hollowsail_entry::worker::Worker;
use hollowsail_local::{LocalFleet, LocalOptions};
use hollowsail_routing::StagePlan;
use hollowsail_standins::Profile;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;

use crate::run::{BenchError, StartSnafu};

/// Number of decisions timed together.
const ROUNDS: u32 = 20_000;
/// Remaining time that each decision is given.
const REMAINING: Duration = Duration::from_secs(1);

/// Cost of a decision at one size.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct DecisionReport {
    pub targets: usize,
    pub organisations: usize,
    pub microseconds: f64,
}

/// Measures the cost with a number of targets and organisations.
pub async fn run(targets: usize, organisations: usize) -> Result<DecisionReport, BenchError> {
    let options = LocalOptions {
        entries: 1,
        profile: Profile::instant(),
        ..LocalOptions::default()
    };
    let files = [files(targets, organisations)];
    let fleet = LocalFleet::start(&files, options)
        .await
        .context(StartSnafu)?;
    let running = fleet.entry(0);
    let worker = Worker::new(running.entry.clone(), running.control.clone());
    let configuration = worker
        .entry
        .configuration()
        .expect("a started fleet has a configuration");
    let last_org = format!("o{}", organisations - 1);
    let job = Job {
        request: "r".into(),
        run: "run".into(),
        org: last_org.clone(),
        configuration: configuration.clone(),
        pipeline: PipelineKey(0),
        accepted: Instant::now(),
        deadline: Duration::from_secs(3600),
        session: Some("s".into()),
        input: Value::Null,
    };
    let deployment = &configuration.deployment;
    let org = deployment
        .find_organisation(&last_org)
        .expect("the organisation is configured");
    let task = StageTask {
        worker: &worker,
        job: &job,
        stage_index: 0,
        stage: &deployment.pipelines[0].stages[0],
        plan: StagePlan::all_of(1000),
        over_share: false,
        sink: None,
    };
    let started = Instant::now();
    let mut found = 0u32;
    for _ in 0..ROUNDS {
        let admitted = admission::admit_request(&worker, deployment, org, job.pipeline, 10_000);
        let route = routes::find(&task, 1, &[], None, REMAINING).await;
        found += u32::from(admitted.is_ok() && matches!(route, RouteOutcome::Route(_)));
    }
    let elapsed = started.elapsed();
    fleet.shut_down().await;
    if found < ROUNDS {
        return Err(BenchError::Usage {
            message: format!(
                "only {found} of {ROUNDS} decisions found a target; the cost is not comparable"
            ),
        });
    }
    Ok(DecisionReport {
        targets,
        organisations,
        microseconds: elapsed.as_secs_f64() * 1e6 / f64::from(ROUNDS),
    })
}

fn files(targets: usize, organisations: usize) -> SourceFile {
    let mut text = String::from(
        "[deployment]\nname = decision\n[hall.h]\nregion = r\n\
         [service.llm]\nkind = engine\n[pipeline.p]\nstages = a, b, c\n",
    );
    for stage in ["a", "b", "c"] {
        text += &format!("[stage.p.{stage}]\nservice = llm\nmax_tokens = 1\n");
    }
    for target in 0..targets {
        text += &format!(
            "[target.t{target}]\nservice = llm\nhall = h\naddress = 127.0.0.1:{}\n",
            target + 1
        );
    }
    for org in 0..organisations {
        let hash: String = hash_key(&org.to_string())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        text += &format!("[organisation.o{org}]\nhalls = h\nkey_sha256 = {hash}\n");
    }
    SourceFile {
        name: "decision.ini".into(),
        text,
    }
}
