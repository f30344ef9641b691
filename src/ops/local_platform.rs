//! An emulated users' platform and its gateways on loopback, in one process.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hollowsail_config::SourceFile;
use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::caller::{self, CallerRequest, Connection, Outcome};
use hollowsail_platform_emulator::entry::{self, EntryConfig};
use hollowsail_platform_emulator::{Emulator, Events, RouteModel, Site};
use snafu::Snafu;

use crate::{Context, Exit};

/// Time limit for each gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Attempts per request: gateways discover their targets shortly after they start.
const MAX_ATTEMPTS: u32 = 20;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of `hollowsail local --platform`.
pub struct LocalPlatform {
    pub site: PathBuf,
    pub entries: usize,
    /// Call every route once, then exit.
    pub once: bool,
}

/// Why the platform or a gateway did not start.
#[derive(Debug, Snafu)]
enum LocalError {
    #[snafu(display("cannot read {path}: {source}; name a site file that exists", path = path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{source}"))]
    Site {
        source: hollowsail_config::fault::Faults,
    },
    #[snafu(display("cannot start a gateway: {reason}"))]
    Start { reason: String },
    #[snafu(display("{host} was not ready within {} s; set RUST_LOG=info to see its log", READY_TIMEOUT.as_secs()))]
    NotReady { host: String },
}

/// Starts the platform and its gateways; with `once`, calls every route and stops.
pub async fn run(cx: &mut Context<'_>, local: &LocalPlatform) -> Exit {
    match try_run(cx, local).await {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Failure,
        Err(LocalError::Site { source }) => {
            cx.print_faults(&source);
            Exit::CannotRun
        }
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            Exit::CannotRun
        }
    }
}

async fn try_run(cx: &mut Context<'_>, local: &LocalPlatform) -> Result<bool, LocalError> {
    let site = read(&local.site)?;
    let emulator = Emulator::start(site.clone(), Events::new(|line| log::debug!("{line}"))).await;
    let store = emulator.store_addr();
    let configs = entry::configs(local.entries, &site.halls, &[store], site.drain_ms);
    let mut gateways = Vec::new();
    for config in &configs {
        gateways.push(start_gateway(config).await?);
    }
    for config in &configs {
        wait_until_ready(config).await?;
    }
    let all_whole = match local.once {
        true => call_every_route(cx, &site, &configs).await,
        false => {
            print_usage(cx, &site, &configs);
            let _ = cx.out.flush();
            let _ = tokio::signal::ctrl_c().await;
            true
        }
    };
    let stopping = gateways.into_iter().map(Running::stop);
    futures_util::future::join_all(stopping).await;
    for broken in emulator.account.broken_promises() {
        cx.print_error(format_args!("{}: {}", broken.promise, broken.description));
    }
    Ok(all_whole && emulator.account.broken_promises().is_empty())
}

fn read(path: &PathBuf) -> Result<Site, LocalError> {
    let text = std::fs::read_to_string(path).map_err(|source| LocalError::Read {
        path: path.clone(),
        source,
    })?;
    let source = SourceFile {
        name: path.display().to_string(),
        text,
    };
    Site::parse(&source).map_err(|source| LocalError::Site { source })
}

async fn start_gateway(config: &EntryConfig) -> Result<Running, LocalError> {
    let start_error = |reason: String| LocalError::Start { reason };
    let settings =
        Settings::parse(&config.settings()).map_err(|err| start_error(err.to_string()))?;
    let running = start(settings, Mechanisms::default()).await;
    running.map_err(|err| start_error(err.to_string()))
}

async fn wait_until_ready(config: &EntryConfig) -> Result<(), LocalError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if caller::readiness(config.readiness()).await == Some(200) {
            return Ok(());
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    Err(LocalError::NotReady {
        host: config.host.clone(),
    })
}

/// Calls every route, each at the next gateway. True when all answers are whole.
async fn call_every_route(cx: &mut Context<'_>, site: &Site, configs: &[EntryConfig]) -> bool {
    let mut all_whole = true;
    for (index, route) in site.routes.iter().enumerate() {
        let config = &configs[index % configs.len()];
        let outcome = call_with_retries(config, route, index).await;
        let path = &route.path;
        cx.print(format_args!(
            "{path} at {}: {}",
            config.host,
            describe(&outcome)
        ));
        all_whole &= outcome == Outcome::Whole;
    }
    all_whole
}

async fn call_with_retries(config: &EntryConfig, route: &RouteModel, number: usize) -> Outcome {
    let mut outcome = Outcome::NotRun {
        after: None,
        why: String::new(),
    };
    for attempt in 0..MAX_ATTEMPTS {
        let request = CallerRequest::for_route(route, format!("{:08x}{attempt:08x}", number + 1));
        outcome = match Connection::open(config.callers()).await {
            Ok(mut connection) => connection.call(&request).await.outcome,
            Err(err) => Outcome::Unknown {
                why: err.to_string(),
            },
        };
        if !matches!(outcome, Outcome::NotRun { .. }) {
            break;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    outcome
}

fn describe(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Whole => "whole".to_string(),
        Outcome::NotRun { .. } => "not run".to_string(),
        Outcome::Unknown { why } => format!("may have run: {why}"),
        Outcome::Wrong { why } => format!("wrong: {why}"),
    }
}

fn print_usage(cx: &mut Context<'_>, site: &Site, configs: &[EntryConfig]) {
    for config in configs {
        cx.print(format_args!(
            "{} listens for callers at {}",
            config.host,
            config.callers()
        ));
    }
    for route in &site.routes {
        cx.print(format_args!("route {} to {}", route.path, route.service));
    }
    cx.print(format_args!("press Ctrl-C to stop"));
}
