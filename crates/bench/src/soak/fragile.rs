//! A service in a soak run whose engines crash under a part of prompts, for some time.
//!
//! Requests with that part differ otherwise, and come at any gateway; others share their route, caller
//! and first part. [`evaluate`] counts the requests with the part that reach engines once all gateways
//! have to know it, and compares how many of the others begin. Drawn from a random stream of its own,
//! so that the faults of a seed don't depend on it.

use std::time::Duration;

use hollowsail_platform_emulator::caller::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Attempt;
use super::contention::Contender;
use super::plan::SoakPlan;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x6672_6167;
/// Earliest start of the time, in milliseconds, and its length. It includes the time after which
/// other requests have to be served.
const FIRST_MS: u64 = 4_000;
const FRAGILE_MS: u64 = 14_000;
const PATH: &str = "/fragile/";
const PART: &str = "fa7a1";
/// Callers of the service, and of those whose prompts have the part.
const CALLERS: usize = 10;
const FATAL_CALLERS: usize = 3;
/// Requests with the part that may still reach engines.
const MAX_LATE: usize = 3;
/// Number of crashes after which the part has to be known, and the time from the last of them until
/// others have to be served.
const CRASHES: usize = 5;
const SERVED_AFTER: Duration = Duration::from_secs(6);
/// Time for which a gateway must have been undisturbed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Least share of the others that begin, of the share outside that time, and least number of each.
const MIN_SHARE: f64 = 0.9;
const MIN_ATTEMPTS: usize = 20;

const SECTIONS: &str = "\
[service.fragile]
kind = engines
targets = 6
slots = 16
queue = 16
work_ms = 20
events = 8

[route.fragile]
kind = stream
path = /fragile/
service = fragile
target_ms = 1500
timeout_ms = 6000
attempts = 1
";

/// Draws the sections of the site, and when the part crashes engines. `latest` is the latest start in
/// seconds.
pub fn draw(seed: u64, latest: u64) -> (String, (Duration, Duration)) {
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let at_ms = rng.random_range(FIRST_MS..latest * 1_000);
    let sections = format!(
        "{SECTIONS}\n[trouble.fragile]\nwhat = part-crashes\nservice = fragile\npart = {PART}\n\
         back_ms = 2500\nat_ms = {at_ms}\nfor_ms = {FRAGILE_MS}\n"
    );
    let from = Duration::from_millis(at_ms);
    (sections, (from, from + Duration::from_millis(FRAGILE_MS)))
}

/// The callers of the service.
pub fn callers(fragile: (Duration, Duration)) -> impl Iterator<Item = Contender> {
    let caller = Contender::of_path(PATH);
    let fatal = Contender {
        active: Some(fragile),
        part: Some(PART),
        ..caller.clone()
    };
    let callers = std::iter::repeat_n(caller, CALLERS);
    callers.chain(std::iter::repeat_n(fatal, FATAL_CALLERS))
}

/// Describes a part that reached too many engines, and others that were served too little beside it.
pub fn evaluate(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> Vec<Failure> {
    let late = observations.late_fatal.iter();
    let late =
        late.filter(|(entry, at)| observations.is_undisturbed(*entry, *at, *at, CONTACT_TIME));
    let late = late.count();
    let late = (late > MAX_LATE).then(|| {
        let crashes = observations.fatal_crashes.len();
        let description =
            format!("{late} requests with the part reached engines later, {crashes} crashed");
        Failure::new(FailureKind::FatalPart, description)
    });
    let beside = served_too_little(plan, observations, attempts);
    late.into_iter().chain(beside).collect()
}

fn served_too_little(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> Option<Failure> {
    let known_from = *observations.fatal_crashes.get(CRASHES - 1)? + SERVED_AFTER;
    let (begin, end) = plan.fragile;
    let started = observations.started?;
    let judged = attempts.iter().filter(|attempt| {
        let contender = attempt.contender.as_ref();
        let is_sound =
            contender.is_some_and(|contender| contender.path == PATH && contender.part.is_none());
        is_sound
            && attempt.outcome.is_some()
            && !plan.cut.contains(&attempt.entry)
            && observations.is_undisturbed(attempt.entry, attempt.sent, attempt.ended, CONTACT_TIME)
    });
    let is_inside =
        |attempt: &&Attempt| attempt.sent >= known_from && attempt.ended <= started + end;
    let is_outside = |attempt: &&Attempt| attempt.ended < started + begin;
    let inside: Vec<&Attempt> = judged.clone().filter(is_inside).collect();
    let outside: Vec<&Attempt> = judged.filter(is_outside).collect();
    if inside.len() < MIN_ATTEMPTS || outside.len() < MIN_ATTEMPTS {
        return None;
    }
    let (share, usual) = (begun_share(&inside), begun_share(&outside));
    (share < MIN_SHARE * usual).then(|| {
        let description = format!(
            "{share:.2} of {} requests beside the part began, {usual:.2} of {} before",
            inside.len(),
            outside.len()
        );
        Failure::new(FailureKind::BesideFatalPart, description)
    })
}

fn begun_share(attempts: &[&Attempt]) -> f64 {
    let has_begun =
        |attempt: &&&Attempt| !attempt.events.is_empty() || attempt.outcome == Some(Outcome::Whole);
    attempts.iter().filter(has_begun).count() as f64 / attempts.len() as f64
}
