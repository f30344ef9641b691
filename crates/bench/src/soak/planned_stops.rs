//! Soak of planned stops in calm, in series and overlapping, beside requests whose body comes late, targets
//! without a free connection, and targets that work for long.
//!
//! Whatever a gateway has read gets a complete answer before the process is gone.

use std::ops::Range;
use std::time::Duration;

use hollowsail_platform_emulator::caller::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Attempt;
use super::checks;
use super::contention::Contender;
use super::failing_targets::play;
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::processes::Observations;
use super::report::{Failure, FailureKind, SoakReport};
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7374_6f70;
/// Length of a run, and the time in which gateways are stopped.
const LENGTH: Duration = Duration::from_secs(34);
const STOPS_MS: Range<u64> = 4_000..24_000;
/// Time between the end of a stop and the next start, in milliseconds.
const DOWN_MS: Range<u64> = 100..1_500;
/// Stops for each gateway.
const STOPS_PER_GATEWAY: usize = 2;
/// Time after the last byte of a request from which on it counts as read.
const READ_SLACK: Duration = Duration::from_millis(200);
/// Longest time between a head and its body, for half of the callers.
const MAX_BODY_DELAY: Duration = Duration::from_secs(6);

const SECTIONS: &str = "\
[service.few]
kind = plain
targets = 3
slots = 6
queue = 8
work_ms = 400
connections = 4

[service.long]
kind = plain
targets = 4
slots = 16
queue = 16
work_ms = 2500

[service.engines]
kind = engines
targets = 4
slots = 64
queue = 64
work_ms = 30
events = 20

[route.few-safe]
kind = safe
path = /stops/few/safe/
service = few
target_ms = 8000
timeout_ms = 9000
attempts = 2

[route.few-once]
kind = once
path = /stops/few/once/
service = few
target_ms = 8000
timeout_ms = 9000

[route.long-safe]
kind = safe
path = /stops/long/safe/
service = long
target_ms = 4000
timeout_ms = 9000
attempts = 2

[route.long-once]
kind = once
path = /stops/long/once/
service = long
target_ms = 4000
timeout_ms = 9000

[route.streams]
kind = stream
path = /stops/streams/
service = engines
target_ms = 2000
timeout_ms = 6000
";

const PATHS: [&str; 5] = [
    "/stops/few/safe/",
    "/stops/few/once/",
    "/stops/long/safe/",
    "/stops/long/once/",
    "/stops/streams/",
];

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let played = play(options, &plan, callers(options)).await?;
    let unanswered = find_unanswered(&played.observations, played.attempts());
    Ok(played.report(options, &plan, unanswered))
}

fn callers(options: &SoakOptions) -> impl Iterator<Item = Contender> {
    let paths = PATHS.into_iter().cycle().take(options.callers);
    paths.enumerate().map(|(number, path)| Contender {
        max_body_delay: match (number / PATHS.len()) % 2 {
            0 => MAX_BODY_DELAY,
            _ => Duration::ZERO,
        },
        ..Contender::of_path(path)
    })
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    // One gateway stays, so that callers are served elsewhere.
    let stops = (0..entries.saturating_sub(1) * STOPS_PER_GATEWAY).map(|_| {
        PlannedFault::of_ms(
            EntryFault::Stop,
            rng.random_range(1..entries),
            rng.random_range(STOPS_MS),
            rng.random_range(DOWN_MS),
        )
    });
    SoakPlan::of_site(options, SECTIONS, stops.collect(), LENGTH)
}

/// Requests that a gateway has read, and whose connection ended without a complete answer while it stopped.
fn find_unanswered(observations: &Observations, attempts: &[Attempt]) -> Vec<Failure> {
    let unanswered = attempts.iter().filter_map(|attempt| {
        let Some(Outcome::Unknown { why }) = &attempt.outcome else {
            return None;
        };
        let is_read = attempt.ended > attempt.body_sent + READ_SLACK
            || observations.ran.contains(&attempt.id);
        let is_unanswered = !why.starts_with("status")
            && is_read
            && !checks::has_timed_out(attempt)
            && !observations.cut.contains(&attempt.id)
            && !observations.is_undisturbed(
                attempt.entry,
                attempt.sent,
                attempt.ended,
                Duration::ZERO,
            );
        let description = || {
            format!(
                "request {} at {} of gateway {} got no answer for {} ms after its last byte: {why}",
                attempt.id,
                attempt.route.path,
                attempt.entry,
                attempt
                    .ended
                    .saturating_duration_since(attempt.body_sent)
                    .as_millis()
            )
        };
        is_unanswered.then(|| Failure::new(FailureKind::CutByStop, description()))
    });
    unanswered.collect()
}
