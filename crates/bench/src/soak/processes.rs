//! The platform and gateway processes of a soak run.
//!
//! Starts and signals them, polls the gateways' readiness as a load balancer would, and
//! records exits, restarts and the platform's events.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::entry::{
    self, EntryConfig, HostLimits, GRACE_S, SETTINGS_VARIABLE,
};
use hollowsail_platform_emulator::{caller, AttemptTargets, Site};
use rustix::process::{kill_process, Pid, Signal};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use super::attempt_bounds::Arrival;
use super::departures::LateSend;
use super::grants::GrantLog;
use super::plan::{EntryFault, PlannedFault, SoakPlan, CUT_TROUBLE};
use super::repeats::Repeat;
use super::report::{Failure, FailureKind};
use super::turns::ROUND;
use super::{FolderSnafu, SoakError, SoakOptions, StartSnafu};

/// Time limit for the platform or a gateway to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for a gateway to exit after a signal, with a margin for one that is paused.
const EXIT_TIMEOUT: Duration = Duration::from_secs(GRACE_S as u64 + 4);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval and timeout of the readiness checks.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between measurements of this process's lag, and the least lag that is recorded.
const LAG_INTERVAL: Duration = Duration::from_millis(10);
const LEAST_LAG: Duration = Duration::from_millis(10);
/// Failed readiness checks in a row after which a gateway gets no new connections.
const MAX_FAILED_CHECKS: u32 = 2;

/// A fault that was injected into a gateway, with its time span.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    pub entry: usize,
    pub fault: EntryFault,
    pub from: Instant,
    /// When the gateway was ready again.
    pub until: Instant,
}

/// What a run recorded about its processes.
#[derive(Debug, Default)]
pub struct Observations {
    /// IDs of requests that a target began to execute.
    pub ran: HashSet<String>,
    /// IDs of requests of which a stage worker got a piece.
    pub pieces: HashSet<String>,
    /// IDs of requests to which a target has sent all of its response.
    pub answered: HashSet<String>,
    /// IDs of requests whose response a target broke off.
    pub cut: HashSet<String>,
    /// Broken promises that the platform reported.
    pub broken: Vec<Failure>,
    /// Requests to targets that had left, by the gateway that sent them.
    pub late_sends: Vec<LateSend>,
    /// When the platform started.
    pub platform_started: Option<Instant>,
    /// Work that a service got once more.
    pub repeats: Vec<Repeat>,
    /// All work that targets got.
    pub arrivals: Vec<Arrival>,
    /// What gateways logged about repeats.
    pub grants: GrantLog,
    /// Targets that each request ran at.
    pub attempt_targets: AttemptTargets,
    /// Crashes of targets under a part of prompts.
    pub fatal_crashes: Vec<Instant>,
    /// Requests with that part that reached targets too late: the gateway, and when.
    pub late_fatal: Vec<(usize, Instant)>,
    /// Unexpected exits, and processes that did not exit or start.
    pub exit_failures: Vec<String>,
    pub disturbances: Vec<Disturbance>,
    /// When some gateways were cut off from all targets, and until when.
    pub cut_from: Option<Instant>,
    pub cut_until: Option<Instant>,
    pub started: Option<Instant>,
    /// Pages of lists that each gateway has read.
    pub list_calls: HashMap<usize, u64>,
    /// Largest memory of each gateway, in megabytes.
    pub max_memory_mb: HashMap<usize, u64>,
    /// Lines of gateways' logs that tell of a panic.
    pub panics: Vec<String>,
    /// When this process, which the callers run in, was late, and by how much.
    pub lags: Vec<(Instant, Duration)>,
}

impl Observations {
    /// True if no fault of a gateway is recent, or comes, in a time. `contact` is how long a fault
    /// counts after the gateway is ready again.
    pub fn is_undisturbed(
        &self,
        entry: usize,
        from: Instant,
        until: Instant,
        contact: Duration,
    ) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.all(|disturbance| {
            disturbance.entry != entry
                || until < disturbance.from
                || disturbance.until + contact < from
        })
    }

    /// Longest lag of this process between two moments.
    pub fn max_lag(&self, from: Instant, until: Instant) -> Duration {
        let lags = self.lags.iter();
        let lags = lags.filter(|(noticed, lag)| *noticed >= from && *noticed - *lag <= until);
        lags.map(|(_, lag)| *lag).max().unwrap_or_default()
    }
}

/// A gateway process and its addresses and settings.
struct Gateway {
    config: EntryConfig,
    child: RefCell<Option<Child>>,
    failed_checks: Cell<u32>,
    starts: Cell<u32>,
    /// Times that its host was replaced by one of another name.
    replacements: Cell<u32>,
    /// Restarts in progress; an exit meanwhile is expected.
    restarts_in_progress: Cell<u32>,
    /// Pauses in progress.
    pauses: Cell<u32>,
}

/// The processes of a run.
pub struct Fleet {
    folder: PathBuf,
    program: PathBuf,
    old_program: Option<PathBuf>,
    gateways: Vec<Gateway>,
    platform: RefCell<Option<(Child, ChildStdin)>>,
    observations: Rc<RefCell<Observations>>,
    started: Instant,
    is_over: Cell<bool>,
    /// Gateways run in turn ([`super::turns`]).
    has_turns: bool,
}

/// An event that the platform prints as a line of JSON.
#[derive(Deserialize)]
struct EventLine {
    event: String,
    /// Since the start of the platform.
    at_ms: u64,
    service: Option<String>,
    hosts: Option<Vec<String>>,
    name: Option<String>,
    state: Option<String>,
    request: Option<String>,
    target: Option<String>,
    stage: Option<u64>,
    piece: Option<u64>,
    given_ms: Option<u64>,
    call: Option<String>,
    calls: Option<u64>,
    host: Option<usize>,
    bound_ms: Option<u64>,
    reason: Option<String>,
    promise: Option<String>,
    #[serde(rename = "what")]
    description: Option<String>,
}

impl EventLine {
    /// The work that a target got.
    fn arrival(&self) -> Option<Arrival> {
        Some(Arrival {
            service: self.service.clone()?,
            target: self.target.clone()?,
            request: self.request.clone()?,
            piece: self.stage.zip(self.piece),
            at: Duration::from_millis(self.at_ms),
            given: self.given_ms.map(Duration::from_millis),
            call: self.call.clone(),
        })
    }

    /// The request to a target that had left, as of now.
    fn late_send(&self) -> Option<LateSend> {
        let (entry, bound_ms) = (self.host?, self.bound_ms?);
        let (target, reason) = (self.target.as_deref()?, self.reason.as_deref()?);
        let at = Instant::now();
        Some(LateSend {
            entry,
            since: at - Duration::from_millis(bound_ms),
            at,
            description: format!(
                "{target} got a request of gateway {entry} {bound_ms} ms after {reason}"
            ),
        })
    }
}

impl Fleet {
    /// Starts the platform and all gateways, and waits until they are ready.
    pub async fn start(
        options: &SoakOptions,
        plan: &SoakPlan,
        limits: HostLimits,
    ) -> Result<Self, SoakError> {
        let folder = folder_for(options)?;
        let site = folder.join("site.ini");
        std::fs::write(&site, &plan.site_text).context(FolderSnafu { path: &site })?;
        let faults = folder.join("faults.txt");
        std::fs::write(&faults, plan.describe_faults()).context(FolderSnafu { path: &faults })?;
        let observations = Rc::new(RefCell::new(Observations::default()));
        let (platform, stores) = start_platform(&folder, &site, &observations).await?;
        let Site {
            halls, drain_ms, ..
        } = &plan.site;
        let configs = entry::configs(options.entries, halls, &stores, *drain_ms);
        let fleet = Fleet {
            gateways: configs
                .into_iter()
                .map(|config| Gateway::new(EntryConfig { limits, ..config }))
                .collect(),
            program: program_for(options),
            old_program: options.old_program.clone(),
            folder,
            platform: RefCell::new(Some(platform)),
            observations,
            started: Instant::now(),
            is_over: Cell::new(false),
            has_turns: plan.turns > 1,
        };
        let is_first = |index: &usize| !plan.joins_later(*index);
        let first: Vec<usize> = (0..fleet.gateways.len()).filter(is_first).collect();
        for gateway in &fleet.gateways {
            gateway.failed_checks.set(MAX_FAILED_CHECKS);
        }
        for index in first.iter().copied() {
            fleet.start_gateway(index)?;
        }
        for index in first {
            fleet.gateways[index].failed_checks.set(0);
            if !fleet.is_ready_within(index, READY_TIMEOUT).await {
                return Err(SoakError::NotReady {
                    process: fleet.gateways[index].config.host.clone(),
                    timeout_s: READY_TIMEOUT.as_secs(),
                    folder: fleet.folder.clone(),
                });
            }
        }
        fleet.observations.borrow_mut().started = Some(Instant::now());
        Ok(fleet)
    }

    /// Indexes and caller addresses of the gateways that pass readiness checks; all gateways
    /// if none does.
    pub fn ready(&self) -> Vec<(usize, SocketAddr)> {
        let all = self.gateways.iter().enumerate();
        let ready: Vec<_> = all
            .clone()
            .filter(|(_, gateway)| gateway.failed_checks.get() < MAX_FAILED_CHECKS)
            .map(|(index, gateway)| (index, gateway.config.callers()))
            .collect();
        match ready.is_empty() {
            true => all
                .map(|(index, gateway)| (index, gateway.config.callers()))
                .collect(),
            false => ready,
        }
    }

    /// Process ids of the gateways that run and aren't paused.
    pub fn pids(&self) -> Vec<Pid> {
        let running = self
            .gateways
            .iter()
            .filter(|gateway| gateway.pauses.get() == 0);
        let ids = running.map(|gateway| {
            let child = gateway.child.borrow();
            child.as_ref().and_then(Child::id)
        });
        ids.flatten()
            .filter_map(|id| Pid::from_raw(id.cast_signed()))
            .collect()
    }

    /// Polls the readiness of each gateway until the run is over.
    pub async fn poll_readiness(self: Rc<Self>) {
        while !self.is_over.get() {
            for gateway in &self.gateways {
                let check = caller::readiness(gateway.config.readiness());
                let is_ready = matches!(
                    tokio::time::timeout(READINESS_POLL_INTERVAL, check).await,
                    Ok(Some(200))
                );
                gateway.failed_checks.set(match is_ready {
                    true => 0,
                    false => gateway.failed_checks.get() + 1,
                });
            }
            self.record_unexpected_exits();
            self.record_memory();
            tokio::time::sleep(READINESS_POLL_INTERVAL).await;
        }
    }

    /// Records gateways that exited outside a planned restart.
    fn record_unexpected_exits(&self) {
        for gateway in &self.gateways {
            let Some(status) = gateway.try_exit_status() else {
                continue;
            };
            if gateway.restarts_in_progress.get() == 0 {
                let failure = format!("{} exited unexpectedly: {status}", gateway.config.host);
                self.observations.borrow_mut().exit_failures.push(failure);
            }
        }
    }

    fn record_memory(&self) {
        let mut observations = self.observations.borrow_mut();
        for (index, gateway) in self.gateways.iter().enumerate() {
            let id = gateway.child.borrow().as_ref().and_then(Child::id);
            let resident_mb = id.and_then(resident_mb).unwrap_or_default();
            let max_mb = observations.max_memory_mb.entry(index).or_default();
            *max_mb = resident_mb.max(*max_mb);
        }
    }

    /// Injects the gateway faults on schedule and returns at the end of the run.
    pub async fn run_faults(self: &Rc<Self>, plan: &SoakPlan) {
        let polling = actix_rt::spawn(self.clone().poll_readiness());
        let measuring = actix_rt::spawn(self.clone().measure_lag());
        let faults = plan.faults.iter().map(|fault| self.clone().inject(*fault));
        futures_util::future::join_all(faults).await;
        tokio::time::sleep(plan.duration.saturating_sub(self.started.elapsed())).await;
        self.is_over.set(true);
        // Returns because `is_over` is set.
        let _joined = futures_util::future::join(polling, measuring).await;
    }

    /// Records when this process is late, until the run is over.
    async fn measure_lag(self: Rc<Self>) {
        while !self.is_over.get() {
            let due = Instant::now() + LAG_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            let lag = due.elapsed();
            if lag >= LEAST_LAG {
                let noticed = Instant::now();
                self.observations.borrow_mut().lags.push((noticed, lag));
            }
        }
    }

    async fn inject(self: Rc<Self>, planned: PlannedFault) {
        tokio::time::sleep(planned.at.saturating_sub(self.started.elapsed())).await;
        let from = Instant::now();
        match planned.fault {
            EntryFault::Pause => self.pause(planned).await,
            EntryFault::Kill => self.restart(planned, Signal::KILL).await,
            EntryFault::Stop => self.restart(planned, Signal::TERM).await,
            EntryFault::Join => self.start_if_absent(planned.entry),
            EntryFault::Replace => {
                let replacements = &self.gateways[planned.entry].replacements;
                replacements.set(replacements.get() + 1);
                self.restart(planned, Signal::KILL).await;
            }
        }
        self.is_ready_within(planned.entry, READY_TIMEOUT).await;
        self.observations
            .borrow_mut()
            .disturbances
            .push(Disturbance {
                entry: planned.entry,
                fault: planned.fault,
                from,
                until: Instant::now(),
            });
    }

    /// Suspends a gateway, once gateways that run in turn leave it alone.
    async fn pause(&self, planned: PlannedFault) {
        let pauses = &self.gateways[planned.entry].pauses;
        pauses.set(pauses.get() + 1);
        if self.has_turns {
            tokio::time::sleep(2 * ROUND).await;
        }
        self.signal(planned.entry, Signal::STOP);
        tokio::time::sleep(planned.duration).await;
        self.signal(planned.entry, Signal::CONT);
        pauses.set(pauses.get() - 1);
    }

    fn signal(&self, index: usize, signal: Signal) {
        let child = self.gateways[index].child.borrow();
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(Err(err)) = pid.map(|pid| kill_process(pid, signal)) {
            log::warn!("cannot signal gateway {index}: {err}");
        }
    }

    /// Ends a gateway with a signal and starts it again after the planned delay. If faults of
    /// one gateway overlap, the first task that finds it exited starts it.
    async fn restart(&self, planned: PlannedFault, signal: Signal) {
        let gateway = &self.gateways[planned.entry];
        gateway
            .restarts_in_progress
            .set(gateway.restarts_in_progress.get() + 1);
        let start = gateway.starts.get();
        self.signal(planned.entry, signal);
        if !gateway.exits_within(start, EXIT_TIMEOUT).await {
            let (host, timeout_s) = (&gateway.config.host, EXIT_TIMEOUT.as_secs());
            let failure = format!("{host} had not exited {timeout_s} s after {signal:?}");
            self.observations.borrow_mut().exit_failures.push(failure);
            // Dropping the handle kills the process.
            drop(gateway.child.take());
        }
        tokio::time::sleep(planned.duration).await;
        self.start_if_absent(planned.entry);
        gateway
            .restarts_in_progress
            .set(gateway.restarts_in_progress.get() - 1);
    }

    fn start_if_absent(&self, index: usize) {
        if self.gateways[index].child.borrow().is_some() {
            return;
        }
        if let Err(err) = self.start_gateway(index) {
            let mut observations = self.observations.borrow_mut();
            observations.exit_failures.push(err.to_string());
        }
    }

    fn start_gateway(&self, index: usize) -> Result<(), SoakError> {
        let gateway = &self.gateways[index];
        let config = gateway.present_config();
        let host = &config.host;
        let settings = self.folder.join(format!("{host}.yaml"));
        std::fs::write(&settings, config.settings()).context(FolderSnafu { path: &settings })?;
        let start = gateway.starts.get() + 1;
        gateway.starts.set(start);
        let output = self.folder.join(format!("{host}.{start}.log"));
        let file = File::create(&output).context(FolderSnafu { path: &output })?;
        let stdout = file.try_clone().context(FolderSnafu { path: &output })?;
        let old_program = self.old_program.as_ref().filter(|_| index == 0);
        let program = old_program.unwrap_or(&self.program);
        let child = Command::new(program)
            .arg("gateway")
            .env(SETTINGS_VARIABLE, &settings)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .context(StartSnafu { program })?;
        *gateway.child.borrow_mut() = Some(child);
        Ok(())
    }

    async fn is_ready_within(&self, index: usize, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let check = caller::readiness(self.gateways[index].config.readiness());
            if let Ok(Some(200)) = tokio::time::timeout(READINESS_POLL_INTERVAL, check).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Stops all processes and returns what the run recorded.
    pub async fn shut_down(&self) -> Observations {
        for gateway in &self.gateways {
            drop(gateway.child.take());
        }
        if let Some((mut child, stdin)) = self.platform.take() {
            drop(stdin);
            let exited = tokio::time::timeout(READY_TIMEOUT, child.wait()).await;
            if !matches!(exited, Ok(Ok(_))) {
                let mut observations = self.observations.borrow_mut();
                observations
                    .exit_failures
                    .push("the platform did not exit".to_string());
            }
        }
        let mut observations = self.observations.take();
        observations.panics = read_panics(&self.folder);
        match GrantLog::read(&self.folder) {
            Ok(grants) => observations.grants = grants,
            Err(err) => {
                let failure = format!("cannot read the logs: {err}");
                observations.exit_failures.push(failure);
            }
        }
        observations
    }
}

impl Gateway {
    fn new(config: EntryConfig) -> Self {
        Gateway {
            config,
            child: RefCell::new(None),
            failed_checks: Cell::new(0),
            starts: Cell::new(0),
            replacements: Cell::new(0),
            restarts_in_progress: Cell::new(0),
            pauses: Cell::new(0),
        }
    }
}

impl Gateway {
    /// Its settings, under the name that its host has now.
    fn present_config(&self) -> EntryConfig {
        let config = self.config.clone();
        match self.replacements.get() {
            0 => config,
            number => EntryConfig {
                host: format!("{}-new-{number}", config.host),
                ..config
            },
        }
    }

    /// Exit status if the process has exited since the last call.
    fn try_exit_status(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status)
    }

    /// Waits for the process of a start to exit; false on timeout. Another fault may have started the
    /// next one already. The time in which it is suspended doesn't count, as it handles no signal then.
    async fn exits_within(&self, start: u32, timeout: Duration) -> bool {
        let mut running = Duration::ZERO;
        while running < timeout {
            let checked = Instant::now();
            if self.starts.get() != start
                || self.try_exit_status().is_some()
                || self.child.borrow().is_none()
            {
                return true;
            }
            let is_paused = self.pauses.get() > 0;
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
            if !is_paused {
                running += checked.elapsed();
            }
        }
        false
    }
}

/// Resident memory of a process, in megabytes.
fn resident_mb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kb: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kb / 1_024)
}

/// Lines that tell of a panic, in the logs of gateways.
fn read_panics(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let paths = files.map(|file| file.path());
    let logs = paths.filter(|path| path.extension().is_some_and(|extension| extension == "log"));
    let mut panics = Vec::new();
    for path in logs {
        let log = std::fs::read(&path).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        let lines = log.lines().filter(|line| line.contains("panicked"));
        panics.extend(lines.map(|line| format!("{}: {line}", path.display())));
    }
    panics
}

fn folder_for(options: &SoakOptions) -> Result<PathBuf, SoakError> {
    let name = format!("soak-{}-{}", options.seed, std::process::id());
    let folder = options.folder.clone();
    let folder = folder
        .unwrap_or_else(|| PathBuf::from("target/soak"))
        .join(name);
    std::fs::create_dir_all(&folder).context(FolderSnafu { path: &folder })?;
    Ok(folder)
}

/// The gateway program: `--program`, or `hollowsail` in the directory of this executable.
fn program_for(options: &SoakOptions) -> PathBuf {
    let sibling = || {
        let own = std::env::current_exe().unwrap_or_default();
        own.with_file_name("hollowsail")
    };
    options.program.clone().unwrap_or_else(sibling)
}

async fn start_platform(
    folder: &Path,
    site: &Path,
    observations: &Rc<RefCell<Observations>>,
) -> Result<((Child, ChildStdin), Vec<SocketAddr>), SoakError> {
    let program = std::env::current_exe().unwrap_or_default();
    let output = folder.join("platform.log");
    let file = File::create(&output).context(FolderSnafu { path: &output })?;
    let mut child = Command::new(&program)
        .args(["platform", "--site"])
        .arg(site)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(file)
        .kill_on_drop(true)
        .spawn()
        .context(StartSnafu { program: &program })?;
    let not_ready = || SoakError::NotReady {
        process: "the platform".to_string(),
        timeout_s: READY_TIMEOUT.as_secs(),
        folder: folder.to_path_buf(),
    };
    let stdin = child.stdin.take().ok_or_else(not_ready)?;
    let stdout = child.stdout.take().ok_or_else(not_ready)?;
    let mut lines = BufReader::new(stdout).lines();
    let ready = tokio::time::timeout(READY_TIMEOUT, read_ready(&mut lines)).await;
    let (stores, started) = ready.ok().flatten().ok_or_else(not_ready)?;
    observations.borrow_mut().platform_started = Some(started);
    let path = folder.join("events.jsonl");
    let copy = File::create(&path).context(FolderSnafu { path: &path })?;
    actix_rt::spawn(follow_events(lines, copy, observations.clone()));
    Ok(((child, stdin), stores))
}

type EventLines = tokio::io::Lines<BufReader<ChildStdout>>;

/// Addresses of the store for each gateway and the start of the platform, from its first event.
async fn read_ready(lines: &mut EventLines) -> Option<(Vec<SocketAddr>, Instant)> {
    let line = lines.next_line().await.ok()??;
    let event: EventLine = serde_json::from_str(&line).ok()?;
    let started = Instant::now() - Duration::from_millis(event.at_ms);
    let hosts = event.hosts?.into_iter();
    let stores = hosts.map(|addr| addr.parse().ok()).collect::<Option<_>>()?;
    Some((stores, started))
}

/// Records the platform's events, and keeps a copy of them in the run's folder.
async fn follow_events(mut lines: EventLines, copy: File, observations: Rc<RefCell<Observations>>) {
    let mut copy = BufWriter::new(copy);
    while let Ok(Some(line)) = lines.next_line().await {
        if let Err(err) = writeln!(copy, "{line}") {
            log::warn!("cannot keep a platform event: {err}");
        }
        let event: EventLine = match serde_json::from_str(&line) {
            Ok(event) => event,
            Err(err) => {
                log::warn!("cannot parse platform event: {err}: {line}");
                continue;
            }
        };
        let mut observations = observations.borrow_mut();
        let late_send = event.late_send();
        if event.event == "arrived" {
            observations.arrivals.extend(event.arrival());
            continue;
        }
        match (event.event.as_str(), event.request) {
            ("ran", Some(request)) => {
                let target = event.target.unwrap_or_default();
                observations.attempt_targets.record(&request, &target);
                observations.ran.insert(request);
            }
            ("trouble", _) if event.name.as_deref() == Some(CUT_TROUBLE) => {
                match event.state.as_deref() {
                    Some("begins") => observations.cut_from = Some(Instant::now()),
                    _ => observations.cut_until = Some(Instant::now()),
                }
            }
            ("answered", Some(request)) => drop(observations.answered.insert(request)),
            ("cut", Some(request)) => drop(observations.cut.insert(request)),
            ("pieces", Some(request)) => drop(observations.pieces.insert(request)),
            ("repeat", _) => observations
                .repeats
                .extend(event.service.map(|service| Repeat {
                    service,
                    at: Duration::from_millis(event.at_ms),
                })),
            ("late_send", _) => observations.late_sends.extend(late_send),
            ("list_calls", _) => observations.list_calls.extend(event.host.zip(event.calls)),
            ("fatal_crash", _) => observations.fatal_crashes.push(Instant::now()),
            ("late_fatal_request", _) => {
                let late = event.host.map(|entry| (entry, Instant::now()));
                observations.late_fatal.extend(late);
            }
            ("broken", _) => {
                let promise = event.promise.unwrap_or_default();
                let description = event.description.unwrap_or_default();
                let kind = FailureKind::Platform(promise);
                observations.broken.push(Failure::new(kind, description));
            }
            _ => {}
        }
    }
}
