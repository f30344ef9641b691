//! Runs a scenario once.
//!
//! Starts a fleet, sends the arrivals while faults are injected, checks the promises, and
//! returns the report.

use std::time::{Duration, Instant};

use hollowsail_config::settings::Limits;
use hollowsail_config::{Deployment, Faults, SourceFile};
use hollowsail_local::localize::ReadError;
use hollowsail_local::{read_directory, LocalError, LocalFleet, LocalOptions};
use hollowsail_platform_emulator::StartError;
use hollowsail_routing::Switches;
use hollowsail_standins::engine::EngineTimes;
use hollowsail_standins::Profile;
use ini::Ini;
use snafu::{ResultExt, Snafu};

use crate::arrivals;
use crate::chaos;
use crate::faults::{ApplyCounts, Injection};
use crate::history::{self, RevisionSampler};
use crate::load::Callers;
use crate::report::RunReport;
use crate::scenario::Scenario;
use crate::soak::SoakError;

/// Tokens that one event of a stand-in's stream represents, to limit the number of events.
const TOKENS_PER_EVENT: u32 = 8;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BenchError {
    #[snafu(display("{source}"))]
    Read { source: ReadError },
    #[snafu(display("{source}"))]
    Start { source: LocalError },
    #[snafu(display("{source}"))]
    Scenario { source: Faults },
    #[snafu(display("{source}"))]
    Soak { source: SoakError },
    #[snafu(display("{source}"))]
    Target { source: StartError },
    #[snafu(display("{message}"))]
    Usage { message: String },
}

/// Parameters of a run that are not part of its scenario.
#[derive(Debug, Clone, Copy)]
pub struct RunPlan {
    pub switches: Switches,
    /// Requests per second that the fleet's targets can serve.
    pub capacity: f64,
    pub seconds: f64,
    pub seed: u64,
}

fn with_drawn_faults(scenario: &Scenario, plan: &RunPlan, deployment: &Deployment) -> Scenario {
    let drawn = chaos::draw(
        scenario.drawn_faults,
        plan.seed,
        plan.seconds,
        scenario.entries,
        deployment,
    );
    let mut scenario = scenario.clone();
    scenario.faults.extend(drawn);
    scenario
}

/// Starts the fleet of a scenario, without its faults.
pub async fn start_fleet(scenario: &Scenario, plan: &RunPlan) -> Result<LocalFleet, BenchError> {
    let files = read_directory(&scenario.deployment).context(ReadSnafu)?;
    let options = LocalOptions {
        entries: scenario.entries,
        profile: profile(),
        seed: plan.seed,
        switches: plan.switches,
        limits: Limits {
            threads: 1,
            stop_grace_ms: 1_500,
            ..Limits::default()
        },
        ..LocalOptions::default()
    };
    LocalFleet::start(&tokens_to_events(&files), options)
        .await
        .context(StartSnafu)
}

fn profile() -> Profile {
    let times = EngineTimes::default();
    let events = f64::from(TOKENS_PER_EVENT);
    Profile {
        engine: EngineTimes {
            prefill_per_token: times.prefill_per_token,
            token: times.token * events,
            token_per_sequence: times.token_per_sequence * events,
        },
        ..Profile::default()
    }
}

/// Converts the token counts of configuration files to stream events.
fn tokens_to_events(files: &[SourceFile]) -> Vec<SourceFile> {
    files
        .iter()
        .map(|file| SourceFile {
            name: file.name.clone(),
            text: tokens_to_events_in(&file.text).unwrap_or_else(|| file.text.clone()),
        })
        .collect()
}

fn tokens_to_events_in(text: &str) -> Option<String> {
    let mut ini = Ini::load_from_str(text).ok()?;
    for (_, fields) in ini.iter_mut() {
        let tokens = fields
            .get("max_tokens")
            .and_then(|text| text.parse::<u32>().ok());
        if let Some(tokens) = tokens {
            fields.insert("max_tokens", (tokens / TOKENS_PER_EVENT).max(1).to_string());
        }
    }
    let mut written = Vec::new();
    ini.write_to(&mut written).ok()?;
    String::from_utf8(written).ok()
}

/// Runs a scenario once.
pub async fn run(scenario: &Scenario, plan: &RunPlan) -> Result<RunReport, BenchError> {
    let mut fleet = start_fleet(scenario, plan).await?;
    let deployment = fleet.deployment.clone();
    let scenario = &with_drawn_faults(scenario, plan, &deployment);
    let callers = Callers::new(deployment.clone(), fleet.callers());
    let rate = scenario.load * plan.capacity;
    let arrivals = arrivals::plan(scenario, &deployment, rate, plan.seconds, plan.seed);
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(plan.seconds);
    let store_calls_before = fleet.store.calls();
    let target_seconds_before = fleet.targets.target_seconds();
    let sampler = RevisionSampler::default();
    fleet
        .running()
        .for_each(|running| sampler.watch(&running.entry));
    let mut injection = Injection {
        fleet: &mut fleet,
        callers: &callers,
        sampler: &sampler,
        applies: ApplyCounts::default(),
    };
    let applies = {
        let sending = callers.send_all(arrivals, start);
        let injecting = injection.run(&scenario.faults, start, end);
        let sampling = sampler.run();
        tokio::select! {
            _ = async { tokio::join!(sending, injecting) } => {}
            _ = sampling => {}
        }
        injection.applies
    };
    // Abandoned executions are logged with a short delay.
    tokio::time::sleep(Duration::from_millis(200)).await;
    let records = callers.records();
    let executions = fleet.targets.log.all();
    let promises = history::check(&deployment, &records, &executions, &sampler.revisions());
    let store_calls_after = fleet.store.calls();
    let target_seconds = fleet
        .targets
        .target_seconds()
        .into_iter()
        .zip(target_seconds_before)
        .map(|((service, after), (_, before))| (service, after - before))
        .collect();
    let elapsed = start.elapsed().as_secs_f64();
    let store_calls =
        (store_calls_after.0 - store_calls_before.0) + (store_calls_after.1 - store_calls_before.1);
    let report = RunReport::new(
        scenario,
        &deployment,
        &records,
        target_seconds,
        promises,
        store_calls as f64 / elapsed,
        applies,
    );
    fleet.shut_down().await;
    Ok(report)
}
