//! Judges before anything runs whether a request can be in time.
//!
//! Its stages, one after the other, each wait behind the pieces that go before
//! them. A request that would come too late is refused at once, truly not run,
//! with a time to come back that spreads those who do: begun, it would fill
//! batches and memory that others could be in time with.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::Moment;
use hollowsail_observe::ErrorKind;
use hollowsail_routing::{admit, longest_way, ServiceLoad, StageDemand, StageExpectation, Verdict};
use rand::Rng;

use super::admit::Admitted;
use super::prepare::ENGINE_MS;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

/// Time before its target latency by which a request has to be foreseen to end:
/// more urgent ones come after it and go before it. Much more refuses callers on calm days.
const MARGIN: Duration = Duration::from_millis(150);
/// Shortest time to come back.
const LEAST_AFTER: Duration = Duration::from_millis(250);
/// Part of the time that is left after which a caller comes back at the latest;
/// longer ones aren't heeded.
const MOST_AFTER_SHARE: f64 = 0.3;

/// A service of which no backlog is known.
const NOTHING_AHEAD: ServiceLoad = ServiceLoad {
    slots: 1.0,
    ahead: 0.0,
};

/// Refuses a request that is foreseen to come too late.
pub fn judge(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<(), Refusal> {
    if !cx.has(Mechanism::Forecast) {
        return Ok(());
    }
    let stages = &admitted.route().stages;
    let demands = stages
        .iter()
        .enumerate()
        .map(|(at, stage)| (stage.after.as_slice(), demand(cx, admitted, at)));
    let mut demands = longest_way(demands);
    let waits = |demand: &StageDemand| demand.load.wait_ms(demand.expected.typical_ms) > 0.0;
    if !demands.iter().any(waits) {
        return Ok(());
    }
    demands.push(engine());
    let left = admitted.due().saturating_since(Moment::now());
    let left = left.saturating_sub(MARGIN);
    match admit(left.as_millis() as u64, &demands, 0.0) {
        Verdict::Admit => Ok(()),
        Verdict::CannotFinish(needed_ms) => {
            let late = Duration::from_millis(needed_ms).saturating_sub(left);
            let detail = format!("it would need about {needed_ms} ms");
            let refusal = Refusal::new(ErrorKind::CannotFinish, detail);
            Err(refusal.come_back_after(come_back_after(admitted, late)))
        }
    }
}

/// When the backlog will be short enough, about; never beyond what the caller
/// heeds.
fn come_back_after(admitted: &Admitted, late: Duration) -> Duration {
    let most = admitted.remaining().mul_f64(MOST_AFTER_SHARE);
    let spread = rand::rng().random_range(1.0..1.5);
    (late + LEAST_AFTER)
        .mul_f64(spread)
        .min(most.max(LEAST_AFTER))
}

/// The engine's own time; its queue isn't known here.
fn engine() -> StageDemand {
    let expected = StageExpectation {
        fast_ms: ENGINE_MS / 2,
        typical_ms: ENGINE_MS,
        slow_ms: 2 * ENGINE_MS,
    };
    StageDemand {
        expected,
        load: NOTHING_AHEAD,
    }
}

/// What a stage of a request finds; `None` when it is left out or not known.
fn demand(cx: &Rc<Traffic>, admitted: &Admitted, at: usize) -> Option<StageDemand> {
    let pieces = admitted.caller.pieces.get(at).copied().unwrap_or(0);
    if pieces == 0 {
        return None;
    }
    let stage = &admitted.route().stages[at];
    let service = admitted.deployment.service(stage.service);
    let pool = service.stage_pool.as_ref()?;
    let in_call = (pieces as usize).min(pool.batch) as u32;
    let own_ms = (pool.call + pool.piece * in_call).as_millis() as u64;
    let load = cx
        .pools
        .load(cx, &service.name, &admitted.caller.request_id)
        .map(|load| ServiceLoad {
            slots: f64::from(load.slots),
            ahead: f64::from(load.ahead_of(admitted.urgency) + pieces - 1),
        });
    Some(StageDemand {
        expected: StageExpectation::fixed(own_ms),
        load: load.unwrap_or(NOTHING_AHEAD),
    })
}
