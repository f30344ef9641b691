//! The users' platform on loopback with gateways before it, in one process.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use hollowsail_config::SourceFile;
use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::caller::{self, CallerRequest, Connection, Outcome};
use hollowsail_platform_emulator::entry::{self, EntryPlace};
use hollowsail_platform_emulator::{Emulator, Events, RouteModel, Site};
use snafu::Snafu;

use crate::{Context, Exit};

/// Longest time until all gateways take callers.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Times that a request is sent before it counts as unanswered: gateways learn of targets in
/// their first moments.
const MOST_TRIES: u32 = 20;
/// Between two tries.
const TRY_AGAIN: Duration = Duration::from_millis(100);
/// What to run.
pub struct LocalPlatform {
    pub site: PathBuf,
    pub entries: usize,
    /// One request per route, then end.
    pub once: bool,
}

/// Why it can't be run.
#[derive(Debug, Snafu)]
enum LocalError {
    #[snafu(display("{path}: {source}; name a site file that is there", path = path.display()))]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{source}"))]
    Site {
        source: hollowsail_config::fault::Faults,
    },
    #[snafu(display("a gateway can't start: {reason}"))]
    Start { reason: String },
    #[snafu(display("{host} wasn't ready in {} s; see its log lines with RUST_LOG=info", READY_WITHIN.as_secs()))]
    NotReady { host: String },
}

/// Starts the platform and its gateways; with `once`, asks on every route and stops.
pub async fn run(cx: &mut Context<'_>, local: &LocalPlatform) -> Exit {
    match try_run(cx, local).await {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Failure,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            Exit::Unusable
        }
    }
}

async fn try_run(cx: &mut Context<'_>, local: &LocalPlatform) -> Result<bool, LocalError> {
    let site = read(&local.site)?;
    let emulator = Emulator::start(site.clone(), Events::new(|line| log::debug!("{line}"))).await;
    let store = emulator.store_addr();
    let places = entry::places(local.entries, &site.halls, store, site.drain_ms);
    let mut gateways = Vec::new();
    for place in &places {
        gateways.push(start_gateway(place).await?);
    }
    for place in &places {
        until_ready(place).await?;
    }
    let all_whole = match local.once {
        true => ask_on_every_route(cx, &site, &places).await,
        false => {
            explain(cx, &site, &places);
            let _ = cx.out.flush();
            let _ = tokio::signal::ctrl_c().await;
            true
        }
    };
    let stopping = gateways.into_iter().map(Running::stop);
    futures_util::future::join_all(stopping).await;
    for broken in emulator.account.broken() {
        cx.complain(format_args!("{}: {}", broken.promise, broken.what));
    }
    Ok(all_whole && emulator.account.broken().is_empty())
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

async fn start_gateway(place: &EntryPlace) -> Result<Running, LocalError> {
    let failed = |reason: String| LocalError::Start { reason };
    let settings = Settings::parse(&place.settings()).map_err(|err| failed(err.to_string()))?;
    let running = start(settings, Mechanisms::default()).await;
    running.map_err(|err| failed(err.to_string()))
}

async fn until_ready(place: &EntryPlace) -> Result<(), LocalError> {
    let until = Instant::now() + READY_WITHIN;
    while Instant::now() < until {
        if caller::readiness(place.readiness()).await == Some(200) {
            return Ok(());
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
    Err(LocalError::NotReady {
        host: place.host.clone(),
    })
}

/// Asks on every route, each at the next gateway. True when all answers are whole.
async fn ask_on_every_route(cx: &mut Context<'_>, site: &Site, places: &[EntryPlace]) -> bool {
    let mut all_whole = true;
    for (at, route) in site.routes.iter().enumerate() {
        let place = &places[at % places.len()];
        let outcome = ask(place, route, at).await;
        let path = &route.path;
        cx.say(format_args!(
            "{path} at {}: {}",
            place.host,
            in_words(&outcome)
        ));
        all_whole &= outcome == Outcome::Whole;
    }
    all_whole
}

async fn ask(place: &EntryPlace, route: &RouteModel, number: usize) -> Outcome {
    let mut outcome = Outcome::NotRun { after: None };
    for attempt in 0..MOST_TRIES {
        let request = CallerRequest::on(route, format!("{:08x}{attempt:08x}", number + 1));
        outcome = match Connection::open(place.callers()).await {
            Ok(mut connection) => connection.call(&request).await,
            Err(err) => Outcome::Unknown {
                why: err.to_string(),
            },
        };
        if !matches!(outcome, Outcome::NotRun { .. }) {
            break;
        }
        tokio::time::sleep(TRY_AGAIN).await;
    }
    outcome
}

fn in_words(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Whole => "whole".to_string(),
        Outcome::NotRun { .. } => "not run".to_string(),
        Outcome::Unknown { why } => format!("may have run: {why}"),
        Outcome::Wrong { why } => format!("wrong: {why}"),
    }
}

fn explain(cx: &mut Context<'_>, site: &Site, places: &[EntryPlace]) {
    for place in places {
        cx.say(format_args!(
            "{} takes callers at {}",
            place.host,
            place.callers()
        ));
    }
    for route in &site.routes {
        cx.say(format_args!("route {} to {}", route.path, route.service));
    }
    cx.say(format_args!("end with ctrl-c"));
}
