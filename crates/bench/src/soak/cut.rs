//! Check of gateways that are cut off from all targets: their peers have to relay.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::caller::Outcome;

use super::callers::Attempt;
use super::plan::{EntryFault, SoakPlan};
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// Time from the start of a cut until first tries have to be served again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Least share of the others' service that gateways have while they are cut off.
const MIN_SHARE: f64 = 2.0 / 3.0;
/// Least number of attempts at the others that are judged.
const MIN_ATTEMPTS: usize = 20;
/// How far an answer may exceed its route's target latency to count as served.
const TARGET_SLACK: Duration = Duration::from_millis(500);
/// Failures that are allowed in any case, and their share of all attempts.
const ALLOWED_FAILURES: f64 = 10.0;
const ALLOWED_SHARE: f64 = 0.02;

/// What gateways served while they were cut off from all targets.
#[derive(Debug, Default)]
pub struct CutService {
    /// Shares and failures by route; empty if nothing was judged.
    pub summary: String,
    /// Set if they served far less than the others.
    pub failure: Option<Failure>,
}

/// Compares what gateways behind the cut served with the service of the others.
pub fn evaluate(
    plan: &SoakPlan,
    observations: &Observations,
    uncontended: &[Attempt],
) -> CutService {
    let Some(cut_from) = observations.cut_from else {
        return CutService::default();
    };
    let cut = &plan.cut;
    let from = cut_from + CONTACT_TIME;
    let until = observations.cut_until.unwrap_or_else(Instant::now);
    let judged = uncontended.iter().filter(|attempt| {
        let is_disturbed = observations.disturbances.iter().any(|disturbance| {
            disturbance.entry == attempt.entry
                && disturbance.from <= attempt.ended
                && attempt.sent <= disturbance.until
        });
        // One that hangs until the links return counts, too.
        attempt.sent >= from && attempt.sent <= until && !is_disturbed
    });
    let judged = judged.filter(|attempt| attempt.outcome.is_some());
    let (behind, others): (Vec<&Attempt>, Vec<&Attempt>) =
        judged.partition(|attempt| cut.contains(&attempt.entry));
    let (share, others_share) = (served_share(&behind), served_share(&others));
    let summary = format!(
        "behind the cut: gateways {cut:?} served {share:.2} of {}, the others {others_share:.2} of \
         {}; failed behind the cut: {}; at the others: {}",
        behind.len(),
        others.len(),
        describe_failures(&behind),
        describe_failures(&others),
    );
    let failed = behind.len() - count_served(&behind);
    let is_allowed = others.len() < MIN_ATTEMPTS
        || failed as f64 <= ALLOWED_FAILURES + ALLOWED_SHARE * behind.len() as f64
        || share >= MIN_SHARE * others_share;
    let failure = (!is_allowed).then(|| {
        let description = format!(
            "gateways {cut:?} served {share:.2} of {} attempts while cut off from all targets, \
             the others {others_share:.2}",
            behind.len()
        );
        Failure::new(FailureKind::CutOff, description)
    });
    CutService { summary, failure }
}

/// Attempts that weren't served, by path and outcome.
fn describe_failures(attempts: &[&Attempt]) -> String {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| !is_served(attempt)) {
        let outcome = match &attempt.outcome {
            Some(Outcome::Whole) => "late",
            Some(
                Outcome::NotRun { why, .. } | Outcome::Unknown { why } | Outcome::Wrong { why },
            ) => why.lines().next().unwrap_or("no reason"),
            None => "cancelled",
        };
        *counts.entry((&attempt.route.path, outcome)).or_default() += 1;
    }
    let counts = counts.iter();
    let texts: Vec<String> = counts
        .map(|((path, outcome), count)| format!("{count} {path} {outcome}"))
        .collect();
    match texts.is_empty() {
        true => "none".to_string(),
        false => texts.join(", "),
    }
}

/// True for an attempt that was in progress when its gateway was cut off from all targets, which
/// breaks the connections to them.
pub fn breaks_connections_of(
    attempt: &Attempt,
    plan: &SoakPlan,
    observations: &Observations,
) -> bool {
    let is_in_progress = |at: Instant| attempt.sent <= at && at <= attempt.ended;
    plan.cut.contains(&attempt.entry) && observations.cut_from.is_some_and(is_in_progress)
}

/// True for an attempt that was in progress at a gateway behind the cut while another gateway, which
/// may have relayed its connection, was killed.
pub fn loses_relay_of(attempt: &Attempt, plan: &SoakPlan, observations: &Observations) -> bool {
    let is_behind_cut = plan.cut.contains(&attempt.entry)
        && observations
            .cut_from
            .is_some_and(|from| from <= attempt.ended);
    let mut disturbances = observations.disturbances.iter();
    is_behind_cut
        && disturbances.any(|disturbance| {
            disturbance.entry != attempt.entry
                && disturbance.fault == EntryFault::Kill
                && attempt.sent <= disturbance.from
                && disturbance.from <= attempt.ended
        })
}

/// True for an attempt with a whole answer in time.
fn is_served(attempt: &Attempt) -> bool {
    let latest = Duration::from_millis(attempt.route.target_ms) + TARGET_SLACK;
    attempt.outcome == Some(Outcome::Whole) && attempt.ended - attempt.sent <= latest
}

fn count_served(attempts: &[&Attempt]) -> usize {
    attempts.iter().filter(|attempt| is_served(attempt)).count()
}

/// Share of the attempts with a whole answer in time.
pub fn served_share(attempts: &[&Attempt]) -> f64 {
    count_served(attempts) as f64 / attempts.len().max(1) as f64
}
