//! Check of gateways that are cut off from all targets: their peers have to relay.

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

/// Describes a cut whose gateways served far less than the others.
pub fn find_violation(
    plan: &SoakPlan,
    observations: &Observations,
    uncontended: &[Attempt],
) -> Option<Failure> {
    let cut = &plan.cut;
    let from = observations.cut_from? + CONTACT_TIME;
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
    if others.len() < MIN_ATTEMPTS {
        return None;
    }
    let failed = behind.len() - count_served(&behind);
    let (share, others_share) = (served_share(&behind), served_share(&others));
    let is_allowed = failed as f64 <= ALLOWED_FAILURES + ALLOWED_SHARE * behind.len() as f64
        || share >= MIN_SHARE * others_share;
    (!is_allowed).then(|| {
        let description = format!(
            "gateways {cut:?} served {share:.2} of {} attempts while cut off from all targets, \
             the others {others_share:.2}",
            behind.len()
        );
        Failure::new(FailureKind::CutOff, description)
    })
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

/// Number of attempts with a whole answer in time.
fn count_served(attempts: &[&Attempt]) -> usize {
    let is_served = |attempt: &&&Attempt| {
        let latest = Duration::from_millis(attempt.route.target_ms) + TARGET_SLACK;
        attempt.outcome == Some(Outcome::Whole) && attempt.ended - attempt.sent <= latest
    };
    attempts.iter().filter(is_served).count()
}

/// Share of the attempts with a whole answer in time.
pub fn served_share(attempts: &[&Attempt]) -> f64 {
    count_served(attempts) as f64 / attempts.len().max(1) as f64
}
