//! Refuses at once a request that can't be served.
//!
//! A request under which several targets ended would end the next one ([`crate::crashes`]).
//! When every target of a service lies in halls that the operators emptied, a request
//! that needs it can't be served until a hall is taken back. Its pieces would wait in a
//! queue without workers until its stages are given up. So would one that may be worked on
//! only in regions where a service has no target.

use std::rc::Rc;

use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_targets::Target;

use super::admit::Admitted;
use crate::answer::Refusal;
use crate::traffic::Traffic;

/// Refuses a request that ends targets.
pub fn may_run(cx: &Traffic, admitted: &Admitted) -> Result<(), Refusal> {
    cx.crashes.judge(cx, || admitted.digest())
}

/// A service that a request needs and that has targets, none of them where the request may
/// be worked on.
fn out_of_place(cx: &Traffic, admitted: &Admitted) -> Option<ServiceKey> {
    admitted.halls.as_ref()?;
    let route = admitted.route();
    let pieces = admitted.caller.pieces.iter();
    let stages = route.stages.iter().zip(pieces);
    let stages = stages.filter(|(_, pieces)| **pieces > 0);
    let is_out = |key: ServiceKey| {
        let name = &admitted.deployment.service(key).name;
        let lies_right = |target: &Rc<Target>| admitted.may_be_in(&target.record.hall);
        cx.with_targets(name, |targets| {
            !targets.is_empty() && !targets.iter().any(lies_right)
        })
    };
    let of_stages = stages
        .map(|(stage, _)| stage.service)
        .find(|key| is_out(*key));
    let mut services = route.services.iter().map(|(key, _)| *key);
    of_stages.or_else(|| {
        let all_out = services.clone().all(is_out);
        services.next().filter(|_| all_out)
    })
}

/// Refuses a request that ends targets, that needs a service whose halls are all empty, or
/// one that has no target in the regions where the request may be worked on.
pub fn judge(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    may_run(cx, admitted)?;
    let view = cx.view();
    let name = |key: ServiceKey| &admitted.deployment.service(key).name;
    let is_missing = |key: ServiceKey| view.targets.emptied_services.contains(name(key));
    let route = admitted.route();
    let pieces = admitted.caller.pieces.iter();
    let needed = route.stages.iter().zip(pieces);
    let mut needed = needed.filter(|(_, pieces)| **pieces > 0);
    let missing_stage = needed.find(|(stage, _)| is_missing(stage.service));
    let missing = missing_stage.map(|(stage, _)| stage.service).or_else(|| {
        let all_missing = route.services.iter().all(|(key, _)| is_missing(*key));
        let (first, _) = route.services.first().filter(|_| all_missing)?;
        Some(*first)
    });
    if let Some(service) = missing
        .is_none()
        .then(|| out_of_place(cx, admitted))
        .flatten()
    {
        return Err(Refusal::new(
            ErrorKind::NoTarget,
            format!("{} has no target where the request may run", name(service)),
        ));
    }
    match missing {
        Some(service) => Err(Refusal::new(
            ErrorKind::NoTarget,
            format!("all halls of {} are emptied", name(service)),
        )),
        None => Ok(()),
    }
}
