//! Runs the stages that come before a request.
//!
//! A `Walk` goes through the graph of stages within the request's time; the
//! results of the last stages are what the request starts from ([`Prepared`]).

mod prepared;
mod walk;

use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_clock::Moment;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::Stage;
use hollowsail_stages::{StageGraph, StageSize};

use self::walk::Walk;
use super::admit::Admitted;
use super::choose;
use crate::answer::Refusal;
use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

pub use self::prepared::Prepared;

/// Bytes that are worth waiting for a worker in the right hall, and that keep a
/// late piece that starts from them from waiting behind others.
const LEAST_MOVED_BYTES: u64 = 100_000;
/// About what an engine needs before the first event of a typical prompt, in
/// milliseconds. Measured on calm days.
pub const ENGINE_MS: u64 = 250;

/// Runs all stages of a request until a moment; at once when it has none.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    until: Moment,
) -> Result<Prepared, Refusal> {
    let stages = &admitted.route().stages;
    if stages.is_empty() {
        return Ok(Prepared::default());
    }
    let pieces = &admitted.caller.pieces;
    let home_hall = choose::home_hall(cx, admitted, large_bytes(stages, pieces));
    let walk = Walk {
        cx,
        admitted,
        until,
        stages,
        graph: graph(cx, sizes(stages, pieces)),
        held: HashMap::new(),
        home_hall,
        remade: 0,
    };
    let limit = tokio::time::sleep_until(until.timer().into());
    tokio::select! {
        result = walk.run() => result,
        () = limit => Err(Refusal::new(
            ErrorKind::CannotFinish,
            "its time ended in its stages",
        )),
        () = cx.last_call.notified() => Err(Refusal::new(
            ErrorKind::Stopping,
            "this entry ends, and its stages have not",
        )),
    }
}

fn graph(cx: &Traffic, sizes: Vec<StageSize>) -> StageGraph {
    let graph = StageGraph::new(sizes);
    match cx.has(Mechanism::JointFinals) {
        true => graph,
        false => graph.with_separate_finals(),
    }
}

/// Bytes of a request's large results.
fn large_bytes(stages: &[Stage], pieces: &[u32]) -> u64 {
    stages
        .iter()
        .zip(pieces)
        .filter(|(stage, _)| stage.result_bytes >= LEAST_MOVED_BYTES)
        .map(|(stage, pieces)| stage.result_bytes * u64::from(*pieces))
        .sum()
}

/// Pieces of each stage as the request says; 0 where it says nothing.
fn sizes(stages: &[Stage], pieces: &[u32]) -> Vec<StageSize> {
    stages
        .iter()
        .enumerate()
        .map(|(at, stage)| StageSize {
            pieces: pieces.get(at).copied().unwrap_or(0) as usize,
            after: stage.after.clone(),
        })
        .collect()
}
