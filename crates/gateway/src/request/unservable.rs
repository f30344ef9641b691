//! Refuses at once a request that can't be served.
//!
//! A request under which several targets ended would end the next one ([`crate::crashes`]).
//! When every target of a service lies in halls that the operators emptied, a request
//! that needs it can't be served until a hall is taken back. Its pieces would wait in a
//! queue without workers until its stages are given up.

use std::rc::Rc;

use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;

use super::admit::Admitted;
use crate::answer::Refusal;
use crate::traffic::Traffic;

/// Refuses a request that ends targets.
pub fn may_run(cx: &Traffic, admitted: &Admitted) -> Result<(), Refusal> {
    cx.crashes.judge(cx, || admitted.digest())
}

/// Refuses a request that ends targets, or that needs a service whose halls are all empty.
pub fn judge(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    may_run(cx, admitted)?;
    let view = cx.view();
    let name = |key: ServiceKey| &admitted.deployment.service(key).name;
    let is_missing = |key: ServiceKey| view.emptied_services.contains(name(key));
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
    match missing {
        Some(service) => Err(Refusal::new(
            ErrorKind::NoTarget,
            format!("all halls of {} are emptied", name(service)),
        )),
        None => Ok(()),
    }
}
