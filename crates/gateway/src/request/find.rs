//! Finds the target for the next send of a request.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::Moment;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::cold::{PAST_DESK_SHARE, WITHOUT_DESK_SHARE};
use hollowsail_routing::{Millis, Reason};
use hollowsail_targets::Target;

use super::admit::Admitted;
use super::choose;
use super::prepare::Prepared;
use super::sends::Sends;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::placement::Placed;
use crate::traffic::Traffic;

/// The target for the next send: for a generation the one that its desk names,
/// else the one that this entry chooses.
pub async fn next_target(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &Sends,
) -> Option<(Rc<Target>, Option<Placed>)> {
    let generation = admitted.caller.generation.as_ref();
    let is_suspect = cx.crashes.is_suspect(cx, || admitted.digest());
    let demand = generation.and_then(|g| {
        let avoid = to_avoid(cx, admitted, sends);
        choose::demand(cx, g, prepared, avoid, is_suspect)
    });
    if let Some(demand) = demand.filter(|_| cx.has(Mechanism::Desk)) {
        let service = &admitted.deployment.service(sends.service).name;
        let placed = cx.placements.place(cx, service, demand).await;
        let target = placed.and_then(|(id, placed)| Some((cx.target(&id)?, placed)));
        // It may have asked for a rest while the desk was asked.
        let target = target.filter(|(target, _)| cx.rests_until(target).is_none());
        if let Some((target, placed)) = target {
            log_choice(cx, admitted, &target, Reason::Placed, 0);
            return Some((target, Some(placed)));
        }
    }
    choose_here(cx, admitted, prepared, sends).map(|target| (target, None))
}

/// Engines that a desk isn't to name: those that failed the request, and those that want
/// nothing from this entry.
fn to_avoid(cx: &Traffic, admitted: &Admitted, sends: &Sends) -> Vec<Incarnation> {
    let resting = resting(cx, admitted, sends);
    let resting = resting.iter().map(|(target, _)| target.incarnation());
    sends.tried.iter().chain(resting).cloned().collect()
}

/// Targets of a request's service that want nothing from this entry now, and until when.
fn resting(cx: &Traffic, admitted: &Admitted, sends: &Sends) -> Vec<(Rc<Target>, Millis)> {
    if !cx.targets().anyone_rests(cx.clock.now()) {
        return Vec::new();
    }
    let name = &admitted.deployment.service(sends.service).name;
    let targets = cx.targets_named(name).into_iter();
    let resting = targets.filter_map(|target| {
        let until = cx.rests_until(&target)?;
        Some((target, until))
    });
    resting.collect()
}

/// What a request is told for which there is no target.
pub fn no_target(cx: &Traffic, admitted: &Admitted, sends: &Sends) -> Refusal {
    after_rests(cx, admitted, sends, sends.refusal(ErrorKind::NoTarget))
}

/// Has a caller come back once a target takes work again, where all of a service asked for
/// a rest; one that rests for long sends nobody away for as long.
pub fn after_rests(cx: &Traffic, admitted: &Admitted, sends: &Sends, refusal: Refusal) -> Refusal {
    let name = &admitted.deployment.service(sends.service).name;
    let resting = resting(cx, admitted, sends);
    let all_rest = resting.len() == cx.target_count(name);
    let first = resting.into_iter().map(|(_, until)| until).min();
    match first.filter(|_| all_rest) {
        Some(until) => {
            let rest_ms = until.saturating_sub(cx.clock.now());
            refusal.come_back_after(Duration::from_millis(rest_ms))
        }
        None => refusal,
    }
}

/// The target that this entry chooses by what it knows itself.
fn choose_here(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &Sends,
) -> Option<Rc<Target>> {
    // A view newer than the request's may have dropped targets.
    cx.deployment()?;
    let name = &admitted.deployment.service(sends.service).name;
    let share = cold_share(cx, admitted);
    let untried: Vec<Rc<Target>> = cx
        .targets_named(name)
        .into_iter()
        .filter(|target| !sends.tried.contains(target.incarnation()))
        .filter(|target| cx.rests_until(target).is_none())
        .filter(|target| may_get_one(cx, target, share))
        .collect();
    let (at, reason) = match &admitted.caller.generation {
        Some(generation) => choose::engine(cx, generation, prepared, &untried)?,
        None => choose::plain(cx, &untried)?,
    };
    let target = untried[at].clone();
    target.sent_while_cold(cx.clock.now(), share);
    log_choice(cx, admitted, &target, reason, untried.len());
    Some(target)
}

/// False while a target is cold and has had this entry's share, or that share isn't
/// known yet since no list of entries came.
fn may_get_one(cx: &Traffic, target: &Target, share: f64) -> bool {
    if target.cold.get().is_none() {
        return true;
    }
    let place = cx.peers.place(cx);
    place.is_some_and(|place| target.may_get_one(cx.clock.now(), share, place))
}

/// This entry's part of what a cold target bears from all entries together.
fn cold_share(cx: &Traffic, admitted: &Admitted) -> f64 {
    let has_desk = admitted.caller.generation.is_some() && cx.has(Mechanism::Desk);
    let of_all = match has_desk {
        true => PAST_DESK_SHARE,
        false => WITHOUT_DESK_SHARE,
    };
    of_all / cx.peers.count() as f64
}

fn log_choice(
    cx: &Traffic,
    admitted: &Admitted,
    target: &Target,
    reason: Reason,
    candidates: usize,
) {
    cx.log.line(
        events::ROUTE,
        format_args!(
            "request={} target={} addr={} hall={} reason={} candidates={candidates} \
             in_flight={} left_ms={} view={}",
            admitted.caller.request_id,
            target.incarnation().id,
            target.record.addr,
            target.record.hall,
            reason.name(),
            target.in_flight.get(),
            admitted.until.saturating_since(Moment::now()).as_millis(),
            cx.view_number(),
        ),
    );
}
