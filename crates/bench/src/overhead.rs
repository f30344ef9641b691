//! Measures the latency that an entry adds to a request.
//!
//! The same stand-ins are called directly and through an entry, alternating within one run.

use std::path::Path;
use std::time::Instant;

use hdrhistogram::Histogram;
use hollowsail_clients::http;
use hollowsail_clients::target::{self, Call, StreamStep};
use hollowsail_config::settings::Limits;
use hollowsail_config::ServiceKind;
use hollowsail_local::caller::Request;
use hollowsail_local::{read_directory, Caller, LocalFleet, LocalOptions};
use hollowsail_standins::Profile;
use serde::Serialize;
use serde_json::{json, Value};
use snafu::ResultExt;

use crate::run::{BenchError, ReadSnafu, StartSnafu};

/// Upper bound of the latency histograms, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of unmeasured requests of each kind at the start.
const WARM_UP: usize = 200;

/// Latency quantiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Latency {
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Latencies of a pipeline, and the difference per stage.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadReport {
    pub pipeline: String,
    pub stages: usize,
    pub requests: usize,
    #[serde(rename = "straight")]
    pub direct: Latency,
    pub through_entry: Latency,
    pub added_per_stage_p50_ms: f64,
    pub added_per_stage_p99_ms: f64,
}

/// Measures each pipeline that is safe to repeat.
pub async fn run(deployment: &Path, requests: usize) -> Result<Vec<OverheadReport>, BenchError> {
    let files = read_directory(deployment).context(ReadSnafu)?;
    let options = LocalOptions {
        entries: 1,
        profile: Profile::instant(),
        limits: Limits {
            threads: 1,
            ..Limits::default()
        },
        ..LocalOptions::default()
    };
    let fleet = LocalFleet::start(&files, options)
        .await
        .context(StartSnafu)?;
    let mut reports = Vec::new();
    for (index, pipeline) in fleet.deployment.pipelines.iter().enumerate() {
        if pipeline.runs_once() {
            continue;
        }
        let mut direct = histogram();
        let mut through_entry = histogram();
        for round in 0..requests + WARM_UP {
            let started = Instant::now();
            call_directly(&fleet, index, round).await;
            let direct_time = started.elapsed();
            let started = Instant::now();
            call_through_entry(&fleet, index, round).await;
            let entry_time = started.elapsed();
            if round >= WARM_UP {
                direct.saturating_record(direct_time.as_micros() as u64);
                through_entry.saturating_record(entry_time.as_micros() as u64);
            }
        }
        let (direct, through_entry) = (latency(&direct), latency(&through_entry));
        let stages = pipeline.stages.len();
        reports.push(OverheadReport {
            pipeline: pipeline.name.clone(),
            stages,
            requests,
            direct,
            through_entry,
            added_per_stage_p50_ms: (through_entry.p50_ms - direct.p50_ms) / stages as f64,
            added_per_stage_p99_ms: (through_entry.p99_ms - direct.p99_ms) / stages as f64,
        });
    }
    fleet.shut_down().await;
    Ok(reports)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are constants")
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    let at = |share| histogram.value_at_quantile(share) as f64 / 1000.0;
    Latency {
        p50_ms: at(0.5),
        p99_ms: at(0.99),
    }
}

thread_local! {
    static CLIENT: awc::Client = http::pooled_client();
    static CALLER: Caller = Caller::default();
}

async fn call_directly(fleet: &LocalFleet, pipeline: usize, round: usize) {
    let client = CLIENT.with(Clone::clone);
    let deployment = &fleet.deployment;
    let pipeline = &deployment.pipelines[pipeline];
    let mut input = json!(round);
    for stage in &pipeline.stages {
        let service = deployment.service(stage.service);
        let target = deployment.target(service.targets[round % service.targets.len()]);
        let call = Call {
            dispatch: format!("straight-{round}/{}/1", stage.name),
            stage: stage.name.clone(),
            model: None,
            adapter: None,
            priority: pipeline.priority,
            session: None,
            max_tokens: stage.max_tokens,
            from_token: 0,
            input,
        };
        input = match service.kind {
            ServiceKind::Engine => read_stream(&client, target.address, &call).await,
            _ => {
                let limit = std::time::Duration::from_secs(10);
                let result = target::call(&client, target.address, "o", &call, limit).await;
                result.map_or(Value::Null, |(output, _)| output)
            }
        };
    }
}

async fn read_stream(client: &awc::Client, address: std::net::SocketAddr, call: &Call) -> Value {
    let limit = std::time::Duration::from_secs(10);
    let Ok((mut stream, _)) = target::open_stream(client, address, "o", call, limit).await else {
        return Value::Null;
    };
    let mut text = String::new();
    while let Ok(StreamStep::Token(token)) = stream.next().await {
        text.push_str(&token);
    }
    json!({ "text": text })
}

async fn call_through_entry(fleet: &LocalFleet, pipeline: usize, round: usize) {
    let caller = CALLER.with(Clone::clone);
    let deployment = &fleet.deployment;
    let org = deployment
        .organisations
        .iter()
        .find(|org| org.pipelines.is_empty())
        .map_or(String::new(), |org| format!("demo-{}", org.name));
    let request = Request::new(&deployment.pipelines[pipeline].name, &org, json!(round));
    let _ = caller.call(fleet.entry(0).callers, &request).await;
}
