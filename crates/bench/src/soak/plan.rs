//! Draws the plan of a soak run from its seed: the site with its troubles, and the gateway
//! faults. The same seed and options always give the same plan.

use std::ops::Range;
use std::time::Duration;

use hollowsail_config::SourceFile;
use hollowsail_platform_emulator::{added_path, RouteModel, Site};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::contention::{self, Burst};
use super::crowding::{self, Crowding};
use super::{brittle, departures, fragile, versions, SoakOptions};

/// Earliest start of a fault, and the latest one counted from the end of the run, in seconds.
const FIRST_FAULT_S: u64 = 4;
const LAST_FAULT_BEFORE_END_S: u64 = 8;
/// How long a draining target accepts requests, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// How long targets report a limit, in milliseconds; longer than gateways may take to comply.
const LIMITED_MS: u64 = 9_000;
/// How long responses have no framing, in milliseconds.
const UNFRAMED_MS: u64 = 8_000;
/// Percentage of streams that are broken off meanwhile.
const UNFRAMED_CUT_PERCENT: u32 = 20;
/// Separates the random stream of that time from the one of the other troubles.
const UNFRAMED_STREAM: u64 = 0x756e_6672;
/// Trouble that cuts gateways off from all targets, and how long, in milliseconds.
pub const CUT_TROUBLE: &str = "cut";
const CUT_MS: u64 = 8_000;
pub const CUT_MODES: [&str; 4] = ["refusing", "resetting", "silent", "answers-lost"];
/// Separates the random stream of the cut from the one of the other troubles.
const CUT_STREAM: u64 = 0x6375_745f;
/// Trouble that adds a route.
const ADDED_TROUBLE: &str = "added";
/// Index of the route that is added under a second path.
const ADDED_ROUTE_INDEX: usize = 0;

/// A fault injected into a gateway process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// SIGKILL, then a restart after a delay.
    Kill,
    /// SIGTERM, then a restart after a delay once it has exited.
    Stop,
    /// SIGSTOP, then SIGCONT.
    Pause,
    /// The first start, while others run.
    Join,
    /// SIGKILL, then a start under another host name after a delay.
    Replace,
}

/// A scheduled gateway fault.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    pub fault: EntryFault,
    pub entry: usize,
    /// Offset from the start of the run.
    pub at: Duration,
    pub duration: Duration,
}

impl PlannedFault {
    /// A fault that begins at a time and lasts for another, both in milliseconds.
    pub fn of_ms(fault: EntryFault, entry: usize, at_ms: u64, for_ms: u64) -> Self {
        PlannedFault {
            fault,
            entry,
            at: Duration::from_millis(at_ms),
            duration: Duration::from_millis(for_ms),
        }
    }
}

/// The plan of a soak run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Text of the site file; `site` is its parsed form.
    pub site_text: String,
    pub site: Site,
    pub faults: Vec<PlannedFault>,
    /// Gateways that are cut off from all targets for a time.
    pub cut: Range<usize>,
    pub burst: Burst,
    /// When a part of prompts crashes engines, from and until.
    pub fragile: (Duration, Duration),
    /// When most new connections go to one gateway.
    pub crowding: Crowding,
    /// Groups of gateways that run in turn, which gives each this part of a core; 1 if all run at once.
    pub turns: usize,
    pub duration: Duration,
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
    /// Draws a plan with each kind of fault once, in random order; faults may overlap.
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
            // Troubles of different kinds use disjoint targets: one that has exited can't drain
            // or report a limit.
            trouble_section("gone", "targets-gone", "plain", 0, at_ms(), 1_000),
            trouble_section("ended", "targets-gone", "encoders", 0, at_ms(), 1_000),
            trouble_section(
                "leaving",
                "targets-leave",
                "engines",
                0,
                at_ms(),
                DRAIN_MS + 500,
            ),
            trouble_section(
                "limited",
                "targets-limited",
                "plain",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            trouble_section(
                "scarce",
                "targets-limited",
                "engines",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            trouble_section(
                "short",
                "targets-limited",
                "encoders",
                2,
                limited_ms,
                LIMITED_MS,
            ),
            unframed_section(seed, latest, "engines", UNFRAMED_CUT_PERCENT),
            unframed_section(seed, latest, "plain", 0),
            unframed_section(seed, latest, "encoders", 0),
            format!("[trouble.{ADDED_TROUBLE}]\nwhat = route-added\nroute = {ADDED_ROUTE_INDEX}\nat_ms = {added_ms}\n"),
        ];
        let mut kinds = vec![EntryFault::Kill, EntryFault::Stop, EntryFault::Pause];
        kinds.shuffle(&mut rng);
        let faults = kinds.into_iter().map(|fault| PlannedFault {
            fault,
            entry: rng.random_range(0..entries),
            at: Duration::from_millis(rng.random_range(FIRST_FAULT_S * 1_000..latest * 1_000)),
            duration: Duration::from_millis(rng.random_range(500..2_500)),
        });
        let mut faults: Vec<PlannedFault> = faults.collect();
        faults.sort_by_key(|fault| fault.at);
        let (contention, burst) = contention::draw(seed, latest);
        let versions = versions::draw(seed, latest);
        let brittle = brittle::draw(seed, latest);
        let departures = departures::draw(seed, latest, entries);
        let (fragile_sections, fragile) = fragile::draw(seed, latest);
        let (cut_section, cut) = draw_cut(seed, latest, entries);
        let platform = platform_section(seed, entries);
        let site_text = format!(
            "{platform}\n{SERVICES}\n{}\n{cut_section}\n{contention}\n{versions}\n{brittle}\n\
             {departures}\n{fragile_sections}\n{}",
            troubles.join("\n"),
            crowding::sections()
        );
        SoakPlan {
            site: parse(&site_text),
            site_text,
            faults,
            cut,
            burst,
            fragile,
            crowding: Crowding::draw(seed, latest, entries),
            turns: 1,
            duration: Duration::from_secs(seconds),
        }
    }

    /// The plan of a run on a site with these sections, the first of which continues the one of the
    /// platform, and with only these faults.
    pub fn of_site(
        options: &SoakOptions,
        sections: &str,
        faults: Vec<PlannedFault>,
        duration: Duration,
    ) -> Self {
        let SoakOptions { seed, entries, .. } = options;
        let site_text = format!("{}{sections}", platform_section(*seed, *entries));
        SoakPlan {
            site: parse(&site_text),
            site_text,
            faults,
            cut: 0..0,
            duration,
            ..Self::draw(*seed, duration.as_secs(), *entries)
        }
    }

    /// True if a gateway starts only during the run.
    pub fn joins_later(&self, entry: usize) -> bool {
        let mut joins = self
            .faults
            .iter()
            .filter(|planned| planned.fault == EntryFault::Join);
        joins.any(|planned| planned.entry == entry)
    }

    /// Lists the gateway faults, one per line.
    pub fn describe_faults(&self) -> String {
        let lines = self.faults.iter().map(|planned| {
            let PlannedFault {
                fault,
                entry,
                at,
                duration,
            } = planned;
            let (at, duration) = (at.as_millis(), duration.as_millis());
            format!("{at} ms: {fault:?} gateway {entry} for {duration} ms\n")
        });
        let cut = format!("gateways {:?} are cut off from all targets\n", self.cut);
        let turns = format!("gateways run in {} turns\n", self.turns);
        lines.chain([self.burst.to_string(), cut, turns]).collect()
    }

    /// The route that is added during the run.
    pub fn added_route(&self) -> RouteModel {
        let route = self.site.routes[ADDED_ROUTE_INDEX].clone();
        RouteModel {
            path: added_path(&route.path, ADDED_TROUBLE),
            ..route
        }
    }
}

fn platform_section(seed: u64, entries: usize) -> String {
    format!(
        "[platform]\nhalls = hall-a, hall-b\nhosts = {entries}\ndrain_ms = {DRAIN_MS}\n\
         seed = {seed}\n"
    )
}

fn parse(site_text: &str) -> Site {
    let source = SourceFile {
        name: "site.ini".into(),
        text: site_text.into(),
    };
    Site::parse(&source).expect("the site of every plan is valid")
}

/// Section of a time in which half of a service's targets send responses without framing. Drawn
/// from a random stream of its own, so that the other troubles of a seed don't depend on it.
fn unframed_section(seed: u64, latest: u64, service: &str, cut_percent: u32) -> String {
    let mut rng = SmallRng::seed_from_u64(seed ^ UNFRAMED_STREAM);
    let at_ms = rng.random_range(FIRST_FAULT_S * 1_000..latest * 1_000);
    format!(
        "[trouble.unframed-{service}]\nwhat = targets-unframed\nservice = {service}\nfirst = 1\n\
         targets = 3\ncut_percent = {cut_percent}\nat_ms = {at_ms}\nfor_ms = {UNFRAMED_MS}\n"
    )
}

/// Section of the cut, and the gateways that it affects: up to half of them.
fn draw_cut(seed: u64, latest: u64, entries: usize) -> (String, Range<usize>) {
    let mut rng = SmallRng::seed_from_u64(seed ^ CUT_STREAM);
    let at_ms = rng.random_range(FIRST_FAULT_S * 1_000..latest * 1_000);
    let count = rng.random_range(1..=(entries / 2).max(1));
    let first = rng.random_range(0..=entries - count);
    let how = CUT_MODES[rng.random_range(0..CUT_MODES.len())];
    let section = format!(
        "[trouble.{CUT_TROUBLE}]\nwhat = hosts-cut\nfirst = {first}\nhosts = {count}\nhow = {how}\n\
         at_ms = {at_ms}\nfor_ms = {CUT_MS}\n"
    );
    (section, first..first + count)
}

/// Section of a trouble that affects two targets, beginning at index `first`.
fn trouble_section(
    name: &str,
    kind: &str,
    service: &str,
    first: usize,
    at_ms: u64,
    for_ms: u64,
) -> String {
    let per_s = match kind {
        "targets-limited" => "per_s = 2\n",
        _ => "",
    };
    format!(
        "[trouble.{name}]\nwhat = {kind}\nservice = {service}\nfirst = {first}\ntargets = 2\n{per_s}\
         at_ms = {at_ms}\nfor_ms = {for_ms}\n"
    )
}
