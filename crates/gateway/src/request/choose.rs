//! Builds candidates from targets, and scheduler demands from requests.
//!
//! The choice itself is made in `hollowsail-routing`: among plain targets by load and, where they
//! report it, by speed; among engines also by cached prefix and by the location of results.

use std::rc::Rc;

use hollowsail_connect::{soonest, Reuse};
use hollowsail_fleet::rendezvous;
use hollowsail_platform::headers::{Generation, PromptPart};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{
    choose, choose_by_end, choose_engine, prefix_outweighs_results, Candidate, Demand,
    EngineCandidate, Millis, Reason, Versions,
};
use hollowsail_targets::Target;
use rand::Rng;

use super::admit::Admitted;
use super::prepare::Prepared;
use super::unservable;
use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

/// Chooses a target of a plain service; returns its index and the reason. If connections are
/// limited, those with an idle one are preferred, then those to which one may be opened.
pub fn plain(cx: &Traffic, targets: &[Rc<Target>], reuse: Reuse) -> Option<(usize, Reason)> {
    let now = cx.clock.now();
    let by_speed = targets.iter().any(|target| has_speed(cx, target));
    let slowness = |target: &Target| match by_speed {
        true => target.speed.get().slowness(now),
        false => target.health.borrow().slowness(),
    };
    let candidate = |index: usize| Candidate {
        target: index,
        load: targets[index].load(),
        reported_load: targets[index].reported_load(now),
        slowness: slowness(&targets[index]),
        ejected: targets[index].is_ejected(now),
        affinity: None,
    };
    let indexes = soonest_connected(targets, now, reuse);
    let candidates: Vec<Candidate<usize>> = indexes.into_iter().map(candidate).collect();
    let draw = rand::rng().random();
    let choice = match by_speed {
        true => choose_by_end(&candidates, draw)?,
        false => choose(&candidates, draw)?,
    };
    Some((choice.target, choice.reason))
}

/// Chooses the target of a plain service that answered last, for a request of which an earlier
/// attempt may be unread: other targets may stand still, too. Returns its index and the reason.
pub fn last_answered(targets: &[Rc<Target>], now: Millis) -> Option<(usize, Reason)> {
    let rank = |target: &Target| {
        let answered_at = target.stall.borrow().answered_at();
        (!target.is_ejected(now), answered_at)
    };
    let last = (0..targets.len()).max_by_key(|index| rank(&targets[*index]))?;
    Some((last, Reason::LastAnswered))
}

/// Positions of the targets that have a connection for a request soonest, without the ejected ones;
/// of all targets if none has a limit or all are ejected.
fn soonest_connected(targets: &[Rc<Target>], now: Millis, reuse: Reuse) -> Vec<usize> {
    let is_limited = targets.iter().any(|target| target.pool.limit().is_some());
    let is_healthy = |index: &usize| !targets[*index].is_ejected(now);
    let healthy: Vec<usize> = (0..targets.len()).filter(is_healthy).collect();
    if !is_limited || healthy.is_empty() {
        return (0..targets.len()).collect();
    }
    let pools = healthy.iter().map(|index| &targets[*index].pool);
    let soonest = soonest(pools, reuse).into_iter();
    soonest.map(|position| healthy[position]).collect()
}

/// True when the speed of a target counts: it has reported one. Services whose targets don't are
/// served by load and health alone.
pub fn has_speed(cx: &Traffic, target: &Target) -> bool {
    cx.has(Mechanism::TargetSpeeds) && target.speed.get().has_report()
}

/// Builds the demand for the scheduler of a service: for every generation, and for a plain request
/// while a target is warming up or reports a limit. `None` when no scheduler is needed.
pub fn demand(
    cx: &Traffic,
    admitted: &Admitted,
    service: &str,
    prepared: &Prepared,
    avoid: Vec<Incarnation>,
    versions: Versions,
) -> Option<Demand<Incarnation>> {
    let generation = admitted.caller.generation.as_ref();
    let part = match generation {
        Some(generation) => &shared_part(generation)?.id,
        None if cx.is_rate_limited(service) => &admitted.caller.request_id,
        None => return None,
    };
    Some(Demand {
        from_hall: cx.me.hall.clone(),
        part: part.clone(),
        shared_tokens: generation.map_or(0, |generation| affinity_tokens(cx, generation)),
        prompt_tokens: generation.map_or(0, |generation| generation.prompt_tokens),
        avoid,
        versions,
        halls: admitted.halls.clone(),
        results: prepared.bytes_by_hall(),
        is_suspect: unservable::is_suspect(cx, admitted),
        urgency: admitted.urgency,
        max_wait_ms: admitted.max_wait().as_millis() as Millis,
    })
}

/// Chooses an engine by what this entry itself observed; returns its index and the reason.
pub fn engine(
    cx: &Traffic,
    generation: &Generation,
    prepared: &Prepared,
    targets: &[Rc<Target>],
) -> Option<(usize, Reason)> {
    let part = shared_part(generation)?;
    let candidates: Vec<EngineCandidate> = targets
        .iter()
        .map(|target| {
            candidate(
                cx,
                target,
                part,
                prepared.bytes_outside(&target.record.hall),
            )
        })
        .collect();
    let choice = choose_engine(&candidates, affinity_tokens(cx, generation))?;
    let reason = match choice.expects_prefix {
        true => Reason::Affinity,
        false => Reason::LessLoaded,
    };
    Some((choice.index, reason))
}

fn candidate(
    cx: &Traffic,
    target: &Target,
    part: &PromptPart,
    remote_bytes: u64,
) -> EngineCandidate {
    let health = target.health.borrow();
    EngineCandidate {
        affinity: rendezvous::score(&part.id, &target.incarnation().id),
        has_cached_prefix: false,
        load: target.load(),
        pending_prefill_tokens: target.pending_prefill_tokens.get(),
        slowness: health.slowness(),
        ejected: target.is_ejected(cx.clock.now()),
        remote_bytes,
    }
}

/// Hall of the engine that should have the prompt's shared prefix cached, if the prefix outweighs
/// moving `result_bytes` of results.
pub fn home_hall(cx: &Rc<Traffic>, admitted: &Admitted, result_bytes: u64) -> Option<String> {
    let generation = admitted.caller.generation.as_ref()?;
    if !prefix_outweighs_results(shared_tokens(generation), result_bytes) {
        return None;
    }
    let (service, _) = admitted.route().services.first()?;
    let name = &admitted.deployment.service(*service).name;
    let mut targets = cx
        .rollouts
        .eligible_targets(cx, name, &cx.targets_named(name));
    targets.retain(|target| admitted.is_allowed_in(&target.record.hall));
    let (index, _) = engine(cx, generation, &Prepared::default(), &targets)?;
    Some(targets[index].record.hall.clone())
}

/// The last shared part of a prompt, or its own part when nothing is shared.
fn shared_part(generation: &Generation) -> Option<&PromptPart> {
    let (own_part, shared) = generation.parts.split_last()?;
    Some(shared.last().unwrap_or(own_part))
}

/// Shared tokens that count in the choice of an engine; 0 without affinity.
fn affinity_tokens(cx: &Traffic, generation: &Generation) -> u64 {
    match cx.has(Mechanism::Affinity) {
        true => shared_tokens(generation),
        false => 0,
    }
}

/// Prompt tokens that are shared with other requests.
fn shared_tokens(generation: &Generation) -> u64 {
    let tokens = generation.shared_parts().iter().map(|part| part.tokens);
    // The numbers are from a header of the caller.
    tokens.fold(0, u64::saturating_add)
}
