//! Soak of a store in which other writers keep entries with odd keys and large values among those of
//! the platform and of the gateways: from before the first start on, while the history is lost, all
//! gateways are killed at once, the store is restored, and gateways are disturbed in series.
//!
//! After each of these the run settles; then every target that is in the store has to get work, and
//! every gateway has to serve each route. Lists have to end, and no process may panic or grow.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hollowsail_platform_emulator::caller::Outcome;
use hollowsail_platform_emulator::entry::MEMORY_MB;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

use super::callers::Attempt;
use super::contention::Contender;
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::processes::{Observations, READY_TIMEOUT};
use super::report::{Failure, FailureKind, SoakReport};
use super::{departures, failing_targets, SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x666f_7265;
/// Start of the first phase, and the length of each, in milliseconds.
const FIRST_PHASE_MS: u64 = 3_000;
const PHASE_MS: u64 = 11_000;
/// Part of a phase, from its start, in which its disturbance may begin, and after which the phase has
/// settled, in milliseconds.
const BEGIN_MS: u64 = 800;
const SETTLED_MS: u64 = 5_500;
/// The disturbances of the phases, in an order that is drawn.
const PHASES: [Phase; 4] = [
    Phase::HistoryLost,
    Phase::AllKilled,
    Phase::Restored,
    Phase::Series,
];
/// Services whose targets' keys lie apart, and their routes. Load is spread over all of their targets;
/// engines are chosen by prompt, so that some of them may rightly get nothing.
const SECTIONS: &str = "\
[service.alpha]
kind = plain
targets = 4
slots = 8
queue = 8
work_ms = 20

[service.middle]
kind = plain
targets = 4
slots = 8
queue = 8
work_ms = 20

[service.zeta]
kind = plain
targets = 4
slots = 8
queue = 8
work_ms = 20

[service.workers]
kind = stage
targets = 4
slots = 1
queue = 2
batch = 10
work_ms = 60
piece_ms = 5

[service.engines]
kind = engines
targets = 4
slots = 32
queue = 32
work_ms = 20
events = 6

[route.alpha]
kind = safe
path = /foreign/alpha/
service = alpha
target_ms = 500

[route.middle]
kind = once
path = /foreign/middle/
service = middle
target_ms = 500

[route.zeta]
kind = safe
path = /foreign/zeta/
service = zeta
target_ms = 500

[route.stream]
kind = stream
path = /foreign/stream/
service = engines
stages = workers
pieces = 6
target_ms = 1500
timeout_ms = 6000
";
const PATHS: [&str; 4] = [
    "/foreign/alpha/",
    "/foreign/middle/",
    "/foreign/zeta/",
    "/foreign/stream/",
];
/// The service that gets another target in each phase.
const ADDED_TO: [&str; 4] = ["zeta", "workers", "middle", "alpha"];
/// Service whose targets are chosen by prompt.
const CHOSEN_BY_PROMPT: &str = "engines";
/// Foreign entries that are there from before the first start on, and those that come later.
const EARLY_ENTRIES: usize = 30;
const LATE_ENTRIES: usize = 30;
/// Minimum share of whole answers of each gateway on each route while the run has settled, and the
/// number of attempts from which on it counts.
const MIN_WHOLE_SHARE: f64 = 0.8;
const MIN_ATTEMPTS: usize = 5;
/// How long a fault of a gateway counts after it was ready again.
const CONTACT: Duration = Duration::from_secs(1);
/// Time before the end of a phase from which on attempts may end after it.
const LAST_ATTEMPTS: Duration = Duration::from_millis(500);
/// Entries of a list page, and how often an entry may be read after each start, loss of the history or
/// outage: by each of the lists whose prefixes it has, and again when a read is broken off.
const PAGE_ITEMS: u64 = 3;
const READS_OF_ENTRY: u64 = 6;
/// Entries of targets, gateways and operators at the most.
const OWN_ENTRIES: u64 = 100;

/// What disturbs a phase.
#[derive(Debug, Clone, Copy)]
enum Phase {
    HistoryLost,
    AllKilled,
    Restored,
    Series,
}

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let paths = PATHS.into_iter().cycle().take(options.callers);
    let callers = paths.map(Contender::of_path);
    let played = failing_targets::play(options, &plan, callers).await?;
    let mut failures = evaluate(&plan, &played.observations, played.attempts());
    failures.extend(departures::evaluate(&played.observations));
    Ok(SoakReport {
        mode: Some("--foreign-entries"),
        ..played.report(options, &plan, failures)
    })
}

fn length() -> Duration {
    Duration::from_millis(FIRST_PHASE_MS + PHASE_MS * PHASES.len() as u64)
}

fn phase_start_ms(number: usize) -> u64 {
    FIRST_PHASE_MS + PHASE_MS * number as u64
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let length_ms = length().as_millis() as u64;
    let late_ms = rng.random_range(FIRST_PHASE_MS..FIRST_PHASE_MS + 2 * PHASE_MS);
    let mut sections = vec![
        SECTIONS.to_string(),
        foreign_section("early", EARLY_ENTRIES, 0, 2 * length_ms),
        foreign_section("late", LATE_ENTRIES, late_ms, length_ms - late_ms),
    ];
    let mut phases = PHASES;
    phases.shuffle(&mut rng);
    let mut faults = Vec::new();
    for (number, phase) in phases.into_iter().enumerate() {
        let at_ms = phase_start_ms(number) + rng.random_range(0..BEGIN_MS);
        let service = ADDED_TO[number];
        sections.push(format!(
            "[trouble.{service}-added]\nwhat = targets-added\nservice = {service}\ntargets = 1\n\
             version = v1\nat_ms = {at_ms}\n"
        ));
        match phase {
            Phase::HistoryLost => sections.push(format!(
                "[trouble.history]\nwhat = history-lost\nat_ms = {at_ms}\n"
            )),
            Phase::Restored => sections.push(restore_section(&mut rng, at_ms)),
            Phase::AllKilled => faults.extend((0..entries).map(|entry| {
                let away_ms = rng.random_range(1..400);
                PlannedFault::of_ms(EntryFault::Kill, entry, at_ms, away_ms)
            })),
            Phase::Series => faults.extend(draw_series(&mut rng, entries, at_ms)),
        }
    }
    SoakPlan::of_site(options, &sections.join("\n"), faults, length())
}

fn foreign_section(name: &str, entries: usize, at_ms: u64, for_ms: u64) -> String {
    format!(
        "[trouble.{name}]\nwhat = foreign-entries\nentries = {entries}\nat_ms = {at_ms}\n\
         for_ms = {for_ms}\n"
    )
}

fn restore_section(rng: &mut SmallRng, at_ms: u64) -> String {
    let how = ["silent", "refusing"].choose(rng).expect("there are kinds");
    let (for_ms, lost_ms) = (rng.random_range(200..1_000), rng.random_range(200..2_000));
    format!(
        "[trouble.restored]\nwhat = store-restored\nhow = {how}\nlost_ms = {lost_ms}\n\
         at_ms = {at_ms}\nfor_ms = {for_ms}\n"
    )
}

/// Each gateway is disturbed once, one after the other.
fn draw_series(rng: &mut SmallRng, entries: usize, from_ms: u64) -> Vec<PlannedFault> {
    let kinds = [EntryFault::Kill, EntryFault::Stop, EntryFault::Pause];
    let faults = (0..entries).map(|entry| {
        let at_ms = from_ms + 2_000 * entry as u64 / entries as u64;
        let kind = *kinds.choose(rng).expect("there are kinds");
        PlannedFault::of_ms(kind, entry, at_ms, rng.random_range(100..600))
    });
    faults.collect()
}

/// The broken promises of a run.
fn evaluate(plan: &SoakPlan, observations: &Observations, attempts: &[Attempt]) -> Vec<Failure> {
    let mut failures = Vec::new();
    for number in 0..PHASES.len() {
        failures.extend(idle_targets(plan, observations, number));
        failures.extend(unserved_routes(observations, attempts, number));
    }
    failures.extend(late_starts(observations));
    failures.extend(excess_list_calls(plan, observations));
    failures.extend(grown(observations));
    let panics = observations.panics.iter();
    failures.extend(panics.map(|line| Failure::new(FailureKind::Panic, line)));
    failures
}

/// The settled part of a phase, since the start of the platform.
fn settled(number: usize) -> (Duration, Duration) {
    let start_ms = phase_start_ms(number);
    (
        Duration::from_millis(start_ms + SETTLED_MS),
        Duration::from_millis(start_ms + PHASE_MS),
    )
}

/// Targets in the store, and still running, that got no work in the settled part of a phase.
fn idle_targets(plan: &SoakPlan, observations: &Observations, number: usize) -> Vec<Failure> {
    let (from, until) = settled(number);
    let arrivals = observations.arrivals.iter();
    let busy = arrivals.filter(|arrival| (from..until).contains(&arrival.at));
    let busy: HashSet<&str> = busy.map(|arrival| arrival.target.as_str()).collect();
    let services = plan.site.services.iter();
    let services = services.filter(|service| service.name != CHOSEN_BY_PROMPT);
    let started = services
        .flat_map(|service| (0..service.targets).map(|index| format!("{}-{index}", service.name)));
    let added = ADDED_TO.iter().take(number + 1);
    let added = added.map(|service| format!("{service}-v1-0"));
    let idle = started
        .chain(added)
        .filter(|id| !busy.contains(id.as_str()));
    let failure = |id| {
        let description = format!("{id} got nothing while phase {number} had settled");
        Failure::new(FailureKind::IdleTarget, description)
    };
    idle.map(failure).collect()
}

/// Routes that an undisturbed gateway served too little in the settled part of a phase.
fn unserved_routes(
    observations: &Observations,
    attempts: &[Attempt],
    number: usize,
) -> Vec<Failure> {
    let Some(started) = observations.platform_started else {
        return Vec::new();
    };
    let (from, until) = settled(number);
    let (from, until) = (started + from, started + until - LAST_ATTEMPTS);
    let mut counts: HashMap<(usize, &str), (usize, usize)> = HashMap::new();
    let settled = attempts
        .iter()
        .filter(|attempt| attempt.outcome.is_some() && (from..until).contains(&attempt.sent));
    for attempt in settled {
        let key = (attempt.entry, attempt.route.path.as_str());
        let (whole, total) = counts.entry(key).or_default();
        *whole += usize::from(attempt.outcome == Some(Outcome::Whole));
        *total += 1;
    }
    let is_undisturbed = |entry| observations.is_undisturbed(entry, from, until, CONTACT);
    let unserved = counts.into_iter().filter(|((entry, _), (whole, total))| {
        *total >= MIN_ATTEMPTS
            && (*whole as f64) < *total as f64 * MIN_WHOLE_SHARE
            && is_undisturbed(*entry)
    });
    let failure = |((entry, path), (whole, total))| {
        let description = format!(
            "gateway {entry} served {whole} of {total} on {path} while phase {number} had settled"
        );
        Failure::new(FailureKind::Unserved, description)
    };
    unserved.map(failure).collect()
}

/// Gateways that weren't ready in time after a fault.
fn late_starts(observations: &Observations) -> Vec<Failure> {
    let late = observations.disturbances.iter();
    let late = late.filter(|disturbance| disturbance.until - disturbance.from >= READY_TIMEOUT);
    let failure = |disturbance: &super::processes::Disturbance| {
        let description = format!(
            "gateway {} wasn't ready {} s after {:?}",
            disturbance.entry,
            READY_TIMEOUT.as_secs(),
            disturbance.fault
        );
        Failure::new(FailureKind::Process, description)
    };
    late.map(failure).collect()
}

/// Gateways that read more pages of lists than their starts and the store's disturbances explain.
fn excess_list_calls(plan: &SoakPlan, observations: &Observations) -> Vec<Failure> {
    let pages = (EARLY_ENTRIES + LATE_ENTRIES) as u64 + OWN_ENTRIES.div_ceil(PAGE_ITEMS);
    let disturbances_of = |entry: usize| {
        let faults = plan.faults.iter().filter(|fault| fault.entry == entry);
        // The first start, the lost history and the restore come on top.
        faults.count() as u64 + 3
    };
    let excess = observations.list_calls.iter();
    let excess = excess.filter_map(|(entry, calls)| {
        let allowed = disturbances_of(*entry) * READS_OF_ENTRY * pages;
        let description = format!("gateway {entry} read {calls} pages of lists; {allowed} suffice");
        (*calls > allowed).then(|| Failure::new(FailureKind::ListCalls, description))
    });
    excess.collect()
}

/// Gateways whose memory exceeded their limit.
fn grown(observations: &Observations) -> Vec<Failure> {
    let grown = observations.max_memory_mb.iter();
    let grown = grown.filter(|(_, mb)| **mb > MEMORY_MB);
    let failure = |(entry, mb): (&usize, &u64)| {
        let description = format!("gateway {entry} took {mb} MB of {MEMORY_MB} MB");
        Failure::new(FailureKind::Memory, description)
    };
    grown.map(failure).collect()
}
