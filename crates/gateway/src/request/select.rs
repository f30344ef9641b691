//! Selects the target for the next attempt of a request.
//!
//! The scheduler of the service names one where it has a scheduler; otherwise this entry chooses
//! among the targets that are not backing off, not excluded and within their warm-up share.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::text::Field;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::warm_up::{BYPASS_SHARE, NO_SCHEDULER_SHARE};
use hollowsail_routing::{Millis, Reason, Versions};
use hollowsail_targets::Target;

use super::admit::Admitted;
use super::attempt;
use super::attempts::Attempts;
use super::choose;
use super::prepare::Prepared;
use crate::answer::Refusal;
use crate::connections;
use crate::mechanisms::Mechanism;
use crate::placement::{Placement, PlacementOutcome};
use crate::traffic::Traffic;

/// Delay before a scheduler that did not reply is queried again.
const SCHEDULER_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Retry-After where no scheduler replied; another entry owns the scheduler by then.
const NEW_OWNER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The target for an attempt.
pub struct Selected {
    pub target: Rc<Target>,
    /// Others that may serve the request if they have a connection first; none where a scheduler
    /// named the target.
    pub others: Vec<Rc<Target>>,
    pub placed: Option<Placement>,
}

/// Returns the target for the next attempt, with its placement where a scheduler named it.
/// Refuses the request when no target may get it.
pub async fn next_target(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    attempts: &Attempts,
) -> Result<Selected, Refusal> {
    let service = &admitted.deployment.service(attempts.service).name;
    let AllowedVersions {
        mut versions,
        mut fallback,
    } = allowed_versions(cx, service, attempts);
    loop {
        let senders = match query_scheduler(cx, admitted, prepared, attempts, &versions).await? {
            SchedulerReply::Named(target, placed) => {
                return Ok(Selected {
                    target,
                    others: Vec::new(),
                    placed: Some(placed),
                })
            }
            SchedulerReply::ChooseLocally(senders) => senders,
        };
        let chosen = choose_locally(cx, admitted, prepared, attempts, senders, &versions);
        if let Some(selected) = chosen {
            return Ok(selected);
        }
        match fallback.take() {
            Some(other) => versions = other,
            None => break,
        }
    }
    if all_limited(cx, service, &versions) {
        let refusal = limit_refusal(attempts, NEW_OWNER_RETRY_AFTER);
        return Err(with_backoff_retry(cx, admitted, attempts, refusal));
    }
    Err(no_target_refusal(cx, admitted, attempts))
}

/// Versions that may serve an attempt.
struct AllowedVersions {
    versions: Versions,
    /// Versions that may serve it when no target of the others can.
    fallback: Option<Versions>,
}

fn allowed_versions(cx: &Traffic, service: &str, attempts: &Attempts) -> AllowedVersions {
    if let Some(version) = &attempts.version {
        return AllowedVersions {
            versions: Versions::Only(version.clone()),
            fallback: None,
        };
    }
    let draw = cx.rollouts.draw(cx, service, attempts.is_first());
    let fallback = draw.as_ref().filter(|draw| draw.has_fallback);
    AllowedVersions {
        fallback: fallback.map(|draw| draw.fallback().versions()),
        versions: draw.map_or(Versions::All, |draw| draw.versions()),
    }
}

/// True if a target may serve another attempt: one of the version that began the stream, if it
/// began.
pub fn has_candidate(cx: &Traffic, admitted: &Admitted, attempts: &Attempts) -> bool {
    let service = &admitted.deployment.service(attempts.service).name;
    let versions = allowed_versions(cx, service, attempts).versions;
    let targets = candidates(cx, service, attempts).into_iter();
    let mut targets = targets.filter(|target| versions.allow(&target.record.version));
    targets.any(|target| {
        admitted.is_allowed_in(&target.record.hall)
            && !attempts.tried.contains(target.incarnation())
    })
}

/// Targets that may serve an attempt by the roll-out of their service, whatever their version.
fn candidates(cx: &Traffic, service: &str, attempts: &Attempts) -> Vec<Rc<Target>> {
    let targets = cx.targets_named(service);
    match &attempts.version {
        Some(_) => cx.rollouts.targets_to_resume_at(cx, service, &targets),
        None => cx.rollouts.eligible_targets(cx, service, &targets),
    }
}

/// Result of querying the scheduler of a service.
enum SchedulerReply {
    Named(Rc<Target>, Placement),
    /// This entry chooses the target.
    ChooseLocally(WarmUpSenders),
}

/// Queries the scheduler of the service, if it has one. Retries while there is no reply and this
/// entry may send to none of the targets without it.
async fn query_scheduler(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    attempts: &Attempts,
    versions: &Versions,
) -> Result<SchedulerReply, Refusal> {
    let wait_ends = BootInstant::now() + admitted.max_wait();
    let service = &admitted.deployment.service(attempts.service).name;
    while cx.has(Mechanism::Scheduler) {
        let avoid = excluded(cx, admitted, attempts);
        let demand = choose::demand(cx, admitted, service, prepared, avoid, versions.clone());
        let Some(demand) = demand else { break };
        match cx.placements.place(cx, service, demand).await {
            PlacementOutcome::Placed(id, placed) => {
                let Some(target) = usable(cx, admitted, &id, versions) else {
                    return Ok(SchedulerReply::ChooseLocally(
                        WarmUpSenders::SchedulerAndBypass,
                    ));
                };
                log_choice(cx, admitted, &target, Reason::Placed, 0);
                return Ok(SchedulerReply::Named(target, placed));
            }
            PlacementOutcome::AtLimit { retry_after } => {
                return Err(limit_refusal(attempts, retry_after))
            }
            PlacementOutcome::NoCandidate => {
                return Ok(SchedulerReply::ChooseLocally(WarmUpSenders::SchedulerOnly))
            }
            // Another entry takes over the scheduler soon.
            PlacementOutcome::NoReply
                if all_limited(cx, service, versions) && BootInstant::now() < wait_ends =>
            {
                tokio::time::sleep(SCHEDULER_RETRY_INTERVAL).await;
            }
            PlacementOutcome::NoReply => {
                return Ok(SchedulerReply::ChooseLocally(
                    WarmUpSenders::SchedulerAndBypass,
                ))
            }
        }
    }
    Ok(SchedulerReply::ChooseLocally(WarmUpSenders::AllEntries))
}

/// Which entries may send to a target of the service that is warming up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WarmUpSenders {
    /// Every entry, up to its share: the service has no scheduler.
    AllEntries,
    /// Only the scheduler, which has used up the targets' shares.
    SchedulerOnly,
    /// The scheduler, and entries that bypass it up to a small share.
    SchedulerAndBypass,
}

/// The target that a scheduler named, unless it is backing off by now, runs another version, or is
/// in a hall where the request may not run.
fn usable(
    cx: &Traffic,
    admitted: &Admitted,
    id: &Incarnation,
    versions: &Versions,
) -> Option<Rc<Target>> {
    let target = cx.target(id)?;
    let hall = &target.record.hall;
    let may_run_there = versions.allow(&target.record.version)
        && admitted.is_allowed_in(hall)
        && cx.reach.has_way_to(hall);
    let is_usable = cx.backoff_until(&target).is_none() && may_run_there;
    is_usable.then_some(target)
}

/// True when every target of the versions that may serve reports a limit; only the scheduler may
/// then assign them.
fn all_limited(cx: &Traffic, service: &str, versions: &Versions) -> bool {
    cx.with_targets(service, |targets| {
        let targets = targets.iter();
        let allowed = targets.filter(|target| versions.allow(&target.record.version));
        let mut allowed = allowed.peekable();
        allowed.peek().is_some() && allowed.all(|target| target.is_limited())
    })
}

/// Refusal of a request whose targets are all at their limits.
fn limit_refusal(attempts: &Attempts, retry_after: Duration) -> Refusal {
    let mut refusal = attempts.refusal(ErrorKind::Overloaded);
    if attempts.is_first() {
        refusal.detail = "all targets of the service are at their limits".to_string();
    }
    refusal.with_retry_after(retry_after)
}

/// Targets that the scheduler must not name: those that failed the request, those that are backing
/// off, and those that stand still while others don't.
fn excluded(cx: &Traffic, admitted: &Admitted, attempts: &Attempts) -> Vec<Incarnation> {
    let backing_off = backing_off(cx, admitted, attempts);
    let backing_off = backing_off.iter().map(|(target, _)| target.incarnation());
    let tried = attempts.tried.iter().chain(backing_off);
    tried
        .cloned()
        .chain(stalled(cx, admitted, attempts))
        .collect()
}

/// Targets of the service that stand still; none if all do.
fn stalled(cx: &Traffic, admitted: &Admitted, attempts: &Attempts) -> Vec<Incarnation> {
    let now = cx.clock.now();
    let name = &admitted.deployment.service(attempts.service).name;
    cx.with_targets(name, |targets| {
        let stalled = targets.iter().filter(|target| target.is_stalled(now));
        let stalled: Vec<Incarnation> =
            stalled.map(|target| target.incarnation().clone()).collect();
        match stalled.len() == targets.len() {
            true => Vec::new(),
            false => stalled,
        }
    })
}

/// Targets of the service that are backing off, with the end of the backoff in milliseconds.
fn backing_off(
    cx: &Traffic,
    admitted: &Admitted,
    attempts: &Attempts,
) -> Vec<(Rc<Target>, Millis)> {
    if !cx.targets().any_backing_off(cx.clock.now()) {
        return Vec::new();
    }
    let name = &admitted.deployment.service(attempts.service).name;
    let targets = cx.targets_named(name).into_iter();
    let backing_off = targets.filter_map(|target| {
        let until = cx.backoff_until(&target)?;
        Some((target, until))
    });
    backing_off.collect()
}

/// Refusal of a request for which there is no target.
fn no_target_refusal(cx: &Traffic, admitted: &Admitted, attempts: &Attempts) -> Refusal {
    with_backoff_retry(
        cx,
        admitted,
        attempts,
        attempts.refusal(ErrorKind::NoTarget),
    )
}

/// Sets Retry-After to the earliest end of a backoff, where all targets that may serve the request
/// are backing off. A single target with a long backoff has no effect.
pub fn with_backoff_retry(
    cx: &Traffic,
    admitted: &Admitted,
    attempts: &Attempts,
    refusal: Refusal,
) -> Refusal {
    let name = &admitted.deployment.service(attempts.service).name;
    let is_allowed = |target: &Rc<Target>| match &attempts.version {
        Some(version) => target.record.version == *version,
        None => true,
    };
    let mut backing_off = backing_off(cx, admitted, attempts);
    backing_off.retain(|(target, _)| is_allowed(target));
    let allowed = |targets: &[Rc<Target>]| targets.iter().filter(|t| is_allowed(t)).count();
    let all_backing_off = backing_off.len() == cx.with_targets(name, allowed);
    let first = backing_off.into_iter().map(|(_, until)| until).min();
    match first.filter(|_| all_backing_off) {
        Some(until) => {
            let backoff_ms = until.saturating_sub(cx.clock.now());
            refusal.with_retry_after(Duration::from_millis(backoff_ms))
        }
        None => refusal,
    }
}

/// Chooses a target by what this entry itself observed.
fn choose_locally(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    attempts: &Attempts,
    senders: WarmUpSenders,
    versions: &Versions,
) -> Option<Selected> {
    // Loads a newer view if there is one: it may have fewer targets.
    cx.deployment()?;
    connections::update_limits(cx, admitted.deployment.service(attempts.service));
    let name = &admitted.deployment.service(attempts.service).name;
    let share = warm_up_share(cx, senders);
    let mut untried: Vec<Rc<Target>> = candidates(cx, name, attempts)
        .into_iter()
        .filter(|target| versions.allow(&target.record.version))
        .filter(|target| admitted.is_allowed_in(&target.record.hall))
        .filter(|target| cx.reach.has_way_to(&target.record.hall))
        .filter(|target| !attempts.tried.contains(target.incarnation()))
        .filter(|target| cx.backoff_until(target).is_none())
        .filter(|target| is_within_warm_up_share(cx, target, share))
        // A limit covers all entries together, so only the scheduler can apply it.
        .filter(|target| !target.is_limited())
        .collect();
    let now = cx.clock.now();
    if untried.iter().any(|target| !target.is_stalled(now)) {
        untried.retain(|target| !target.is_stalled(now));
    }
    let (index, reason) = match &admitted.caller.generation {
        Some(generation) => choose::engine(cx, generation, prepared, &untried)?,
        None if attempts.work.is_unread(now) => choose::last_answered(&untried, now)?,
        None => choose::plain(cx, &untried, attempt::reuse(admitted))?,
    };
    let candidates = untried.len();
    let target = untried.swap_remove(index);
    target.count_warm_up_send(cx.clock.now(), share);
    log_choice(cx, admitted, &target, reason, candidates);
    untried.retain(|other| may_replace(cx, other));
    Some(Selected {
        target,
        others: untried,
        placed: None,
    })
}

/// True when a target may serve a request for which another one was chosen, because it has a
/// connection first: where connections are few. One that is warming up gets only counted requests.
fn may_replace(cx: &Traffic, target: &Target) -> bool {
    target.pool.limit().is_some()
        && target.warm_up.get().is_none()
        && !target.is_ejected(cx.clock.now())
}

/// False while a target is warming up and this entry's share of it is used up, or unknown
/// because the list of entries has not been received.
fn is_within_warm_up_share(cx: &Traffic, target: &Target, share: f64) -> bool {
    if target.warm_up.get().is_none() {
        return true;
    }
    if share == 0.0 {
        return false;
    }
    let position = cx.peers.position(cx);
    position.is_some_and(|position| target.may_send(cx.clock.now(), share, position))
}

/// This entry's share of the requests that a target may get while it is warming up.
fn warm_up_share(cx: &Traffic, senders: WarmUpSenders) -> f64 {
    let total_share = match senders {
        WarmUpSenders::AllEntries => NO_SCHEDULER_SHARE,
        WarmUpSenders::SchedulerOnly => return 0.0,
        WarmUpSenders::SchedulerAndBypass => BYPASS_SHARE,
    };
    total_share / cx.peers.count() as f64
}

/// Writes the log line of a choice among `candidates` targets.
pub fn log_choice(
    cx: &Traffic,
    admitted: &Admitted,
    target: &Target,
    reason: Reason,
    candidates: usize,
) {
    cx.log.line(
        events::ROUTE,
        format_args!(
            "request={} target={} addr={} hall={} version={} reason={} candidates={candidates} \
             in_flight={} left_ms={} view={}",
            Field(&admitted.caller.request_id),
            Field(&target.incarnation().id),
            target.record.addr,
            Field(&target.record.hall),
            Field(&target.record.version),
            reason.name(),
            target.in_flight.get(),
            admitted
                .deadline
                .saturating_since(BootInstant::now())
                .as_millis(),
            cx.view_number()
        ),
    );
}
