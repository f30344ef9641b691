//! Runs the stages of a request before it is sent to a target.
//!
//! A [`StageRun`] executes the graph of stages within the request's time; the results of the final
//! stages are the inputs of the request ([`Prepared`]).

mod prepared;
mod stage_run;

use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_clock::BootInstant;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::Stage;
use hollowsail_routing::Millis;
use hollowsail_stages::{StageGraph, StageSpec};

use self::stage_run::StageRun;
use super::admit::Admitted;
use super::choose;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::reservations::{times, ReservedRoom};
use crate::stop;
use crate::traffic::Traffic;

pub use self::prepared::Prepared;

/// Results of at least this many bytes count as large: they are worth waiting for a worker in the
/// preferred hall. A late piece with inputs of this size doesn't wait behind others.
const LARGE_RESULT_BYTES: u64 = 100_000;
/// Time of an engine to the first event of a typical prompt, in milliseconds. Measured under light
/// load.
pub const FIRST_EVENT_MS: u64 = 250;

/// Runs all stages of a request. Refuses it when they are not completed by `deadline`.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    room: &ReservedRoom,
    deadline: BootInstant,
) -> Result<Prepared, Refusal> {
    let stages = &admitted.route().stages;
    if stages.is_empty() {
        return Ok(Prepared::default());
    }
    let pieces = &admitted.caller.pieces;
    let home_hall = choose::home_hall(cx, admitted, large_bytes(stages, pieces));
    let run = StageRun {
        cx,
        admitted,
        room,
        deadline,
        stages,
        graph: stage_graph(cx, admitted),
        retained: HashMap::new(),
        home_hall,
        failed_pieces: 0,
        permits: HashMap::new(),
    };
    let timeout = tokio::time::sleep_until(deadline.to_instant().into());
    tokio::select! {
        result = run.run() => result,
        () = timeout => Err(Refusal::new(
            ErrorKind::CannotFinish,
            "the stages were not completed before their deadline",
        )),
        () = cx.final_shutdown.wait() => {
            Err(stop::refusal("this entry stopped before the stages completed"))
        }
    }
}

/// The stages of a request, none of them started.
pub fn stage_graph(cx: &Traffic, admitted: &Admitted) -> StageGraph {
    let graph = StageGraph::new(sizes(&admitted.route().stages, &admitted.caller.pieces));
    match cx.has(Mechanism::JointFinals) {
        true => graph,
        false => graph.with_independent_final_stages(),
    }
}

/// Time by which the results of a stage are due if its capacity is reserved: in time for the
/// later stages and the prefill.
pub fn stage_due(cx: &Traffic, admitted: &Admitted, graph: &StageGraph, stage: usize) -> Millis {
    let stages = &admitted.route().stages;
    let later_ms = times::later_stages_ms(&admitted.deployment, stages, graph, stage);
    let reserve = prefill_ms(cx, admitted) + later_ms;
    cx.clock.millis_at(admitted.due()).saturating_sub(reserve)
}

/// Time reserved for prefill, in milliseconds. Capped at half of the target latency, so that
/// pieces of long prompts are not overdue from the start.
fn prefill_ms(cx: &Traffic, admitted: &Admitted) -> Millis {
    let max_time = admitted.route().target_latency / 2;
    let Some((service, _)) = admitted.route().services.first() else {
        return 0;
    };
    if !cx.has(Mechanism::PrefillTimes) {
        return FIRST_EVENT_MS;
    }
    let unshared_tokens = admitted.unshared_tokens();
    let expected = cx.prefill_time(&admitted.deployment, *service, unshared_tokens);
    expected.min(max_time).as_millis() as Millis
}

/// Total bytes of a request's large results.
fn large_bytes(stages: &[Stage], pieces: &[u32]) -> u64 {
    stages
        .iter()
        .zip(pieces)
        .filter(|(stage, _)| stage.result_bytes >= LARGE_RESULT_BYTES)
        .map(|(stage, pieces)| stage.result_bytes * u64::from(*pieces))
        .sum()
}

/// Number of pieces of each stage; 0 where the request gives none.
fn sizes(stages: &[Stage], pieces: &[u32]) -> Vec<StageSpec> {
    stages
        .iter()
        .enumerate()
        .map(|(index, stage)| StageSpec {
            pieces: pieces.get(index).copied().unwrap_or(0) as usize,
            after: stage.after.clone(),
        })
        .collect()
}
