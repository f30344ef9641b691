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

/// The first service that a request needs and can't have: one of its stages, or the first
/// of the route's own where it can have none of them.
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

/// A service that a request needs and that has targets, none of them where the request may
/// be worked on.
fn out_of_place(cx: &Traffic, admitted: &Admitted) -> Option<ServiceKey> {
    admitted.halls.as_ref()?;
    first_missing(admitted, |key| {
        let name = &admitted.deployment.service(key).name;
        let lies_right = |target: &Rc<Target>| admitted.may_be_in(&target.record.hall);
        cx.with_targets(name, |targets| {
            !targets.is_empty() && !targets.iter().any(lies_right)
        })
    })
}

/// Refuses a request that ends targets, that needs a service whose halls are all empty, or
/// one that has no target in the regions where the request may be worked on.
pub fn judge(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    may_run(cx, admitted)?;
    let view = cx.view();
    let name = |key: ServiceKey| &admitted.deployment.service(key).name;
    let is_emptied = |key: ServiceKey| view.targets.emptied_services.contains(name(key));
    let refuse = |detail: String| Err(Refusal::new(ErrorKind::NoTarget, detail));
    if let Some(service) = first_missing(admitted, is_emptied) {
        return refuse(format!("all halls of {} are emptied", name(service)));
    }
    if let Some(service) = out_of_place(cx, admitted) {
        let name = name(service);
        return refuse(format!("{name} has no target where the request may run"));
    }
    Ok(())
}
