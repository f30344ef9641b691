//! Refuses requests that can't be served, before any of their work starts.
//!
//! These are requests that crash targets ([`crate::crashes`]), and requests that need a service
//! with targets only in evacuated halls or only outside the allowed regions, and all requests while
//! this host is isolated. Their pieces would wait in a queue without workers until the stages are
//! cancelled.

use std::rc::Rc;

use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_targets::Target;

use super::admit::Admitted;
use crate::answer::Refusal;
use crate::traffic::Traffic;

/// Refuses a request that is known to crash targets, or that has a part of its prompt that does.
pub fn check_crashes(cx: &Traffic, admitted: &Admitted) -> Result<(), Refusal> {
    if cx.crashes.knows_nothing() {
        return Ok(());
    }
    cx.crashes.check(cx, || admitted.digest())?;
    cx.crashes.check_parts(cx, admitted.prompt())
}

/// True when a request has to run isolated.
pub fn is_suspect(cx: &Traffic, admitted: &Admitted) -> bool {
    !cx.crashes.knows_nothing()
        && (cx.crashes.is_suspect(cx, || admitted.digest())
            || cx.crashes.has_suspect_part(cx, admitted.prompt()))
}

/// Gets permission to run a request that has a part of its prompt that was refused. Refuses it if
/// another one tries the part.
pub async fn begin_trials(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    if cx.crashes.knows_nothing() {
        return Ok(());
    }
    let trials = cx.crashes.begin_trials(cx, admitted.prompt()).await?;
    admitted.keep_trials(trials);
    Ok(())
}

/// The first missing service of the request's stages, or the route's first service if all of the
/// route's services are missing.
fn first_missing(
    admitted: &Admitted,
    is_missing: impl Fn(ServiceKey) -> bool,
) -> Option<ServiceKey> {
    let route = admitted.route();
    let pieces = admitted.caller.pieces.iter();
    let needed = route.stages.iter().zip(pieces);
    let mut needed = needed.filter(|(_, pieces)| **pieces > 0);
    let missing_stage = needed.find(|(stage, _)| is_missing(stage.service));
    missing_stage.map(|(stage, _)| stage.service).or_else(|| {
        let all_missing = route.services.iter().all(|(key, _)| is_missing(*key));
        let (first, _) = route.services.first().filter(|_| all_missing)?;
        Some(*first)
    })
}

/// A needed service that has targets, but none in a hall where the request may run.
fn outside_regions(cx: &Traffic, admitted: &Admitted) -> Option<ServiceKey> {
    admitted.halls.as_ref()?;
    first_missing(admitted, |key| {
        let name = &admitted.deployment.service(key).name;
        let is_allowed = |target: &Rc<Target>| admitted.is_allowed_in(&target.record.hall);
        cx.with_targets(name, |targets| {
            !targets.is_empty() && !targets.iter().any(is_allowed)
        })
    })
}

/// Refuses a request that crashes targets, for which no target can be reached, or that needs a service
/// whose halls are all evacuated or that has no target in the allowed regions.
pub fn check(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    check_crashes(cx, admitted)?;
    if cx.reach.is_isolated(cx) {
        let detail = "this host reaches no target, and no peer that does";
        let refusal = Refusal::new(ErrorKind::NoTarget, detail);
        return Err(refusal.with_retry_after(cx.reach.isolation_retry_after()));
    }
    let view = cx.view();
    let name = |key: ServiceKey| &admitted.deployment.service(key).name;
    let is_evacuated = |key: ServiceKey| view.targets.evacuated_services.contains(name(key));
    let refuse = |detail: String| Err(Refusal::new(ErrorKind::NoTarget, detail));
    if let Some(service) = first_missing(admitted, is_evacuated) {
        return refuse(format!(
            "all halls with targets of {} are evacuated",
            name(service)
        ));
    }
    if let Some(service) = outside_regions(cx, admitted) {
        let name = name(service);
        return refuse(format!("{name} has no target in the allowed regions"));
    }
    Ok(())
}
