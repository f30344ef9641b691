//! A soak: real gateways before the emulated platform, under a seeded plan of faults.
//!
//! [`plan`] draws the site with its troubles, and what is done to the gateways;
//! [`processes`] starts, signals and watches them; [`callers`] keeps asking; [`checks`]
//! holds what callers got against what targets ran. A failed run leaves its folder.

mod callers;
mod checks;
mod plan;
mod processes;
mod report;

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_config::fault::Faults;
use hollowsail_platform_emulator::Site;
use snafu::Snafu;

use crate::scenario::read_source;

pub use report::SoakReport;

use callers::Load;
use plan::SoakPlan;
use processes::Fleet;

/// Time after the last fault in which what is under way ends.
const SETTLE: Duration = Duration::from_secs(3);

/// What a run is given.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    pub seed: u64,
    pub seconds: u64,
    pub entries: usize,
    pub callers: usize,
    pub program: Option<PathBuf>,
    pub folder: Option<PathBuf>,
}

/// Why a run couldn't be made.
#[derive(Debug, Snafu)]
pub enum SoakError {
    #[snafu(display("{source}"))]
    Site { source: Faults },
    #[snafu(display("{path}: {source}; choose another --folder", path = path.display()))]
    Folder {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{program} can't be started: {source}; build it, or name it by --program", program = program.display()))]
    Start {
        program: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{what} did not come within {within} s; see {folder}", folder = folder.display()))]
    NotUp {
        what: String,
        within: u64,
        folder: PathBuf,
    },
}

/// Reads a site file; every fault is named.
pub fn read_site(path: &Path) -> Result<Site, Faults> {
    Site::parse(&read_source(path)?)
}

/// Makes one run.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = SoakPlan::draw(options.seed, options.seconds, options.entries);
    let fleet = Rc::new(Fleet::start(options, &plan).await?);
    let load = Load::start(options, &plan, &fleet);
    fleet.play(&plan).await;
    tokio::time::sleep(SETTLE).await;
    let attempts = load.stop().await;
    let added = callers::ask_added_route(&plan, &fleet).await;
    let seen = fleet.end().await;
    Ok(checks::judge(options, &seen, &attempts, added))
}
