//! Soak of the owners of stage queues: callers ask for thousands of pieces a second, while gateways stand
//! still for a moment or lag, so that queues move to other owners and back, and many stage workers end at
//! once. Two owners may call the workers of a service for a moment only ([`super::owners`]).

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::contention::Contender;
use super::failing_targets::play;
use super::owners;
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::processes::Observations;
use super::report::SoakReport;
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7069_6563;
/// Time in which gateways and workers are disturbed, in milliseconds.
const DISTURBED_MS: Range<u64> = 5_000..16_000;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(26);
/// How long a gateway stands still, in milliseconds.
const PAUSE_MS: Range<u64> = 60..600;
/// Pauses of each gateway on average.
const PAUSES: usize = 1;
/// Times in which a gateway gets a quarter of its time, so that it lags and its queues move: for every
/// third gateway on average, as a series of pauses and the time from one to the next, in milliseconds.
const SLOWED_GATEWAYS_DIVISOR: usize = 3;
const SLOWED_PAUSES: u64 = 10;
const SLOWED_PAUSE_MS: u64 = 120;
const SLOWED_INTERVAL_MS: u64 = 160;

const SECTIONS: &str = "\
[service.engines]
kind = engines
targets = 24
slots = 64
queue = 134
work_ms = 15
events = 6
connections = 370

[service.encoders]
kind = stage
targets = 24
slots = 1
queue = 2
batch = 8
work_ms = 120
piece_ms = 16
room_kb = 1900
connections = 370

[service.workers]
kind = stage
targets = 37
slots = 1
queue = 2
batch = 38
work_ms = 120
piece_ms = 4
room_kb = 5100
connections = 370

[service.finishers]
kind = stage
targets = 42
slots = 1
queue = 2
batch = 66
work_ms = 120
piece_ms = 2
room_kb = 5100
connections = 370

[route.summary]
kind = stream
path = /summary/
service = engines
stages = encoders, workers, finishers
pieces = 1, 8, 16
result_kb = 6
target_ms = 2500
timeout_ms = 8000
attempts = 1
priority = 1

[route.explain]
kind = stream
path = /explain/
service = engines
stages = encoders, workers
pieces = 1, 4
result_kb = 6
target_ms = 1700
timeout_ms = 8000
attempts = 1
priority = 2
";

/// Stage services, with the number of their targets.
const SERVICES: [(&str, usize); 3] = [("encoders", 24), ("workers", 37), ("finishers", 42)];
const PATHS: [&str; 3] = ["/summary/", "/summary/", "/explain/"];

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let paths = PATHS.into_iter().cycle().take(options.callers);
    let played = play(options, &plan, paths.map(Contender::of_path)).await?;
    let Observations {
        arrivals, grants, ..
    } = &played.observations;
    let longest = owners::longest(arrivals, grants);
    let failures = owners::evaluate(longest.as_ref()).into_iter().collect();
    let report = played.report(options, &plan, failures);
    Ok(SoakReport {
        owners: match longest {
            Some(longest) => format!("two owners at most: {longest}"),
            None => "each queue had one owner".to_string(),
        },
        ..report
    })
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for (service, targets) in SERVICES {
        let at_ms = rng.random_range(DISTURBED_MS);
        let count = rng.random_range(1..=targets / 3);
        sections.push(format!(
            "[trouble.{service}-gone]\nwhat = targets-gone\nservice = {service}\n\
             targets = {count}\nat_ms = {at_ms}\n"
        ));
    }
    let pauses = (0..entries * PAUSES).map(|_| {
        let entry = rng.random_range(0..entries);
        let (at_ms, for_ms) = (rng.random_range(DISTURBED_MS), rng.random_range(PAUSE_MS));
        PlannedFault::of_ms(EntryFault::Pause, entry, at_ms, for_ms)
    });
    let mut pauses: Vec<PlannedFault> = pauses.collect();
    for _ in 0..entries.div_ceil(SLOWED_GATEWAYS_DIVISOR) {
        let (entry, from_ms) = (rng.random_range(0..entries), rng.random_range(DISTURBED_MS));
        pauses.extend((0..SLOWED_PAUSES).map(|number| {
            let at_ms = from_ms + number * SLOWED_INTERVAL_MS;
            PlannedFault::of_ms(EntryFault::Pause, entry, at_ms, SLOWED_PAUSE_MS)
        }));
    }
    SoakPlan::of_site(options, &sections.join("\n"), pauses, LENGTH)
}
