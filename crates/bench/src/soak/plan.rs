//! Draws what goes wrong in a run.

use std::time::Duration;

use hollowsail_config::SourceFile;
use hollowsail_platform_emulator::{added_path, RouteModel, Site};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// When the first fault comes, and how long before the end the last one begins.
const FIRST_FAULT_S: u64 = 4;
const LAST_FAULT_BEFORE_END_S: u64 = 8;
/// How long a target that leaves still takes requests, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How long targets name a limit, in milliseconds: longer than until it has to be kept to.
const LIMITED_MS: u64 = 9_000;
/// Name of the trouble that adds a route.
const ADDED: &str = "added";
/// Position of the route that it adds a second time.
const ADDED_ROUTE: usize = 0;

/// What is done to a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// Killed, and started again after a while.
    Kill,
    /// Told to stop, and started again once it has ended.
    Stop,
    /// Stopped for a while without knowing.
    Pause,
}

/// A fault and its time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub fault: EntryFault,
    pub entry: usize,
    pub at: Duration,
    pub lasts: Duration,
}

/// What a run does.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Text of the site file, and what it says.
    pub site_text: String,
    pub site: Site,
    pub faults: Vec<PlannedFault>,
    pub length: Duration,
}

const SERVICES: &str = "\
[service.plain]
kind = plain
targets = 6
slots = 8
queue = 8
work_ms = 15

[service.encoders]
kind = stage
targets = 4
slots = 1
queue = 2
batch = 8
work_ms = 30
piece_ms = 3

[service.engines]
kind = engines
targets = 6
slots = 16
queue = 16
work_ms = 10
events = 6

[route.plain]
kind = safe
path = /safe/plain/
service = plain

[route.once]
kind = once
path = /once/
service = plain

[route.answers]
kind = stream
path = /answers/
service = engines
stages = encoders
target_ms = 1500
timeout_ms = 6000
";

impl SoakPlan {
    /// Draws a run: every kind of fault once, in any order, some of them over each other.
    pub fn draw(seed: u64, seconds: u64, entries: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let latest = seconds
            .saturating_sub(LAST_FAULT_BEFORE_END_S)
            .max(FIRST_FAULT_S + 1);
        let mut at_ms = || rng.random_range(FIRST_FAULT_S * 1_000..latest * 1_000);
        let added_ms = at_ms();
        let limited_ms = at_ms();
        let troubles = [
            format!(
                "[trouble.silent]\nwhat = store-silent\nat_ms = {}\nfor_ms = 3000\n",
                at_ms()
            ),
            // Each has targets of its own: one that has ended can't do anything else.
            trouble("gone", "targets-gone", "plain", 0, at_ms(), 1_000),
            trouble("ended", "targets-gone", "encoders", 0, at_ms(), 1_000),
            trouble(
                "leaving",
                "targets-leave",
                "engines",
                0,
                at_ms(),
                DRAIN_MS + 500,
            ),
            trouble(
                "limited",
                "targets-limited",
                "plain",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            trouble(
                "scarce",
                "targets-limited",
                "engines",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            trouble(
                "short",
                "targets-limited",
                "encoders",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            format!("[trouble.{ADDED}]\nwhat = route-added\nroute = {ADDED_ROUTE}\nat_ms = {added_ms}\n"),
        ];
        let mut kinds = vec![EntryFault::Kill, EntryFault::Stop, EntryFault::Pause];
        kinds.shuffle(&mut rng);
        let faults = kinds.into_iter().map(|fault| PlannedFault {
            fault,
            entry: rng.random_range(0..entries),
            at: Duration::from_millis(rng.random_range(FIRST_FAULT_S * 1_000..latest * 1_000)),
            lasts: Duration::from_millis(rng.random_range(500..2_500)),
        });
        let mut faults: Vec<PlannedFault> = faults.collect();
        faults.sort_by_key(|fault| fault.at);
        let platform = format!("[platform]\nhalls = hall-a, hall-b\ndrain_ms = {DRAIN_MS}\n");
        let site_text = format!("{platform}\n{SERVICES}\n{}", troubles.join("\n"));
        SoakPlan {
            site: parse(&site_text),
            site_text,
            faults,
            length: Duration::from_secs(seconds),
        }
    }

    /// What is done to the gateways, a line each.
    pub fn faults_in_words(&self) -> String {
        let lines = self.faults.iter().map(|planned| {
            let PlannedFault {
                fault,
                entry,
                at,
                lasts,
            } = planned;
            let (at, lasts) = (at.as_millis(), lasts.as_millis());
            format!("{at} ms: {fault:?} gateway {entry} for {lasts} ms\n")
        });
        lines.collect()
    }

    /// The route that the operators add.
    pub fn added_route(&self) -> RouteModel {
        let route = self.site.routes[ADDED_ROUTE].clone();
        RouteModel {
            path: added_path(&route.path, ADDED),
            ..route
        }
    }
}

fn parse(site_text: &str) -> Site {
    let source = SourceFile {
        name: "site.ini".into(),
        text: site_text.into(),
    };
    Site::parse(&source).expect("the site of every plan is right")
}

/// A trouble of two targets, from one on.
fn trouble(name: &str, what: &str, service: &str, first: usize, at_ms: u64, for_ms: u64) -> String {
    let per_s = match what {
        "targets-limited" => "per_s = 2\n",
        _ => "",
    };
    format!(
        "[trouble.{name}]\nwhat = {what}\nservice = {service}\nfirst = {first}\ntargets = 2\n{per_s}\
         at_ms = {at_ms}\nfor_ms = {for_ms}\n"
    )
}
