//! Runs the stages that come before a request.

use std::collections::HashMap;
use std::rc::Rc;

use futures_util::stream::{FuturesUnordered, StreamExt};
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::Stage;
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_stages::{PieceAt, PieceOrder, StageGraph, StageSize};

use super::admit::Admitted;
use crate::answer::Refusal;
use crate::pools::{Batcher, HeldResult, PieceEnd};
use crate::traffic::Traffic;

/// Pieces of one request that are made again after their inputs were lost.
const MOST_REMADE: usize = 40;
/// About what the engine needs before its first event, in milliseconds; keeps
/// pieces that feed it ahead of those with more time. Measured on calm days.
const ENGINE_MS: u64 = 250;
/// About what a stage takes, in milliseconds, for the same purpose.
const STAGE_MS: u64 = 250;

/// Results that a request starts from; given up when dropped.
#[derive(Default)]
pub struct Prepared {
    pub inputs: Vec<String>,
    results: Vec<HeldResult>,
}

impl Prepared {
    /// Data hall of the largest result, if there is any.
    pub fn hall(&self) -> Option<String> {
        self.results
            .iter()
            .max_by_key(|result| result.bytes())
            .and_then(HeldResult::hall)
    }

    /// Size of the largest result.
    pub fn largest_bytes(&self) -> u64 {
        self.results
            .iter()
            .map(HeldResult::bytes)
            .max()
            .unwrap_or(0)
    }
}

/// Runs all stages of a request; at once when it has none.
pub async fn run(cx: &Rc<Traffic>, admitted: &Rc<Admitted>) -> Result<Prepared, Refusal> {
    let stages = &admitted.route().stages;
    if stages.is_empty() {
        return Ok(Prepared::default());
    }
    let walk = Walk {
        cx,
        admitted,
        stages,
        graph: StageGraph::new(sizes(stages, &admitted.caller.pieces)),
        held: HashMap::new(),
        remade: 0,
    };
    match tokio::time::timeout_at(admitted.until.into(), walk.run()).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::new(
            ErrorKind::CannotFinish,
            "its time ended in its stages",
        )),
    }
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

struct Walk<'a> {
    cx: &'a Rc<Traffic>,
    admitted: &'a Rc<Admitted>,
    stages: &'a [Stage],
    graph: StageGraph,
    held: HashMap<PieceAt, HeldResult>,
    remade: usize,
}

impl Walk<'_> {
    async fn run(mut self) -> Result<Prepared, Refusal> {
        let mut running = FuturesUnordered::new();
        loop {
            for at in self.graph.start_ready() {
                let (batcher, piece, order) = self.job(at)?;
                running.push(make(at, batcher, piece, order));
            }
            if self.graph.is_done() {
                return Ok(self.finish());
            }
            match running.next().await {
                Some(made) => self.take(made)?,
                None => return Err(Refusal::new(ErrorKind::StageFailed, "no stage can go on")),
            }
        }
    }

    fn job(&self, at: PieceAt) -> Result<(Rc<Batcher>, Piece, PieceOrder), Refusal> {
        let stage = &self.stages[at.stage];
        let deployment = &self.admitted.deployment;
        let batcher = self
            .cx
            .pools
            .of(self.cx, deployment, stage.service)
            .ok_or_else(|| {
                Refusal::new(ErrorKind::NoTarget, "a stage's service makes no pieces")
            })?;
        let inputs = self.graph.inputs_of(at.stage);
        let piece_key = self.admitted.caller.piece_key.clone();
        let piece = Piece {
            request_id: self.admitted.caller.request_id.clone(),
            stage: at.stage as u16,
            piece: at.piece as u32,
            remaining_ms: self.admitted.remaining().as_millis() as u64,
            piece_key: piece_key.filter(|_| inputs.is_empty()),
            inputs,
        };
        Ok((batcher, piece, self.order(at.stage)))
    }

    /// Urgency of a stage's pieces: due early enough for what comes after.
    fn order(&self, stage: usize) -> PieceOrder {
        let clock = &self.cx.clock;
        let later = self.graph.depth_after(stage) as u64 - 1;
        let reserve = ENGINE_MS + later * STAGE_MS;
        PieceOrder {
            priority: self.admitted.priority,
            due: clock.millis_at(self.admitted.due()).saturating_sub(reserve),
            expires: clock.millis_at(self.admitted.until),
            result_bytes: self.stages[stage].result_bytes,
        }
    }

    fn take(&mut self, made: MadePiece) -> Result<(), Refusal> {
        let result = match made.end {
            Ok(result) => result,
            Err(failure) => return self.failed(made.at, &made.inputs, failure),
        };
        self.graph.made(made.at, result.handle.clone());
        self.held.insert(made.at, result);
        for spent in self.graph.take_spent() {
            self.held.retain(|_, result| result.handle != spent);
        }
        Ok(())
    }

    /// Decides what follows from a piece that wasn't made.
    fn failed(
        &mut self,
        at: PieceAt,
        inputs: &[String],
        failure: PieceFailure,
    ) -> Result<(), Refusal> {
        self.remade += 1;
        match failure {
            PieceFailure::InputGone if self.remade <= MOST_REMADE => {
                // Which of them is gone isn't told: all are made again.
                self.graph.lose(at);
                for lost in self.graph.lose_inputs(at.stage, inputs) {
                    self.held.remove(&lost);
                }
                Ok(())
            }
            PieceFailure::Late => Err(Refusal::new(
                ErrorKind::CannotFinish,
                format!("stage {} came too late", at.stage),
            )),
            _ => Err(Refusal::new(
                ErrorKind::StageFailed,
                format!("stage {} failed: {failure:?}", at.stage),
            )),
        }
    }

    fn finish(self) -> Prepared {
        let inputs = self.graph.final_inputs();
        let is_input = |result: &HeldResult| inputs.contains(&result.handle);
        let results = self.held.into_values().filter(is_input).collect();
        Prepared { inputs, results }
    }
}

/// How one piece ended, and the results that it was to start from.
struct MadePiece {
    at: PieceAt,
    inputs: Vec<String>,
    end: PieceEnd,
}

async fn make(at: PieceAt, batcher: Rc<Batcher>, piece: Piece, order: PieceOrder) -> MadePiece {
    let inputs = piece.inputs.clone();
    let end = batcher.make(piece, order).await;
    MadePiece { at, inputs, end }
}
