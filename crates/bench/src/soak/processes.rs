//! The platform and the gateways as processes: starting, signalling and watching them.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::entry::{self, EntryPlace, GRACE_S, SETTINGS_VARIABLE};
use hollowsail_platform_emulator::{caller, Site};
use rustix::process::{kill_process, Pid, Signal};
use serde::Deserialize;
use snafu::ResultExt;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};

use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::{FolderSnafu, SoakError, SoakOptions, StartSnafu};

/// Longest time for the platform, and for a gateway, until it is up.
const UP_WITHIN: Duration = Duration::from_secs(20);
/// Longest time from a signal to the end of a gateway that was paused just then.
const END_WITHIN: Duration = Duration::from_secs(GRACE_S as u64 + 4);
/// Between two looks whether a gateway has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Between two questions of the balancer.
const ASK_EVERY: Duration = Duration::from_millis(300);
/// Misses after which a gateway gets no new connections.
const MOST_MISSES: u32 = 2;

/// What was done to a gateway, and when.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    pub entry: usize,
    pub fault: EntryFault,
    pub from: Instant,
    /// Until it was ready again.
    pub until: Instant,
}

/// What was seen of the processes.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests on which a target began to work.
    pub ran: HashSet<String>,
    /// Promises that the platform's own account found broken.
    pub broken: Vec<String>,
    /// Processes that ended by themselves, and how.
    pub ends: Vec<String>,
    pub disturbances: Vec<Disturbance>,
    pub begun: Option<Instant>,
}

/// A gateway and its place.
struct Gateway {
    place: EntryPlace,
    child: RefCell<Option<Child>>,
    misses: Cell<u32>,
    starts: Cell<u32>,
    /// Faults under way after which it is started again: its end isn't its own then.
    replacements: Cell<u32>,
}

/// All processes of a run.
pub struct Fleet {
    folder: PathBuf,
    program: PathBuf,
    gateways: Vec<Gateway>,
    platform: RefCell<Option<(Child, ChildStdin)>>,
    seen: Rc<RefCell<Seen>>,
    begun: Instant,
    is_over: Cell<bool>,
}

/// A line of the platform's events.
#[derive(Deserialize)]
struct EventLine {
    event: String,
    store: Option<String>,
    request: Option<String>,
    promise: Option<String>,
    what: Option<String>,
}

impl Fleet {
    /// Starts the platform and all gateways, and waits until they are ready.
    pub async fn start(options: &SoakOptions, plan: &SoakPlan) -> Result<Self, SoakError> {
        let folder = folder_for(options)?;
        let site = folder.join("site.ini");
        std::fs::write(&site, &plan.site_text).context(FolderSnafu { path: &site })?;
        let faults = folder.join("faults.txt");
        std::fs::write(&faults, plan.faults_in_words()).context(FolderSnafu { path: &faults })?;
        let seen = Rc::new(RefCell::new(Seen::default()));
        let (platform, store) = start_platform(&folder, &site, &seen).await?;
        let Site {
            halls, drain_ms, ..
        } = &plan.site;
        let places = entry::places(options.entries, halls, store, *drain_ms);
        let fleet = Fleet {
            gateways: places.into_iter().map(Gateway::new).collect(),
            program: program_for(options),
            folder,
            platform: RefCell::new(Some(platform)),
            seen,
            begun: Instant::now(),
            is_over: Cell::new(false),
        };
        for at in 0..fleet.gateways.len() {
            fleet.start_gateway(at)?;
        }
        for at in 0..fleet.gateways.len() {
            if !fleet.is_ready_within(at, UP_WITHIN).await {
                return Err(SoakError::NotUp {
                    what: fleet.gateways[at].place.host.clone(),
                    within: UP_WITHIN.as_secs(),
                    folder: fleet.folder.clone(),
                });
            }
        }
        fleet.seen.borrow_mut().begun = Some(Instant::now());
        Ok(fleet)
    }

    /// Where gateways take callers' connections now, by the balancer; all of them where it
    /// knows of none.
    pub fn ready(&self) -> Vec<(usize, SocketAddr)> {
        let all = self.gateways.iter().enumerate();
        let at: Vec<_> = all
            .clone()
            .filter(|(_, gateway)| gateway.misses.get() < MOST_MISSES)
            .map(|(at, gateway)| (at, gateway.place.callers()))
            .collect();
        match at.is_empty() {
            true => all
                .map(|(at, gateway)| (at, gateway.place.callers()))
                .collect(),
            false => at,
        }
    }

    /// Asks each gateway whether it is ready, until the run is over.
    pub async fn balance(self: Rc<Self>) {
        while !self.is_over.get() {
            for gateway in &self.gateways {
                let asked = caller::readiness(gateway.place.readiness());
                let is_ready =
                    matches!(tokio::time::timeout(ASK_EVERY, asked).await, Ok(Some(200)));
                gateway.misses.set(match is_ready {
                    true => 0,
                    false => gateway.misses.get() + 1,
                });
            }
            self.look_for_ends();
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    /// Notes gateways that ended by themselves.
    fn look_for_ends(&self) {
        for gateway in &self.gateways {
            let Some(status) = gateway.has_ended() else {
                continue;
            };
            if gateway.replacements.get() == 0 {
                let end = format!("{} ended by itself: {status}", gateway.place.host);
                self.seen.borrow_mut().ends.push(end);
            }
        }
    }

    /// Plays the faults of the gateways, each at its time, until the run's length is over.
    pub async fn play(self: &Rc<Self>, plan: &SoakPlan) {
        let balancing = actix_rt::spawn(self.clone().balance());
        let faults = plan.faults.iter().map(|fault| self.clone().disturb(*fault));
        futures_util::future::join_all(faults).await;
        tokio::time::sleep(plan.length.saturating_sub(self.begun.elapsed())).await;
        self.is_over.set(true);
        // It ends by itself.
        let _ended = balancing.await;
    }

    async fn disturb(self: Rc<Self>, planned: PlannedFault) {
        tokio::time::sleep(planned.at.saturating_sub(self.begun.elapsed())).await;
        let from = Instant::now();
        match planned.fault {
            EntryFault::Pause => {
                self.signal(planned.entry, Signal::STOP);
                tokio::time::sleep(planned.lasts).await;
                self.signal(planned.entry, Signal::CONT);
            }
            EntryFault::Kill => self.replace(planned, Signal::KILL).await,
            EntryFault::Stop => self.replace(planned, Signal::TERM).await,
        }
        self.is_ready_within(planned.entry, UP_WITHIN).await;
        self.seen.borrow_mut().disturbances.push(Disturbance {
            entry: planned.entry,
            fault: planned.fault,
            from,
            until: Instant::now(),
        });
    }

    fn signal(&self, at: usize, signal: Signal) {
        let child = self.gateways[at].child.borrow();
        let id = child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(Err(err)) = pid.map(|pid| kill_process(pid, signal)) {
            log::warn!("gateway {at} can't be signalled: {err}");
        }
    }

    /// Ends a gateway by a signal, and starts it again a while after it has ended. Faults of
    /// one gateway may overlap: it is started by whoever finds it gone.
    async fn replace(&self, planned: PlannedFault, signal: Signal) {
        let gateway = &self.gateways[planned.entry];
        gateway.replacements.set(gateway.replacements.get() + 1);
        self.signal(planned.entry, signal);
        if !gateway.ends_within(END_WITHIN).await {
            let (host, longest) = (&gateway.place.host, END_WITHIN.as_secs());
            let end = format!("{host} was still there {longest} s after {signal:?}");
            self.seen.borrow_mut().ends.push(end);
            // The process ends with its handle.
            drop(gateway.child.take());
        }
        tokio::time::sleep(planned.lasts).await;
        if gateway.child.borrow().is_none() {
            if let Err(err) = self.start_gateway(planned.entry) {
                self.seen.borrow_mut().ends.push(err.to_string());
            }
        }
        gateway.replacements.set(gateway.replacements.get() - 1);
    }

    fn start_gateway(&self, at: usize) -> Result<(), SoakError> {
        let gateway = &self.gateways[at];
        let host = &gateway.place.host;
        let settings = self.folder.join(format!("{host}.yaml"));
        std::fs::write(&settings, gateway.place.settings())
            .context(FolderSnafu { path: &settings })?;
        let start = gateway.starts.get() + 1;
        gateway.starts.set(start);
        let output = self.folder.join(format!("{host}.{start}.log"));
        let file = File::create(&output).context(FolderSnafu { path: &output })?;
        let too = file.try_clone().context(FolderSnafu { path: &output })?;
        let child = Command::new(&self.program)
            .arg("gateway")
            .env(SETTINGS_VARIABLE, &settings)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(too)
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .context(StartSnafu {
                program: &self.program,
            })?;
        *gateway.child.borrow_mut() = Some(child);
        Ok(())
    }

    async fn is_ready_within(&self, at: usize, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            let asked = caller::readiness(self.gateways[at].place.readiness());
            if let Ok(Some(200)) = tokio::time::timeout(ASK_EVERY, asked).await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Ends all processes; what was seen of them.
    pub async fn end(&self) -> Seen {
        for gateway in &self.gateways {
            drop(gateway.child.take());
        }
        if let Some((mut child, stdin)) = self.platform.take() {
            drop(stdin);
            let ended = tokio::time::timeout(UP_WITHIN, child.wait()).await;
            if !matches!(ended, Ok(Ok(_))) {
                let mut seen = self.seen.borrow_mut();
                seen.ends.push("the platform did not end".to_string());
            }
        }
        std::mem::take(&mut *self.seen.borrow_mut())
    }
}

impl Gateway {
    fn new(place: EntryPlace) -> Self {
        Gateway {
            place,
            child: RefCell::new(None),
            misses: Cell::new(0),
            starts: Cell::new(0),
            replacements: Cell::new(0),
        }
    }
}

impl Gateway {
    /// How it ended, when it has since the last look.
    fn has_ended(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status)
    }

    /// Waits until no process is there.
    async fn ends_within(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.has_ended().is_some() || self.child.borrow().is_none() {
                return true;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        false
    }
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

/// The program that is told, or the one beside this one.
fn program_for(options: &SoakOptions) -> PathBuf {
    let beside = || {
        let own = std::env::current_exe().unwrap_or_default();
        own.with_file_name("hollowsail")
    };
    options.program.clone().unwrap_or_else(beside)
}

async fn start_platform(
    folder: &Path,
    site: &Path,
    seen: &Rc<RefCell<Seen>>,
) -> Result<((Child, ChildStdin), SocketAddr), SoakError> {
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
    let not_up = || SoakError::NotUp {
        what: "the platform".to_string(),
        within: UP_WITHIN.as_secs(),
        folder: folder.to_path_buf(),
    };
    let stdin = child.stdin.take().ok_or_else(not_up)?;
    let stdout = child.stdout.take().ok_or_else(not_up)?;
    let mut lines = BufReader::new(stdout).lines();
    let store = tokio::time::timeout(UP_WITHIN, store_of(&mut lines)).await;
    let store = store.ok().flatten().ok_or_else(not_up)?;
    actix_rt::spawn(follow_events(lines, seen.clone()));
    Ok(((child, stdin), store))
}

type EventLines = tokio::io::Lines<BufReader<ChildStdout>>;

/// Where the store is, by the platform's first event.
async fn store_of(lines: &mut EventLines) -> Option<SocketAddr> {
    let line = lines.next_line().await.ok()??;
    let event: EventLine = serde_json::from_str(&line).ok()?;
    event.store?.parse().ok()
}

async fn follow_events(mut lines: EventLines, seen: Rc<RefCell<Seen>>) {
    while let Ok(Some(line)) = lines.next_line().await {
        let event: EventLine = match serde_json::from_str(&line) {
            Ok(event) => event,
            Err(err) => {
                log::warn!("an event of the platform can't be read: {err}: {line}");
                continue;
            }
        };
        let mut seen = seen.borrow_mut();
        match (event.event.as_str(), event.request) {
            ("ran", Some(request)) => drop(seen.ran.insert(request)),
            ("broken", _) => {
                let promise = event.promise.unwrap_or_default();
                let what = event.what.unwrap_or_default();
                seen.broken.push(format!("{promise}: {what}"));
            }
            _ => {}
        }
    }
}
