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
use hollowsail_stages::{StageGraph, StageSpec};

use self::stage_run::StageRun;
use super::admit::Admitted;
use super::choose;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

pub use self::prepared::Prepared;

/// Results of at least this many bytes count as large: they are worth waiting for a worker in the
/// preferred hall.
const LARGE_RESULT_BYTES: u64 = 100_000;
/// Time of an engine to the first event of a typical prompt, in milliseconds.
pub const FIRST_EVENT_MS: u64 = 250;

/// Runs all stages of a request. Refuses it when they are not completed by `deadline`.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
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
        deadline,
        stages,
        graph: graph(cx, sizes(stages, pieces)),
        retained: HashMap::new(),
        home_hall,
        failed_pieces: 0,
    };
    let timeout = tokio::time::sleep_until(deadline.to_instant().into());
    tokio::select! {
        result = run.run() => result,
        () = timeout => Err(Refusal::new(
            ErrorKind::CannotFinish,
            "the stages were not completed before their deadline",
        )),
        () = cx.final_shutdown.notified() => Err(Refusal::new(
            ErrorKind::Stopping,
            "this entry stopped before the stages completed",
        )),
    }
}

fn graph(cx: &Traffic, sizes: Vec<StageSpec>) -> StageGraph {
    let graph = StageGraph::new(sizes);
    match cx.has(Mechanism::JointFinals) {
        true => graph,
        false => graph.with_independent_final_stages(),
    }
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
