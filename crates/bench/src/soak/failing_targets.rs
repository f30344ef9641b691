//! Soak of targets that fail most of what they get, while gateways are killed, stopped and paused in
//! series, and some are cut off from targets and from the store.
//!
//! What may be sent again then is bounded ([`super::repeats`]); the share of whole answers says what
//! that costs callers.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform_emulator::entry::HostLimits;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::callers::{Attempt, Load};
use super::checks;
use super::contention::Contender;
use super::plan::{EntryFault, PlannedFault, SoakPlan, CUT_MODES};
use super::processes::{Fleet, Observations};
use super::report::{Failure, SoakReport};
use super::turns::Turns;
use super::{attempt_bounds, repeats, SoakError, SoakOptions, SETTLE};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x6661_696c;
/// Time in which targets fail and gateways are disturbed, in milliseconds.
const FROM_MS: u64 = 4_000;
const UNTIL_MS: u64 = 22_000;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(28);
/// Faults of gateways for each of them.
const FAULTS_PER_GATEWAY: usize = 3;
/// Duration of a fault of a gateway, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_000;
/// Duration of a time in which targets fail, in milliseconds.
const FAILING_MS: Range<u64> = 3_000..9_000;
/// How long gateways are cut off from all targets, or the store is silent for them, in milliseconds.
const CUT_MS: u64 = 6_000;
/// How targets fail, as the emulator's settings name it.
pub const FAILURE_MODES: [&str; 5] = ["error", "refuse", "break", "lose-answer", "hang"];
/// Those that senders see at once.
const PROMPT_FAILURE_MODES: [&str; 3] = ["error", "refuse", "break"];

pub const SECTIONS: &str = "\
[service.plain]
kind = plain
targets = 6
slots = 8
queue = 8
work_ms = 20

[service.workers]
kind = stage
targets = 5
slots = 1
queue = 2
batch = 10
work_ms = 60
piece_ms = 5
room_kb = 1900

[service.finishers]
kind = stage
targets = 5
slots = 1
queue = 2
batch = 30
work_ms = 60
piece_ms = 2
room_kb = 1900

[service.engines]
kind = engines
targets = 6
slots = 32
queue = 32
work_ms = 20
events = 6

[route.safe]
kind = safe
path = /failing/safe/
service = plain
target_ms = 500
attempts = 3

[route.once]
kind = once
path = /failing/once/
service = plain
target_ms = 500
attempts = 2

[route.stream]
kind = stream
path = /failing/stream/
service = engines
stages = workers, finishers
pieces = 6
result_kb = 60
target_ms = 1500
timeout_ms = 6000
attempts = 2

[route.resumable]
kind = stream
path = /failing/resumable/
service = engines
stages = workers
pieces = 4
result_kb = 60
target_ms = 1500
timeout_ms = 6000
attempts = 3
resumable = 1
";

const PATHS: [&str; 4] = [
    "/failing/safe/",
    "/failing/once/",
    "/failing/stream/",
    "/failing/resumable/",
];
/// Services that fail, with the number of their targets.
pub const SERVICES: [(&str, usize); 4] = [
    ("plain", 6),
    ("workers", 5),
    ("finishers", 5),
    ("engines", 6),
];

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    run_plan(options, &draw(options)).await
}

/// Plays a plan with the callers of these routes, and checks promises and repeats.
pub async fn run_plan(options: &SoakOptions, plan: &SoakPlan) -> Result<SoakReport, SoakError> {
    let played = play(options, plan, callers(options)).await?;
    Ok(played.report(options, plan, Vec::new()))
}

/// The callers of these routes.
pub fn callers(options: &SoakOptions) -> impl Iterator<Item = Contender> {
    let paths = PATHS.into_iter().cycle().take(options.callers);
    paths.map(Contender::of_path)
}

/// What a run recorded.
pub struct Played {
    pub observations: Observations,
    attempts: Vec<Attempt>,
}

/// Plays a plan with only these callers.
pub async fn play(
    options: &SoakOptions,
    plan: &SoakPlan,
    callers: impl Iterator<Item = Contender>,
) -> Result<Played, SoakError> {
    let limits = HostLimits {
        core_share: 1.0 / plan.turns as f64,
        ..HostLimits::default()
    };
    let fleet = Rc::new(Fleet::start(options, plan, limits).await?);
    let turns = Turns::start(plan, &fleet);
    let load = Load::of_contenders(options, plan, &fleet, callers);
    fleet.run_faults(plan).await;
    tokio::time::sleep(SETTLE).await;
    let attempts = load.stop().await;
    if let Some(turns) = turns {
        turns.stop().await;
    }
    let observations = fleet.shut_down().await;
    Ok(Played {
        observations,
        attempts,
    })
}

impl Played {
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Checks promises and repeats, beside these failures.
    pub fn report(
        &self,
        options: &SoakOptions,
        plan: &SoakPlan,
        mut failures: Vec<Failure>,
    ) -> SoakReport {
        let Played {
            observations,
            attempts,
        } = self;
        failures.extend(checks::find_violations(plan, observations, attempts));
        let repeats = repeats::evaluate(plan, observations, attempts);
        failures.extend(repeats.failures);
        let attempt_bounds = attempt_bounds::evaluate(plan, observations, attempts);
        failures.extend(attempt_bounds.failures);
        let options = SoakOptions {
            seconds: plan.duration.as_secs(),
            ..options.clone()
        };
        SoakReport {
            repeats: repeats.summary,
            used_repeats: repeats.used,
            attempt_bounds: attempt_bounds.summary,
            failures,
            ..SoakReport::of_attempts(&options, observations, attempts)
        }
    }
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for (service, targets) in SERVICES {
        for number in 0..2 {
            sections.push(failing_section(&mut rng, service, targets, number));
        }
    }
    for what in ["hosts-cut", "store-silent"] {
        sections.push(host_section(&mut rng, what, entries));
    }
    // Workers that end take results with them.
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS);
    sections.push(format!(
        "[trouble.ended]\nwhat = targets-gone\nservice = workers\nfirst = 4\ntargets = 1\n\
         at_ms = {at_ms}\n"
    ));
    let count = entries * FAULTS_PER_GATEWAY;
    let faults = draw_faults(&mut rng, entries, count, FROM_MS..UNTIL_MS, FAULT_MS);
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

/// Draws faults of gateways that begin within a time and last some time, both in milliseconds.
pub fn draw_faults(
    rng: &mut SmallRng,
    entries: usize,
    count: usize,
    at_ms: Range<u64>,
    for_ms: Range<u64>,
) -> Vec<PlannedFault> {
    let kinds = [EntryFault::Kill, EntryFault::Stop, EntryFault::Pause];
    let faults = (0..count).map(|_| {
        PlannedFault::of_ms(
            *kinds.choose(rng).expect("there are kinds"),
            rng.random_range(0..entries),
            rng.random_range(at_ms.clone()),
            rng.random_range(for_ms.clone()),
        )
    });
    faults.collect()
}

/// Section of a time in which some targets of a service fail.
pub fn failing_section(rng: &mut SmallRng, service: &str, targets: usize, number: usize) -> String {
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS - FAILING_MS.end / 2);
    let for_ms = rng.random_range(FAILING_MS);
    let failing = Failing {
        targets: rng.random_range(targets / 2..=targets),
        percent: rng.random_range(30..=95),
        how: FAILURE_MODES.choose(rng).expect("there are modes"),
        at_ms,
        for_ms,
    };
    failing.section(service, number)
}

/// A time in which targets of a service fail a part of what they get.
pub struct Failing {
    pub targets: usize,
    pub percent: u32,
    /// As the emulator's settings name it.
    pub how: &'static str,
    pub at_ms: u64,
    pub for_ms: u64,
}

impl Failing {
    /// A whole run in which all targets of a service fail a part of what they get, as senders see at once.
    pub fn for_whole_run(
        rng: &mut SmallRng,
        targets: usize,
        percent: Range<u32>,
        length: Duration,
    ) -> Self {
        let modes = PROMPT_FAILURE_MODES;
        Failing {
            targets,
            percent: rng.random_range(percent),
            how: modes.choose(rng).expect("there are modes"),
            at_ms: 1,
            for_ms: length.as_millis() as u64,
        }
    }

    /// Its section in the emulator's settings; `number` tells the times of a service apart.
    pub fn section(&self, service: &str, number: usize) -> String {
        let Failing {
            targets,
            percent,
            how,
            at_ms,
            for_ms,
        } = self;
        format!(
            "[trouble.{service}-{number}]\nwhat = targets-failing\nservice = {service}\n\
             targets = {targets}\npercent = {percent}\nhow = {how}\nat_ms = {at_ms}\n\
             for_ms = {for_ms}\n"
        )
    }
}

/// Section of a time in which up to half of the hosts are cut off from all targets, or the store is
/// silent for them.
pub fn host_section(rng: &mut SmallRng, what: &str, entries: usize) -> String {
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS - CUT_MS);
    let hosts = rng.random_range(1..=(entries / 2).max(1));
    let first = rng.random_range(0..=entries - hosts);
    let how = match what {
        "hosts-cut" => {
            let mode = CUT_MODES.choose(rng).expect("there are modes");
            format!("how = {mode}\n")
        }
        _ => String::new(),
    };
    format!(
        "[trouble.{what}]\nwhat = {what}\nfirst = {first}\nhosts = {hosts}\n{how}at_ms = {at_ms}\n\
         for_ms = {CUT_MS}\n"
    )
}
