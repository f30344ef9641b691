//! Soak of the owners of stage queues: callers ask for thousands of pieces a second, while gateways stand
//! still for a moment, so that queues move to other owners with their backlog, and many stage workers
//! end at once.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::contention::Contender;
use super::failing_targets::play;
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::report::SoakReport;
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7069_6563;
/// Time in which gateways and workers are disturbed, in milliseconds.
const DISTURBED_MS: Range<u64> = 5_000..16_000;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(20);
/// How long a gateway stands still, in milliseconds.
const PAUSE_MS: Range<u64> = 60..600;
/// Pauses of each gateway on average.
const PAUSES: usize = 2;

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
    Ok(played.report(options, &plan, Vec::new()))
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
    let pauses = pauses.collect();
    SoakPlan::of_site(options, &sections.join("\n"), pauses, LENGTH)
}
