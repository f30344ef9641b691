//! Soak of targets that are processes of their own, on a site with long chains of stages: they are killed,
//! suspended, slow and fail in series and at once, while gateways are killed, stopped and paused, the store
//! is silent, and some callers retry at once.
//!
//! What a process reads when it goes on, and what the system keeps for one that has ended, counts as it
//! does on hosts ([`super::repeats`], [`super::attempt_bounds`]).

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::contention::Contender;
use super::failing_targets::{draw_faults, play, Failing, FAILURE_MODES};
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::report::SoakReport;
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7072_6f63;
/// Separates the random stream of the start and the end from the one of the troubles between them.
const ENDS_STREAM: u64 = 0x656e_6473;
/// Time in which targets and gateways are disturbed, in milliseconds.
const FROM_MS: u64 = 0;
const UNTIL_MS: u64 = 30_000;
/// Length of a run: targets have read everything by then.
const LENGTH: Duration = Duration::from_secs(44);
/// When gateways start that do so beside the load, in milliseconds.
const START_MS: Range<u64> = 0..800;
/// When all gateways lose power at once, in milliseconds.
const POWER_LOST_MS: Range<u64> = 6_000..24_000;
/// From when on gateways are stopped one after the other, and the time between two stops, in milliseconds.
const STOPS_FROM_MS: u64 = 30_000;
const STOPS_APART_MS: Range<u64> = 50..700;
/// When a gateway is paused for longer than a window of repeats, and how long, in milliseconds.
const LONG_PAUSE_AT_MS: Range<u64> = 4_000..16_000;
const LONG_PAUSE_MS: Range<u64> = 11_000..13_000;
/// Turns of gateways in runs in which each has a quarter of a core.
const QUARTER_CORE_TURNS: usize = 4;
/// Disturbances of each service.
const PER_SERVICE: Range<usize> = 2..6;
/// How long targets are away, and stand still for a moment or for long, in milliseconds.
const AWAY_MS: Range<u64> = 1_000..5_000;
const SHORT_MS: Range<u64> = 300..3_500;
const LONG_MS: Range<u64> = 5_000..12_000;
/// Duration of a time in which targets are slow or fail, in milliseconds.
const DEGRADED_MS: Range<u64> = 3_000..8_000;
/// Duration of a fault of a gateway, in milliseconds.
const FAULT_MS: Range<u64> = 200..2_500;
const SILENT_MS: u64 = 4_500;
/// Percentage of errors of the service whose requests may be repeated.
const USUAL_ERRORS_PERCENT: u32 = 14;
/// One in so many callers retries at once.
const IMPATIENT: usize = 3;

/// The site.
pub const SECTIONS: &str = "\
target_processes = 1

[service.engines]
kind = engines
targets = 12
slots = 64
queue = 134
work_ms = 15
events = 24
connections = 370

[service.plain]
kind = plain
targets = 3
slots = 6
queue = 24
work_ms = 30
connections = 110

[service.encoders]
kind = stage
targets = 3
slots = 1
queue = 2
batch = 8
work_ms = 150
piece_ms = 16
room_kb = 1100
connections = 370

[service.workers]
kind = stage
targets = 5
slots = 1
queue = 2
batch = 10
work_ms = 150
piece_ms = 13
room_kb = 1900
connections = 370

[service.finishers]
kind = stage
targets = 5
slots = 1
queue = 2
batch = 30
work_ms = 150
piece_ms = 4
room_kb = 5100
connections = 370

[route.review]
kind = stream
path = /review/
service = engines
stages = encoders, encoders, workers, finishers
pieces = 2, 1, 6, 16
result_kb = 60
target_ms = 1700
timeout_ms = 10000
attempts = 1
priority = 1

[route.draft]
kind = stream
path = /draft/
service = engines
stages = encoders, workers, finishers
pieces = 1, 6, 40
result_kb = 60
target_ms = 1600
timeout_ms = 8000
attempts = 2
resumable = 1
priority = 0

[route.explain]
kind = stream
path = /explain/
service = engines
stages = encoders
pieces = 2
result_kb = 60
target_ms = 700
timeout_ms = 10000
attempts = 1
priority = 2

[route.check]
kind = once
path = /check/
service = plain
target_ms = 150
timeout_ms = 1500
attempts = 1
priority = 2

[route.confirm]
kind = safe
path = /confirm/
service = plain
target_ms = 150
timeout_ms = 1500
attempts = 2
priority = 2
";

/// Percentage of what they get that stage workers fail for a whole run, in half of the runs.
pub const PRESSED_PERCENT: Range<u32> = 40..95;

/// Stage services, with the number of their targets.
pub const STAGE_SERVICES: [(&str, usize); 3] = [("encoders", 3), ("workers", 5), ("finishers", 5)];
/// Services, with the number of their targets.
pub const SERVICES: [(&str, usize); 5] = [
    ("engines", 12),
    ("plain", 3),
    ("encoders", 3),
    ("workers", 5),
    ("finishers", 5),
];
/// Paths of the routes, with their shares of the callers.
const SHARES: [(&str, usize); 5] = [
    ("/review/", 4),
    ("/draft/", 3),
    ("/explain/", 7),
    ("/check/", 3),
    ("/confirm/", 2),
];

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let played = play(options, &plan, callers(options)).await?;
    Ok(played.report(options, &plan, Vec::new()))
}

/// The callers of its routes.
pub fn callers(options: &SoakOptions) -> impl Iterator<Item = Contender> {
    let paths = SHARES
        .iter()
        .flat_map(|(path, callers)| std::iter::repeat_n(*path, *callers));
    let paths: Vec<&'static str> = paths.collect();
    let paths = paths.into_iter().cycle().take(options.callers);
    paths.enumerate().map(|(number, path)| Contender {
        is_impatient: number % IMPATIENT == 0,
        ..Contender::of_path(path)
    })
}

/// Section of the errors of the service whose requests may be repeated.
pub fn usual_errors(length: Duration) -> String {
    let usual_errors = Failing {
        targets: 3,
        percent: USUAL_ERRORS_PERCENT,
        how: "error",
        at_ms: 1,
        for_ms: length.as_millis() as u64,
    };
    usual_errors.section("plain", 0)
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string(), usual_errors(LENGTH)];
    for (service, targets) in SERVICES {
        for number in 1..=rng.random_range(PER_SERVICE) {
            sections.push(disturbance(&mut rng, service, targets, number));
        }
    }
    if rng.random_bool(0.5) {
        let at_ms = rng.random_range(FROM_MS..UNTIL_MS);
        sections.push(format!(
            "[trouble.silent]\nwhat = store-silent\nat_ms = {at_ms}\nfor_ms = {SILENT_MS}\n"
        ));
    }
    let count = rng.random_range(0..=2 * entries);
    let mut faults = draw_faults(&mut rng, entries, count, FROM_MS..UNTIL_MS, FAULT_MS);
    if rng.random_bool(0.5) {
        faults.extend(kill_together(&mut rng, entries));
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ ENDS_STREAM);
    if rng.random_bool(0.5) {
        let failing = STAGE_SERVICES.iter().map(|(service, targets)| {
            let failing = Failing::for_whole_run(&mut rng, *targets, PRESSED_PERCENT, LENGTH);
            failing.section(service, 0)
        });
        sections.extend(failing);
    }
    faults.extend(disturb_ends(&mut rng, entries));
    SoakPlan {
        turns: *[1, QUARTER_CORE_TURNS]
            .choose(&mut rng)
            .expect("there are two"),
        ..SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
    }
}

/// What happens to gateways once in a run, each in half of the runs: most of them start beside the load,
/// all lose power at once, one stands still for longer than a window, all are stopped in series at the end.
pub fn disturb_ends(rng: &mut SmallRng, entries: usize) -> Vec<PlannedFault> {
    let fault = PlannedFault::of_ms;
    let mut faults = Vec::new();
    if rng.random_bool(0.5) {
        let joins = (1..entries).map(|entry| {
            let at_ms = rng.random_range(START_MS);
            fault(EntryFault::Join, entry, at_ms, 0)
        });
        faults.extend(joins);
    }
    if rng.random_bool(0.5) {
        let at_ms = rng.random_range(POWER_LOST_MS);
        let kills = (0..entries).map(|entry| {
            let for_ms = rng.random_range(FAULT_MS);
            fault(EntryFault::Kill, entry, at_ms, for_ms)
        });
        faults.extend(kills);
    }
    if rng.random_bool(0.5) {
        let (entry, at_ms) = (
            rng.random_range(0..entries),
            rng.random_range(LONG_PAUSE_AT_MS),
        );
        let for_ms = rng.random_range(LONG_PAUSE_MS);
        faults.push(fault(EntryFault::Pause, entry, at_ms, for_ms));
    }
    if rng.random_bool(0.5) {
        let mut at_ms = STOPS_FROM_MS;
        let stops = (0..entries).map(|entry| {
            at_ms += rng.random_range(STOPS_APART_MS);
            fault(EntryFault::Stop, entry, at_ms, rng.random_range(FAULT_MS))
        });
        faults.extend(stops);
    }
    faults
}

/// Kills over half of the gateways at one moment.
fn kill_together(rng: &mut SmallRng, entries: usize) -> Vec<PlannedFault> {
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS);
    let kill = |entry| PlannedFault::of_ms(EntryFault::Kill, entry, at_ms, FAULT_MS.end);
    (0..entries.div_ceil(2) + 1).map(kill).collect()
}

/// Section of a time in which some targets of a service are away, stand still, are slow or fail.
fn disturbance(rng: &mut SmallRng, service: &str, targets: usize, number: usize) -> String {
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS);
    let count = rng.random_range(1..=targets.div_ceil(2));
    let first = rng.random_range(0..=targets - count);
    let range = format!("service = {service}\nfirst = {first}\ntargets = {count}\nat_ms = {at_ms}");
    // The usual errors of the plain service go on.
    let kinds = if service == "plain" { 3 } else { 5 };
    let (what, for_ms) = match rng.random_range(0..kinds) {
        0 => ("targets-gone", rng.random_range(AWAY_MS)),
        1 => ("targets-suspended", rng.random_range(SHORT_MS)),
        2 => ("targets-suspended", rng.random_range(LONG_MS)),
        3 => ("targets-slow\npercent = 500", rng.random_range(DEGRADED_MS)),
        _ => {
            let failing = Failing {
                targets: count,
                percent: rng.random_range(5..=95),
                how: FAILURE_MODES.choose(rng).expect("there are modes"),
                at_ms,
                for_ms: rng.random_range(DEGRADED_MS),
            };
            return failing.section(service, number);
        }
    };
    format!("[trouble.{service}-{number}]\nwhat = {what}\n{range}\nfor_ms = {for_ms}\n")
}
