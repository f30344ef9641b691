//! Checks of what targets get of single attempts: at how many targets one runs, and how much time they
//! are given for it, by what they read.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::{CallerTime, ExcessTime, RouteKind, TimedArrival};

use super::callers::Attempt;
use super::plan::SoakPlan;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// How long after a disturbance a gateway counts as disturbed.
const CONTACT: Duration = Duration::from_secs(3);

/// Work that a target read.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub service: String,
    pub target: String,
    pub request: String,
    /// Stage and piece; `None` for the request itself.
    pub piece: Option<(u64, u64)>,
    /// Since the start of the platform.
    pub at: Duration,
    /// Time that it may take.
    pub given: Option<Duration>,
    /// Id of the call that brought a piece.
    pub call: Option<String>,
}

/// Result of the checks.
pub struct BoundsReport {
    pub failures: Vec<Failure>,
    pub summary: String,
}

pub fn evaluate(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> BoundsReport {
    let allowed = attempts.iter().map(|attempt| {
        let allowed = attempt.route.attempts as usize;
        (attempt.id.as_str(), allowed)
    });
    let targets = observations.attempt_targets.excess(allowed);
    let targets_text = format!(
        "{} of {} allowed ran at more targets than their route allows, at {} at most",
        targets.excessive,
        targets.allowed(),
        targets.most
    );
    let engines: HashSet<&str> = plan
        .site
        .routes
        .iter()
        .filter(|route| route.kind == RouteKind::Stream)
        .map(|route| route.service.as_str())
        .collect();
    let is_request =
        |arrival: &Arrival| arrival.piece.is_none() && !engines.contains(arrival.service.as_str());
    let requests = excess_time(observations, attempts, is_request);
    let pieces = excess_time(observations, attempts, |arrival| arrival.piece.is_some());
    let describe = |what: &str, time: &ExcessTime| {
        format!(
            "{} of {} allowed {what} were given more time than remained, by {} ms at most; {} others \
             were sent once more late",
            time.excessive,
            time.allowed(),
            time.longest.as_millis(),
            time.late
        )
    };
    let times = [("requests", requests), ("pieces", pieces)];
    let mut failures = Vec::new();
    if targets.is_exceeded() {
        let failure = Failure::new(FailureKind::AttemptTargets, &targets_text);
        failures.push(failure);
    }
    let exceeded = times.iter().filter(|(_, time)| time.is_exceeded());
    failures.extend(
        exceeded.map(|(what, time)| Failure::new(FailureKind::GivenTime, describe(what, time))),
    );
    let times = times.iter().map(|(what, time)| describe(what, time));
    let texts: Vec<String> = std::iter::once(targets_text).chain(times).collect();
    BoundsReport {
        failures,
        summary: format!("attempts: {}", texts.join("; ")),
    }
}

/// Counts the time given for some work of attempts whose gateways nothing disturbed.
fn excess_time(
    observations: &Observations,
    attempts: &[Attempt],
    is_counted: impl Fn(&Arrival) -> bool,
) -> ExcessTime {
    let Some(started) = observations.platform_started else {
        return ExcessTime::default();
    };
    let is_undisturbed = |attempt: &&Attempt| {
        observations.is_undisturbed(attempt.entry, attempt.sent, attempt.ended, CONTACT)
    };
    let since_start = |at: Instant| at.saturating_duration_since(started);
    let callers = attempts.iter().filter(is_undisturbed).map(|attempt| {
        let time = CallerTime {
            sent: since_start(attempt.sent),
            deadline: Duration::from_millis(attempt.route.timeout_ms),
        };
        (attempt.id.as_str(), time)
    });
    let callers: HashMap<&str, CallerTime> = callers.collect();
    let mut by_work: HashMap<_, Vec<TimedArrival>> = HashMap::new();
    for arrival in observations.arrivals.iter().filter(|a| is_counted(a)) {
        let work = (&arrival.service, &arrival.request, arrival.piece);
        by_work.entry(work).or_default().push(TimedArrival {
            at: arrival.at,
            given: arrival.given,
        });
    }
    let mut excess = ExcessTime::default();
    for ((_, request, _), mut arrivals) in by_work {
        arrivals.sort_by_key(|arrival| arrival.at);
        if let Some(caller) = callers.get(request.as_str()) {
            excess.add(*caller, &arrivals);
        }
    }
    excess
}
