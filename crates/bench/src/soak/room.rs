//! Checks of the contended service: what callers without room were told, and who was served.
//!
//! A refusal for want of room names its reason in the body. Times and the order of the routes
//! are checked only while no gateway is disturbed; a disturbance of any of them counts, because
//! it may own the queue.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use hollowsail_platform_emulator::caller::Outcome;

use super::callers::Attempt;
use super::checks::RECOVERY_GRACE;
use super::contention::{LESS_URGENT_PATH, URGENT_PATH};
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Start of the reason of a refusal for want of room.
const NO_ROOM: &str = "no room in service";
/// Maximum duration of such a refusal.
const MAX_REFUSAL: Duration = Duration::from_millis(250);
/// How much less often the more urgent route may be served than the less urgent one.
const MAX_ORDER_DIFFERENCE: f64 = 0.05;
/// Smallest permitted ratio of an organisation's served share to that of all.
const MIN_SERVED_RATIO: f64 = 0.25;
/// Number of words of a reason that distinguish it.
const REASON_WORDS: usize = 12;
/// Number of attempts below which a share says little.
const MIN_ATTEMPTS: usize = 50;

/// Result of the checks.
pub struct RoomReport {
    pub failures: Vec<Failure>,
    pub summary: String,
}

pub fn evaluate(observations: &Observations, attempts: &[Attempt]) -> RoomReport {
    let mut failures: Vec<Failure> = attempts
        .iter()
        .filter(|attempt| is_no_room(attempt))
        .filter_map(|attempt| find_violation(attempt, observations))
        .collect();
    failures.extend(check_order(observations, attempts));
    failures.extend(check_organisations(attempts));
    let routes = [URGENT_PATH, LESS_URGENT_PATH].map(|path| summarise(path, attempts));
    RoomReport {
        failures,
        summary: format!("no room: {}", routes.join("; ")),
    }
}

fn is_no_room(attempt: &Attempt) -> bool {
    matches!(&attempt.outcome, Some(Outcome::NotRun { why, .. }) if why.contains(NO_ROOM))
}

fn find_violation(attempt: &Attempt, observations: &Observations) -> Option<Failure> {
    let (id, took) = (&attempt.id, attempt.ended - attempt.sent);
    if observations.ran.contains(id) || observations.pieces.contains(id) {
        let description = format!("request {id} had no room, but a target got it or its pieces");
        return Some(Failure::new(FailureKind::RanWithoutRoom, description));
    }
    let is_late = took > MAX_REFUSAL && is_undisturbed(attempt, observations);
    is_late.then(|| {
        let description = format!(
            "request {id} was refused without room after {} ms; its caller was late by {} ms",
            took.as_millis(),
            observations
                .max_lag(attempt.sent, attempt.ended)
                .as_millis()
        );
        Failure::new(FailureKind::LateRefusal, description)
    })
}

/// True if no gateway was disturbed during the attempt.
fn is_undisturbed(attempt: &Attempt, observations: &Observations) -> bool {
    let mut disturbances = observations.disturbances.iter();
    disturbances.all(|disturbance| {
        attempt.ended < disturbance.from || disturbance.until + RECOVERY_GRACE < attempt.sent
    })
}

/// Number of attempts that weren't cancelled, and how many of them are whole.
#[derive(Clone)]
struct Served {
    attempts: usize,
    whole: usize,
    /// Number of the others by their reason, without its figures.
    reasons: BTreeMap<String, usize>,
}

impl fmt::Display for Served {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} whole", self.whole, self.attempts)?;
        let mut reasons = self.reasons.iter();
        reasons.try_for_each(|(reason, count)| write!(f, "; {count} x {reason}"))
    }
}

impl Served {
    fn of<'a>(attempts: impl Iterator<Item = &'a Attempt>) -> Self {
        let outcomes: Vec<_> = attempts
            .filter_map(|attempt| attempt.outcome.as_ref())
            .collect();
        let whole = outcomes
            .iter()
            .filter(|outcome| ***outcome == Outcome::Whole);
        let mut reasons = BTreeMap::new();
        for reason in outcomes.iter().filter_map(|outcome| reason(outcome)) {
            *reasons.entry(reason).or_default() += 1;
        }
        Served {
            attempts: outcomes.len(),
            whole: whole.count(),
            reasons,
        }
    }

    /// `None` if there are too few attempts.
    fn share(&self) -> Option<f64> {
        (self.attempts >= MIN_ATTEMPTS).then(|| self.whole as f64 / self.attempts as f64)
    }
}

/// Why an attempt isn't whole, with figures and names replaced by `#`, so that like ones count
/// together.
fn reason(outcome: &Outcome) -> Option<String> {
    let why = match outcome {
        Outcome::Whole => return None,
        Outcome::Wrong { why } | Outcome::Unknown { why } | Outcome::NotRun { why, .. } => why,
    };
    let words = why.split_whitespace().take(REASON_WORDS);
    let words = words.map(|word| match word.contains(|c: char| c.is_ascii_digit()) {
        true => "#",
        false => word,
    });
    Some(words.collect::<Vec<_>>().join(" "))
}

/// Compares the routes in the seconds without a fault: all callers, and those outside the burst,
/// who are as many on each route and would hide an inverted order among the others.
fn check_order(observations: &Observations, attempts: &[Attempt]) -> Vec<Failure> {
    let is_steady = |attempt: &Attempt| {
        let contender = attempt.contender.as_ref();
        contender.is_some_and(|contender| contender.active.is_none())
    };
    let undisturbed = || {
        let attempts = attempts.iter();
        attempts.filter(|attempt| is_undisturbed(attempt, observations))
    };
    let all = compare_routes("all callers", undisturbed());
    let steady = undisturbed().filter(|attempt| is_steady(attempt));
    let steady = compare_routes("steady callers", steady);
    all.into_iter().chain(steady).collect()
}

fn compare_routes<'a>(
    callers: &str,
    attempts: impl Iterator<Item = &'a Attempt> + Clone,
) -> Option<Failure> {
    let served = |path: &str| {
        let attempts = attempts.clone();
        Served::of(attempts.filter(|attempt| attempt.route.path == path))
    };
    let (urgent, other) = (served(URGENT_PATH), served(LESS_URGENT_PATH));
    let is_kept = urgent.share()? + MAX_ORDER_DIFFERENCE >= other.share()?;
    (!is_kept).then(|| {
        let description = format!(
            "the more urgent route was served less often ({callers}): {urgent}, but of the other {other}"
        );
        Failure::new(FailureKind::Order, description)
    })
}

fn check_organisations(attempts: &[Attempt]) -> Vec<Failure> {
    let organisation = |attempt: &Attempt| attempt.contender.as_ref()?.organisation;
    let all = || {
        attempts
            .iter()
            .filter(|attempt| organisation(attempt).is_some())
    };
    let Some(share) = Served::of(all()).share() else {
        return Vec::new();
    };
    let names: BTreeSet<&str> = all().filter_map(organisation).collect();
    let check = |name: &str| {
        let own = Served::of(all().filter(|attempt| organisation(attempt) == Some(name)));
        let is_starved = own.share()? < share * MIN_SERVED_RATIO;
        let description = format!("organisation {name}: {own}, but of all {share:.2} are whole");
        is_starved.then(|| Failure::new(FailureKind::Starved, description))
    };
    names.into_iter().filter_map(check).collect()
}

/// Counts of a route, with the median and 90th percentile of the times of its refusals.
fn summarise(path: &str, attempts: &[Attempt]) -> String {
    let own = || attempts.iter().filter(|attempt| attempt.route.path == path);
    let mut times = Histogram::<u64>::new(3).expect("the precision is valid");
    for attempt in own().filter(|attempt| is_no_room(attempt)) {
        times.saturating_record((attempt.ended - attempt.sent).as_millis() as u64);
    }
    let Served {
        attempts, whole, ..
    } = Served::of(own());
    let (median, p90) = (times.value_at_quantile(0.5), times.value_at_quantile(0.9));
    format!(
        "{path} {whole} of {attempts} whole, {} refused after {median} ms (p90 {p90} ms)",
        times.len()
    )
}
