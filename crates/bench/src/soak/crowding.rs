//! A time in a soak run in which most new connections go to one gateway, and callers open more.
//!
//! It is judged by a service of its own that no other trouble affects.
//! Drawn from a random stream of its own, so that the faults of a seed don't depend on it.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Attempt;
use super::contention::Contender;
use super::cut::served_share;
use super::plan::SoakPlan;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x6372_6f77;
/// Earliest start, in milliseconds, and length.
const FIRST_MS: u64 = 4_000;
const CROWDED_MS: u64 = 8_000;
/// Share of the new connections that go to one gateway, and of the answers after which a caller closes
/// its connection meanwhile.
const CROWDED_SHARE: f64 = 0.85;
const CLOSE_SHARE: f64 = 0.7;
/// Time from the beginning until requests have to be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time before the beginning that is compared.
const BEFORE: Duration = Duration::from_secs(8);
/// Least share of the service before, and least number of attempts on each side.
const MIN_SHARE: f64 = 0.75;
const MIN_ATTEMPTS: usize = 20;

const PATH: &str = "/calm/";
/// Callers of the service.
const CALLERS: usize = 8;

const SECTIONS: &str = "\
[service.calm]
kind = plain
targets = 4
slots = 8
queue = 8
work_ms = 10

[route.calm]
kind = safe
path = /calm/
service = calm
target_ms = 500
";

/// The sections of the site.
pub fn sections() -> &'static str {
    SECTIONS
}

/// The callers of the service.
pub fn callers() -> impl Iterator<Item = Contender> {
    let caller = Contender::of_path(PATH);
    std::iter::repeat_n(caller, CALLERS)
}

/// When most new connections go to a gateway, from the start of the load.
#[derive(Debug, Clone)]
pub struct Crowding {
    /// Index of the gateway; the next one while it isn't ready.
    pub entry: usize,
    pub time: Range<Duration>,
}

impl Crowding {
    /// Draws the plan. `latest` is the latest start in seconds.
    pub fn draw(seed: u64, latest: u64, entries: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
        let from = Duration::from_millis(rng.random_range(FIRST_MS..latest * 1_000));
        Crowding {
            entry: rng.random_range(0..entries),
            time: from..from + Duration::from_millis(CROWDED_MS),
        }
    }

    /// Index, among `ready` gateways, of the one for a new connection.
    pub fn choose(&self, elapsed: Duration, ready: &[usize], rng: &mut SmallRng) -> usize {
        let is_crowded = self.time.contains(&elapsed) && rng.random_bool(CROWDED_SHARE);
        match is_crowded {
            true => ready
                .iter()
                .position(|entry| *entry >= self.entry)
                .unwrap_or(0),
            false => rng.random_range(0..ready.len()),
        }
    }

    /// True if a caller closes its connection after an answer.
    pub fn closes(&self, elapsed: Duration, rng: &mut SmallRng) -> bool {
        self.time.contains(&elapsed) && rng.random_bool(CLOSE_SHARE)
    }
}

/// Describes a crowded time in which first tries were served far less than before.
pub fn find_violation(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> Option<Failure> {
    let started = observations.started?;
    let time = started + plan.crowding.time.start..started + plan.crowding.time.end;
    let judged = attempts.iter().filter(|attempt| {
        let Attempt {
            entry, sent, ended, ..
        } = attempt;
        attempt.route.path == PATH
            && attempt.outcome.is_some()
            && !plan.cut.contains(entry)
            && observations.is_undisturbed(*entry, *sent, *ended, CONTACT_TIME)
    });
    let (from, until) = (time.start, time.end);
    let inside = judged
        .clone()
        .filter(|attempt| attempt.sent >= from + CONTACT_TIME && attempt.ended <= until);
    let before = judged.filter(|attempt| attempt.sent + BEFORE >= from && attempt.ended < from);
    let (inside, before): (Vec<&Attempt>, Vec<&Attempt>) = (inside.collect(), before.collect());
    if inside.len() < MIN_ATTEMPTS || before.len() < MIN_ATTEMPTS {
        return None;
    }
    let (share, usual) = (served_share(&inside), served_share(&before));
    (share < MIN_SHARE * usual).then(|| {
        let description = format!(
            "{share:.2} of {} attempts while most connections went to gateway {}, {usual:.2} of {} \
             before",
            inside.len(),
            plan.crowding.entry,
            before.len()
        );
        Failure::new(FailureKind::Crowded, description)
    })
}
