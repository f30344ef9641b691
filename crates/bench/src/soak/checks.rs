//! Checks of a soak run: compares callers' outcomes with the targets' executions.
//!
//! A late response fails the run unless a fault of its gateway explains it; a connection that
//! a planned stop breaks always does.

use std::time::{Duration, Instant};

use hollowsail_platform_emulator::caller::Outcome;
use hollowsail_platform_emulator::entry::GRACE_S;

use super::callers::Attempt;
use super::plan::{EntryFault, SoakPlan};
use super::processes::{Disturbance, Observations};
use super::report::{Failure, FailureKind, SoakReport};
use super::{attempt_bounds, departures, fragile, repeats, room, versions, SoakOptions};
use super::{crowding, cut};

/// How far a response may exceed its route's timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// How long after its end a fault still excuses its gateway.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(1);
/// Part of a planned stop in which work of targets may be cut that still goes on, if its request was sent
/// no later than some time after the stop began.
const LAST_PART_OF_STOP: f64 = 1.0 / 6.0;
const LATEST_IN_STOP: Duration = Duration::from_secs(3);
/// Minimum share of whole answers; below it too few attempts exercise the checks.
const MIN_WHOLE_SHARE: f64 = 0.5;

pub fn evaluate(
    options: &SoakOptions,
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
    added_route_failures: Vec<Failure>,
) -> SoakReport {
    let mut failures = find_violations(plan, observations, attempts);
    failures.extend(added_route_failures);
    // Attempts that contend for workers are refused in the burst: `room` checks them.
    let uncontended = attempts
        .iter()
        .filter(|attempt| attempt.contender.is_none());
    let uncontended: Vec<Attempt> = uncontended.cloned().collect();
    let cut = cut::evaluate(plan, observations, &uncontended);
    failures.extend(cut.failure);
    failures.extend(crowding::find_violation(plan, observations, attempts));
    let whole = count(&uncontended, |outcome| *outcome == Outcome::Whole);
    let total = uncontended.len();
    if (whole as f64) < total as f64 * MIN_WHOLE_SHARE {
        let description = format!("{whole} of {total} attempts are whole");
        failures.push(Failure::new(FailureKind::FewWhole, description));
    }
    let room = room::evaluate(observations, attempts);
    failures.extend(room.failures);
    failures.extend(departures::evaluate(observations));
    failures.extend(fragile::evaluate(plan, observations, attempts));
    let streams = versions::evaluate(observations, attempts);
    failures.extend(streams.failures);
    let repeats = repeats::evaluate(plan, observations, attempts);
    failures.extend(repeats.failures);
    let attempt_bounds = attempt_bounds::evaluate(plan, observations, attempts);
    failures.extend(attempt_bounds.failures);
    SoakReport {
        attempt_bounds: attempt_bounds.summary,
        room: room.summary,
        cut: cut.summary,
        streams: streams.summary,
        repeats: repeats.summary,
        used_repeats: repeats.used,
        failures,
        ..SoakReport::of_attempts(options, observations, attempts)
    }
}

/// Promises that targets, processes and answers broke, and repeats that nobody granted.
pub fn find_violations(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> Vec<Failure> {
    let broken = observations.broken.iter().cloned();
    let exits = observations.exit_failures.iter();
    let exits = exits.map(|failure| Failure::new(FailureKind::Process, failure));
    let attempts = attempts.iter();
    let wrong = attempts.filter_map(|attempt| find_violation(attempt, plan, observations));
    let ungranted = observations.grants.evaluate(&observations.arrivals);
    broken.chain(exits).chain(wrong).chain(ungranted).collect()
}

impl SoakReport {
    /// Counts the attempts of callers; without failures.
    pub fn of_attempts(
        options: &SoakOptions,
        observations: &Observations,
        attempts: &[Attempt],
    ) -> Self {
        SoakReport {
            seed: options.seed,
            seconds: options.seconds,
            entries: options.entries,
            mode: mode_option(options),
            attempts: attempts.len(),
            whole: count(attempts, |outcome| *outcome == Outcome::Whole),
            not_run: count(attempts, |outcome| {
                matches!(outcome, Outcome::NotRun { .. })
            }),
            unknown: count(attempts, |outcome| {
                matches!(outcome, Outcome::Unknown { .. })
            }),
            ran: observations.ran.len(),
            ..Self::default()
        }
    }
}

/// Option of the command that selects what is played.
fn mode_option(options: &SoakOptions) -> Option<&'static str> {
    match options {
        SoakOptions {
            failing_targets: true,
            ..
        } => Some("--failing-targets"),
        SoakOptions { restores: true, .. } => Some("--restores"),
        SoakOptions {
            joining_hosts: true,
            ..
        } => Some("--joining-hosts"),
        SoakOptions {
            suspended_targets: true,
            ..
        } => Some("--suspended-targets"),
        SoakOptions {
            planned_stops: true,
            ..
        } => Some("--planned-stops"),
        SoakOptions {
            target_processes: true,
            ..
        } => Some("--target-processes"),
        SoakOptions {
            quick_restarts: true,
            ..
        } => Some("--quick-restarts"),
        SoakOptions {
            stage_load: true, ..
        } => Some("--stage-load"),
        SoakOptions {
            spoiling_targets: true,
            ..
        } => Some("--spoiling-targets"),
        _ => None,
    }
}

fn count(attempts: &[Attempt], is_counted: impl Fn(&Outcome) -> bool) -> usize {
    let outcomes = attempts
        .iter()
        .filter_map(|attempt| attempt.outcome.as_ref());
    outcomes.filter(|outcome| is_counted(outcome)).count()
}

/// Describes the promise that an attempt broke, if any.
fn find_violation(
    attempt: &Attempt,
    plan: &SoakPlan,
    observations: &Observations,
) -> Option<Failure> {
    let id = &attempt.id;
    let entry = attempt.entry;
    let took_ms = (attempt.ended - attempt.sent).as_millis();
    let (kind, description) = match attempt.outcome.as_ref()? {
        Outcome::Wrong { why } => (
            FailureKind::WrongResponse,
            format!("request {id} at gateway {entry}: {why}"),
        ),
        Outcome::NotRun { .. } if observations.ran.contains(id) => (
            FailureKind::FalseNotRun,
            format!("request {id} was reported as not run, but a target ran it"),
        ),
        Outcome::Unknown { why } if is_cut_by_stop(attempt, plan, observations) => (
            FailureKind::CutByStop,
            format!("request {id} was cut by a planned stop of gateway {entry}: {why}"),
        ),
        _ if is_late(attempt) && !is_excused(attempt, observations, |_| true) => (
            FailureKind::Late,
            format!(
                "request {id} at gateway {entry} ended after {took_ms} ms; its caller was up to {} ms late itself",
                observations.max_lag(attempt.sent, attempt.ended).as_millis()
            ),
        ),
        _ => return None,
    };
    Some(Failure::new(kind, description))
}

/// True if the attempt ended no sooner than its route's timeout, which is a cause of its own.
pub fn has_timed_out(attempt: &Attempt) -> bool {
    attempt.ended - attempt.sent >= Duration::from_millis(attempt.route.timeout_ms)
}

fn is_late(attempt: &Attempt) -> bool {
    let end = Duration::from_millis(attempt.route.timeout_ms) + TIMEOUT_SLACK;
    attempt.ended - attempt.sent > end
}

/// True if a target executed the request and its connection broke during a planned stop of
/// its gateway, with no other fault, timeout or target to explain it.
fn is_cut_by_stop(attempt: &Attempt, plan: &SoakPlan, observations: &Observations) -> bool {
    let is_stop = |disturbance: &Disturbance| disturbance.fault == EntryFault::Stop;
    let is_other = |disturbance: &Disturbance| disturbance.fault != EntryFault::Stop;
    let is_connection = !matches!(
        &attempt.outcome,
        Some(Outcome::Unknown { why }) if why.starts_with("status")
    );
    is_connection
        && !has_timed_out(attempt)
        && !outlasts_stop(attempt, observations)
        && !observations.cut.contains(&attempt.id)
        && !cut::breaks_connections_of(attempt, plan, observations)
        && !cut::loses_relay_of(attempt, plan, observations)
        && observations.ran.contains(&attempt.id)
        && is_excused(attempt, observations, is_stop)
        && !is_excused(attempt, observations, is_other)
}

/// True if a target was still at work on the attempt in the last part of a planned stop of its gateway,
/// which had it before the stop or soon after.
fn outlasts_stop(attempt: &Attempt, observations: &Observations) -> bool {
    let grace = Duration::from_secs(u64::from(GRACE_S));
    let mut stops = observations.disturbances.iter();
    !observations.answered.contains(&attempt.id)
        && stops.any(|stop| {
            stop.entry == attempt.entry
                && stop.fault == EntryFault::Stop
                && attempt.sent <= stop.from + LATEST_IN_STOP
                && attempt.ended >= stop.from + grace.mul_f64(1.0 - LAST_PART_OF_STOP)
        })
}

/// True if a matching fault of the attempt's gateway overlapped the attempt.
fn is_excused(
    attempt: &Attempt,
    observations: &Observations,
    is_match: impl Fn(&Disturbance) -> bool,
) -> bool {
    let overlaps = |from: Instant, until: Instant| attempt.sent <= until && from <= attempt.ended;
    let mut disturbances = observations.disturbances.iter();
    disturbances.any(|disturbance| {
        disturbance.entry == attempt.entry
            && is_match(disturbance)
            && overlaps(disturbance.from, disturbance.until + RECOVERY_GRACE)
    })
}
