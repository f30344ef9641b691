//! Soak test: real gateway processes in front of the emulated platform, under seeded faults.
//!
//! [`plan`] draws the site, its troubles and the gateway faults; [`processes`] starts, signals
//! and monitors the processes; [`callers`] generates load, partly for a contended
//! service ([`contention`]), for one with several software versions ([`versions`]), for one that must
//! not refuse many requests ([`brittle`]), for some whose targets leave without a record
//! ([`departures`]), and for one whose engines crash under a part of prompts ([`fragile`]); for a time most of their
//! connections go to one gateway ([`crowding`]);
//! [`checks`], [`repeats`], [`grants`], [`attempt_bounds`], [`room`], [`cut`], [`versions`], [`departures`] and [`fragile`] compare callers' results with the targets' executions. Settings and logs stay in the run's folder.

mod attempt_bounds;
mod brittle;
mod callers;
mod checks;
mod contention;
mod crowding;
mod cut;
mod departures;
mod failing_targets;
mod foreign_entries;
mod fragile;
mod grants;
mod joining_hosts;
mod owners;
mod plan;
mod planned_stops;
mod processes;
mod quick_restarts;
mod repeats;
mod report;
mod restores;
mod room;
mod small_hosts;
mod spoiling_targets;
mod stage_load;
mod suspended_targets;
mod target_processes;
mod turns;
mod versions;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_config::fault::Faults;
use hollowsail_platform_emulator::entry::HostLimits;
use hollowsail_platform_emulator::Site;
use snafu::Snafu;

use crate::scenario::read_source;

pub use attempt_bounds::Arrival;
pub use grants::{GrantLog, Ungranted, WorkKey};
pub use owners::{longest as longest_disagreement, Disagreement};
pub use report::{Failure, FailureKind, SoakReport};

use callers::Load;
use plan::SoakPlan;
use processes::Fleet;

/// Time after the run in which requests in flight can complete.
const SETTLE: Duration = Duration::from_secs(3);

/// Options of a soak run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    pub seed: u64,
    pub seconds: u64,
    pub entries: usize,
    pub callers: usize,
    pub program: Option<PathBuf>,
    /// Program of the first gateway, which may be an older build.
    pub old_program: Option<PathBuf>,
    pub folder: Option<PathBuf>,
    /// Hosts with a fraction of a core and a narrow link, one of which is crowded.
    pub small_hosts: bool,
    /// Bandwidth of these links, in megabits per second.
    pub link_mbps: f64,
    /// Targets that fail most of what they get, beside gateways that are disturbed in series.
    pub failing_targets: bool,
    /// Targets that stand still, beside gateways that are disturbed in series.
    pub suspended_targets: bool,
    /// A store that is restored from older copies, beside targets that leave and fail.
    pub restores: bool,
    /// Hosts that start one after the other, and are replaced, while targets fail.
    pub joining_hosts: bool,
    /// Gateways that are stopped in calm, beside requests that take long.
    pub planned_stops: bool,
    /// Targets that are processes of their own, beside gateways that are disturbed in series.
    pub target_processes: bool,
    /// Gateways and targets that are killed and start again at once on the same address.
    pub quick_restarts: bool,
    /// Thousands of pieces a second, beside gateways that stand still for a moment.
    pub stage_load: bool,
    /// Targets that are processes of their own and spoil their answers.
    pub spoiling_targets: bool,
    /// Entries of other writers in the store, beside gateways that start again.
    pub foreign_entries: bool,
    /// Small hosts have a whole core, so that only their links are narrow.
    pub whole_cores: bool,
}

/// Why a soak run could not start.
#[derive(Debug, Snafu)]
pub enum SoakError {
    #[snafu(display("{source}"))]
    Site { source: Faults },
    #[snafu(display("{path}: {source}; choose another --folder", path = path.display()))]
    Folder {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("cannot start {program}: {source}; build it or set --program", program = program.display()))]
    Start {
        program: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{process} was not ready within {timeout_s} s; see {folder}", folder = folder.display()))]
    NotReady {
        process: String,
        timeout_s: u64,
        folder: PathBuf,
    },
}

/// Reads a site file; the error lists every fault in it.
pub fn read_site(path: &Path) -> Result<Site, Faults> {
    Site::parse(&read_source(path)?)
}

/// Runs the soak once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    if options.small_hosts {
        return small_hosts::run(options).await;
    }
    if options.failing_targets {
        return failing_targets::run(options).await;
    }
    if options.suspended_targets {
        return suspended_targets::run(options).await;
    }
    if options.restores {
        return restores::run(options).await;
    }
    if options.joining_hosts {
        return joining_hosts::run(options).await;
    }
    if options.planned_stops {
        return planned_stops::run(options).await;
    }
    if options.target_processes {
        return target_processes::run(options).await;
    }
    if options.quick_restarts {
        return quick_restarts::run(options).await;
    }
    if options.stage_load {
        return stage_load::run(options).await;
    }
    if options.spoiling_targets {
        return spoiling_targets::run(options).await;
    }
    if options.foreign_entries {
        return foreign_entries::run(options).await;
    }
    let plan = SoakPlan::draw(options.seed, options.seconds, options.entries);
    let fleet = Rc::new(Fleet::start(options, &plan, HostLimits::default()).await?);
    let load = Load::start(options, &plan, &fleet);
    fleet.run_faults(&plan).await;
    tokio::time::sleep(SETTLE).await;
    let attempts = load.stop().await;
    let added_route_failures = callers::check_added_route(&plan, &fleet).await;
    let observations = fleet.shut_down().await;
    Ok(checks::evaluate(
        options,
        &plan,
        &observations,
        &attempts,
        added_route_failures,
    ))
}
