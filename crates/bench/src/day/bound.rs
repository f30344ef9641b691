//! Upper bound of the credit that any policy can reach on a day.
//!
//! Pools are modelled as fluids: each piece costs its share of a full call. A request that
//! can't meet its target behind the backlog is dropped without cost. Call boundaries, memory
//! and engine queues are ignored.

use super::draw::DrawnRequest;
use super::model::{DayModel, StageModel};

/// Upper bound of the day's credit as a share of the possible credit, 0 to 1.
pub fn credit(day: &DayModel, requests: &[DrawnRequest]) -> f64 {
    let mut backlog_ms = vec![0.0f64; day.pools.len()];
    let mut last_at = 0;
    let (mut credit, mut possible) = (0.0, 0.0);
    for request in requests {
        let elapsed_ms = (request.at_ms - last_at) as f64;
        last_at = request.at_ms;
        for (pool, backlog) in day.pools.iter().zip(&mut backlog_ms) {
            *backlog = (*backlog - elapsed_ms * pool.workers as f64).max(0.0);
        }
        let kind = &day.kinds[request.kind];
        possible += kind.worth;
        let needed = needed_ms(day, request, &backlog_ms);
        if needed > kind.target_ms as f64 {
            continue;
        }
        credit += kind.worth;
        for (stage, &pieces) in kind.stages.iter().zip(&request.pieces) {
            backlog_ms[stage.pool] += work_ms(day, stage, pieces);
        }
    }
    credit / possible.max(f64::MIN_POSITIVE)
}

/// Worker time of pieces of a stage in full batches, in milliseconds.
fn work_ms(day: &DayModel, stage: &StageModel, pieces: usize) -> f64 {
    let pool = &day.pools[stage.pool];
    let each = pool.call_ms / pool.batch as f64 + pool.piece_ms * stage.work;
    each * pieces as f64
}

/// Time to the first event, in milliseconds: the critical path through the stages behind the
/// backlogs, and the prefill of the request's own tokens.
fn needed_ms(day: &DayModel, request: &DrawnRequest, backlog_ms: &[f64]) -> f64 {
    let kind = &day.kinds[request.kind];
    let mut done: Vec<f64> = Vec::with_capacity(kind.stages.len());
    for (stage, &pieces) in kind.stages.iter().zip(&request.pieces) {
        let before = stage
            .after
            .iter()
            .map(|&index| done[index])
            .fold(0.0, f64::max);
        let pool = &day.pools[stage.pool];
        let own = match pieces {
            0 => 0.0,
            _ => {
                let wait = backlog_ms[stage.pool] / pool.workers as f64;
                let in_call = pieces.min(pool.batch) as f64;
                wait + pool.call_ms + pool.piece_ms * stage.work * in_call
            }
        };
        done.push(before + own);
    }
    let stages = done.into_iter().fold(0.0, f64::max);
    stages + request.own_tokens as f64 / day.engines.tokens_per_ms + day.engines.event_ms
}
