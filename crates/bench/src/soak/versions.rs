//! Streams of a service that runs several software versions, in a soak run.
//!
//! [`draw`] adds to the site a service whose targets run two versions, a third version that
//! appears during the run, targets that break streams off, and two routes whose streams may be
//! resumed: on one also within an answer, on the other only by callers. [`evaluate`] checks the
//! versions of the events over all tries of a caller, and how many streams go on. All of it is
//! drawn from a random stream of its own, so that the faults of a seed don't depend on it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hollowsail_platform_emulator::caller::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Attempt;
use super::contention::Contender;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x7665_7273;
/// Earliest start of a trouble, in milliseconds.
const FIRST_MS: u64 = 4_000;
/// How long targets break streams off, in milliseconds.
const BREAKING_MS: u64 = 8_000;
const RESUMED_PATH: &str = "/drafts/resumed/";
const TAKEN_UP_PATH: &str = "/drafts/taken-up/";
/// Callers of each route.
const CALLERS: usize = 8;
/// Time after a fault from which a gateway has to let streams go on.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of streams taken up below which their share says little.
const MIN_TAKEN_UP: usize = 12;
/// Least share of streams that go on, of the share of new streams that begin.
const MIN_SHARE: f64 = 0.5;

/// Of each version three targets remain after the crash of one.
const SECTIONS: &str = "\
[service.drafts]
kind = engines
targets = 8
slots = 32
queue = 32
work_ms = 15
events = 12
versions = v1, v2

[route.drafts-resumed]
kind = stream
path = /drafts/resumed/
service = drafts
target_ms = 1500
timeout_ms = 6000
resumable = 1

[route.drafts-taken-up]
kind = stream
path = /drafts/taken-up/
service = drafts
target_ms = 1500
timeout_ms = 6000
attempts = 1
resumable = 1
";

/// Draws the sections of the site. `latest` is the latest start in seconds.
pub fn draw(seed: u64, latest: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut at_ms = || rng.random_range(FIRST_MS..latest * 1_000);
    let (added, breaking, crashing) = (at_ms(), at_ms(), at_ms());
    format!(
        "{SECTIONS}\n\
         [trouble.drafts-added]\nwhat = targets-added\nservice = drafts\ntargets = 3\n\
         version = v3\nat_ms = {added}\nfor_ms = 1000\n\n\
         [trouble.drafts-breaking]\nwhat = targets-unframed\nservice = drafts\nfirst = 2\n\
         targets = 6\ncut_percent = 30\nat_ms = {breaking}\nfor_ms = {BREAKING_MS}\n\n\
         [trouble.drafts-crashing]\nwhat = targets-gone\nservice = drafts\nfirst = 1\n\
         targets = 2\n\
         at_ms = {crashing}\nfor_ms = 1000\n"
    )
}

/// The callers of these routes.
pub fn callers() -> impl Iterator<Item = Contender> {
    let callers = [RESUMED_PATH, TAKEN_UP_PATH].map(Contender::of_path);
    callers
        .into_iter()
        .flat_map(|caller| std::iter::repeat_n(caller, CALLERS))
}

/// Result of the checks.
pub struct StreamsReport {
    pub failures: Vec<Failure>,
    pub summary: String,
}

pub fn evaluate(observations: &Observations, attempts: &[Attempt]) -> StreamsReport {
    let streams = attempts.iter().filter(|attempt| attempt.route.resumable);
    let mut tries: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in streams.clone() {
        let stream = attempt.resumed.as_ref().map(|stream| &stream.attempt);
        tries
            .entry(stream.unwrap_or(&attempt.id))
            .or_default()
            .push(attempt);
    }
    let violations = tries
        .iter()
        .filter_map(|(id, tries)| find_violation(id, tries));
    let mut failures: Vec<Failure> = violations.collect();
    let judged = streams.filter(|attempt| {
        let Attempt {
            entry, sent, ended, ..
        } = attempt;
        attempt.outcome.is_some()
            && observations.is_undisturbed(*entry, *sent, *ended, CONTACT_TIME)
    });
    let (taken_up, new): (Vec<&Attempt>, Vec<&Attempt>) =
        judged.partition(|attempt| attempt.resumed.is_some());
    let (goes_on, begins) = (share_with_events(&taken_up), share_with_events(&new));
    if taken_up.len() >= MIN_TAKEN_UP && goes_on < MIN_SHARE * begins {
        let description = format!(
            "{goes_on:.2} of {} streams that were taken up went on, {begins:.2} of the new ones \
             began",
            taken_up.len()
        );
        failures.push(Failure::new(FailureKind::StreamsNotResumed, description));
    }
    let all_taken_up = tries.values().flatten();
    let all_taken_up = all_taken_up.filter(|attempt| attempt.resumed.is_some());
    StreamsReport {
        failures,
        summary: format!(
            "streams: {} begun, {} tries to resume one, {goes_on:.2} of {} in touch went on, \
             {begins:.2} of {} new ones began",
            tries.len(),
            all_taken_up.count(),
            taken_up.len(),
            new.len()
        ),
    }
}

/// Describes a stream that holds events of two versions, or an event twice or not at all.
fn find_violation(id: &str, tries: &[&Attempt]) -> Option<Failure> {
    let failure = |description: String| Failure::new(FailureKind::StreamEvents, description);
    let events = || tries.iter().flat_map(|attempt| &attempt.events);
    let versions: BTreeSet<&str> = events().map(|event| event.version.as_str()).collect();
    if versions.len() > 1 {
        return Some(failure(format!("stream {id} holds events of {versions:?}")));
    }
    let numbers = events().map(|event| event.number);
    let is_in_order = numbers.eq(1..=events().count() as u32);
    (!is_in_order).then(|| failure(format!("stream {id} lacks an event or holds one twice")))
}

/// Share of the attempts that brought an event.
fn share_with_events(attempts: &[&Attempt]) -> f64 {
    let has_events =
        |attempt: &&&Attempt| !attempt.events.is_empty() || attempt.outcome == Some(Outcome::Whole);
    let with_events = attempts.iter().filter(has_events).count();
    with_events as f64 / attempts.len().max(1) as f64
}
