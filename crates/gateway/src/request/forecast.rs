//! Refuses requests that would miss their target latency, before any of their work starts.
//!
//! The forecast adds up the expected time and queueing of the stages on the critical path. A late
//! request would use batches and memory that others could use in time. Retry-After is randomised
//! to spread the retries.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::ErrorKind;
use hollowsail_routing::{
    admit, critical_path, ServiceLoad, StageDemand, StageExpectation, Verdict,
};
use rand::Rng;

use super::admit::Admitted;
use super::prepare::FIRST_EVENT_MS;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::reservations::ReservedRoom;
use crate::traffic::Traffic;

/// How long before the target latency a request has to be forecast to end, because more urgent
/// requests may still overtake it. A much larger margin refuses callers under light load.
const LATENCY_MARGIN: Duration = Duration::from_millis(150);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum Retry-After as a share of the remaining time; callers ignore longer delays.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Load of a service without a known backlog.
const NO_BACKLOG: ServiceLoad = ServiceLoad {
    slots: 1.0,
    ahead: 0.0,
};

/// Refuses a request that is forecast to miss its target latency. Stages with reserved capacity
/// don't wait.
pub fn check(cx: &Rc<Traffic>, admitted: &Admitted, room: &ReservedRoom) -> Result<(), Refusal> {
    if !cx.has(Mechanism::Forecast) {
        return Ok(());
    }
    let stages = &admitted.route().stages;
    let demands = stages.iter().enumerate().map(|(index, stage)| {
        (
            stage.after.as_slice(),
            stage_demand(cx, admitted, room, index),
        )
    });
    let mut demands = critical_path(demands);
    let has_backlog = |demand: &StageDemand| demand.load.wait_ms(demand.expected.typical_ms) > 0.0;
    if !demands.iter().any(has_backlog) {
        return Ok(());
    }
    demands.push(engine_demand());
    let time_left = admitted.due().saturating_since(BootInstant::now());
    let time_left = time_left.saturating_sub(LATENCY_MARGIN);
    match admit(time_left.as_millis() as u64, &demands, 0.0) {
        Verdict::Admit => Ok(()),
        Verdict::CannotFinish(needed_ms) => {
            let overdue = Duration::from_millis(needed_ms).saturating_sub(time_left);
            let detail = format!("the request would need about {needed_ms} ms");
            let refusal = Refusal::new(ErrorKind::CannotFinish, detail);
            Err(refusal.with_retry_after(retry_after(admitted, overdue)))
        }
    }
}

/// Longest Retry-After that the caller honours.
pub fn max_return(admitted: &Admitted) -> Duration {
    admitted.remaining().mul_f64(MAX_RETRY_AFTER_SHARE)
}

/// Estimated delay until the backlog is short enough, within the caller's maximum.
fn retry_after(admitted: &Admitted, overdue: Duration) -> Duration {
    let max_delay = max_return(admitted);
    let spread = rand::rng().random_range(1.0..1.5);
    (overdue + MIN_RETRY_AFTER)
        .mul_f64(spread)
        .min(max_delay.max(MIN_RETRY_AFTER))
}

/// Expected demand on the engine; its queue is not known here.
fn engine_demand() -> StageDemand {
    let expected = StageExpectation {
        fast_ms: FIRST_EVENT_MS / 2,
        typical_ms: FIRST_EVENT_MS,
        slow_ms: 2 * FIRST_EVENT_MS,
    };
    StageDemand {
        expected,
        load: NO_BACKLOG,
    }
}

/// Demand and backlog of a stage; `None` when the request skips it or it has no pool.
fn stage_demand(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    room: &ReservedRoom,
    index: usize,
) -> Option<StageDemand> {
    let pieces = admitted.pieces_of(index);
    if pieces == 0 {
        return None;
    }
    let stage = &admitted.route().stages[index];
    let service = admitted.deployment.service(stage.service);
    let pool = service.stage_pool.as_ref()?;
    let pieces_per_call = (pieces as usize).min(pool.batch) as u32;
    let own_ms = (pool.call_time + pool.piece_time * pieces_per_call).as_millis() as u64;
    let load = cx
        .pools
        .load(cx, &service.name, &admitted.caller.request_id)
        .filter(|_| !room.has(index))
        .map(|load| ServiceLoad {
            slots: f64::from(load.slots),
            ahead: f64::from(load.ahead_of(admitted.urgency) + pieces - 1),
        });
    Some(StageDemand {
        expected: StageExpectation::fixed(own_ms),
        load: load.unwrap_or(NO_BACKLOG),
    })
}
