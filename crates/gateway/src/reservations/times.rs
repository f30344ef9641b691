//! Expected times of a request's stages.
//!
//! A stage is expected to take one call of half a batch, and its results are due one whole call
//! earlier for each later stage on the longest path. The owners of the queues and the order of
//! the pieces use the same due times.

use std::time::Duration;

use hollowsail_platform::deployment::{Deployment, Stage, StagePool};
use hollowsail_routing::Millis;
use hollowsail_stages::StageGraph;

/// Duration of one call with a full batch; 0 for a service without a pool.
pub fn whole_call_ms(deployment: &Deployment, stage: &Stage) -> Millis {
    call_ms(deployment, stage, |pool| pool.batch)
}

fn half_call_ms(deployment: &Deployment, stage: &Stage) -> Millis {
    call_ms(deployment, stage, |pool| pool.batch.div_ceil(2))
}

fn call_ms(deployment: &Deployment, stage: &Stage, pieces: impl Fn(&StagePool) -> usize) -> Millis {
    let pool = deployment.service(stage.service).stage_pool.as_ref();
    let time = pool.map_or(Duration::ZERO, |pool| {
        pool.call_time + pool.piece_time * pieces(pool) as u32
    });
    time.as_millis() as Millis
}

/// Expected time until each stage can start, by its longest path of earlier stages. `pieces`
/// has the number of pieces of each stage; a stage without pieces takes no time.
pub fn ready_in_ms(deployment: &Deployment, stages: &[Stage], pieces: &[u32]) -> Vec<Millis> {
    let mut ready: Vec<Millis> = Vec::with_capacity(stages.len());
    for stage in stages {
        let end = |&before: &usize| {
            let is_skipped = pieces.get(before).is_none_or(|pieces| *pieces == 0);
            let own = match is_skipped {
                true => 0,
                false => half_call_ms(deployment, &stages[before]),
            };
            ready[before] + own
        };
        let start = stage.after.iter().map(end).max().unwrap_or(0);
        ready.push(start);
    }
    ready
}

/// Time between the end of a stage and the start of the prefill, if every later stage takes a
/// whole call.
pub fn later_stages_ms(
    deployment: &Deployment,
    stages: &[Stage],
    graph: &StageGraph,
    stage: usize,
) -> Millis {
    graph.critical_path_ms_after(stage, &|later| whole_call_ms(deployment, &stages[later]))
}
