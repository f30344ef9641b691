//! Holds what callers got against what targets ran and what was done to the gateways.

use std::time::{Duration, Instant};

use hollowsail_platform_emulator::caller::Outcome;

use super::callers::Attempt;
use super::plan::EntryFault;
use super::processes::{Disturbance, Seen};
use super::report::SoakReport;
use super::SoakOptions;

/// How much later than its route's end an answer may come.
const END_SLACK: Duration = Duration::from_millis(500);
/// How long a disturbance of a gateway still excuses it.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Part of the attempts that are answered whole at least: less, and the checks see little.
const LEAST_WHOLE: f64 = 0.5;

/// Judges a run.
pub fn judge(
    options: &SoakOptions,
    seen: &Seen,
    attempts: &[Attempt],
    added: Vec<String>,
) -> SoakReport {
    let mut failures: Vec<String> = seen.broken.clone();
    failures.extend(seen.ends.iter().cloned());
    failures.extend(added);
    failures.extend(
        attempts
            .iter()
            .filter_map(|attempt| fault_of(attempt, seen)),
    );
    let whole = count(attempts, |outcome| *outcome == Outcome::Whole);
    if (whole as f64) < attempts.len() as f64 * LEAST_WHOLE {
        failures.push(format!("{whole} of {} attempts are whole", attempts.len()));
    }
    SoakReport {
        seed: options.seed,
        seconds: options.seconds,
        attempts: attempts.len(),
        whole,
        not_run: count(attempts, |outcome| {
            matches!(outcome, Outcome::NotRun { .. })
        }),
        unknown: count(attempts, |outcome| {
            matches!(outcome, Outcome::Unknown { .. })
        }),
        ran: seen.ran.len(),
        failures,
    }
}

fn count(attempts: &[Attempt], is_counted: impl Fn(&Outcome) -> bool) -> usize {
    let outcomes = attempts
        .iter()
        .filter_map(|attempt| attempt.outcome.as_ref());
    outcomes.filter(|outcome| is_counted(outcome)).count()
}

/// What is wrong with an attempt, if anything.
fn fault_of(attempt: &Attempt, seen: &Seen) -> Option<String> {
    let id = &attempt.id;
    let entry = attempt.entry;
    let took_ms = (attempt.ended - attempt.sent).as_millis();
    match attempt.outcome.as_ref()? {
        Outcome::Wrong { why } => Some(format!("request {id} at gateway {entry}: {why}")),
        Outcome::NotRun { .. } if seen.ran.contains(id) => {
            Some(format!("request {id} was said not to have run, and ran"))
        }
        Outcome::Unknown { why } if is_cut_by_stop(attempt, seen) => Some(format!(
            "request {id} was cut by a planned stop of gateway {entry}: {why}"
        )),
        _ if is_late(attempt) && !is_excused(attempt, seen, |_| true) => Some(format!(
            "request {id} at gateway {entry} ended after {took_ms} ms"
        )),
        _ => None,
    }
}

fn is_late(attempt: &Attempt) -> bool {
    let end = Duration::from_millis(attempt.route.timeout_ms) + END_SLACK;
    attempt.ended - attempt.sent > end
}

/// True when a target worked on a request and its connection ended while its gateway was
/// being stopped as planned.
fn is_cut_by_stop(attempt: &Attempt, seen: &Seen) -> bool {
    let is_stop = |disturbance: &Disturbance| disturbance.fault == EntryFault::Stop;
    let is_other = |disturbance: &Disturbance| disturbance.fault != EntryFault::Stop;
    let is_connection = !matches!(
        &attempt.outcome,
        Some(Outcome::Unknown { why }) if why.starts_with("status")
    );
    is_connection
        && seen.ran.contains(&attempt.id)
        && is_excused(attempt, seen, is_stop)
        && !is_excused(attempt, seen, is_other)
}

/// True when such a disturbance of the attempt's gateway fell into its time.
fn is_excused(attempt: &Attempt, seen: &Seen, is_such: impl Fn(&Disturbance) -> bool) -> bool {
    let overlaps = |from: Instant, until: Instant| attempt.sent <= until && from <= attempt.ended;
    let mut disturbances = seen.disturbances.iter();
    disturbances.any(|known| {
        known.entry == attempt.entry
            && is_such(known)
            && overlaps(known.from, known.until + AFTERMATH)
    })
}
