//! Executes the stage graph of one request.
//!
//! Sends the pieces that are ready to the pools, collects their results, releases those that are
//! no longer needed, and repeats pieces whose inputs were lost.

use std::collections::HashMap;
use std::rc::Rc;

use futures_util::stream::{FuturesUnordered, StreamExt};
use hollowsail_clock::BootInstant;
use hollowsail_observe::text::Field;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::Stage;
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_routing::repeats::{RepeatReason, SendPermit};
use hollowsail_routing::Millis;
use hollowsail_stages::{PieceIndex, StageGraph};

use super::{prefill_ms, stage_due, Prepared, LARGE_RESULT_BYTES};
use crate::answer::Refusal;
use crate::pools::{PieceOutcome, PieceRequest, RetainedResult};
use crate::repeats::Repeat;
use crate::request::admit::Admitted;
use crate::request::unservable;
use crate::reservations::ReservedRoom;
use crate::traffic::Traffic;

/// Maximum number of failed pieces of a request after which lost inputs are still reproduced.
const MAX_FAILED_PIECES: usize = 40;
/// Minimum time of a later stage, in milliseconds: a piece expires when it leaves less.
const MIN_STAGE_MS: u64 = 150;
/// Expected time of a stage, in full calls: its own and the rest of the call before it. With less,
/// pieces end in time whose requests are late.
const CALLS_PER_STAGE: f64 = 1.5;

/// The stages of one request in execution.
pub(super) struct StageRun<'a> {
    pub cx: &'a Rc<Traffic>,
    pub admitted: &'a Rc<Admitted>,
    /// Capacity reserved for the stages.
    pub room: &'a ReservedRoom,
    /// Time at which the stages are cancelled.
    pub deadline: BootInstant,
    pub stages: &'a [Stage],
    pub graph: StageGraph,
    pub retained: HashMap<PieceIndex, RetainedResult>,
    /// Hall of the engine, if it is chosen before the stages run.
    pub home_hall: Option<String>,
    /// Number of failed pieces so far.
    pub failed_pieces: usize,
    /// Permits to send pieces again.
    pub permits: HashMap<PieceIndex, SendPermit>,
}

impl StageRun<'_> {
    /// Produces all pieces, or refuses the request when one can't be produced.
    pub async fn run(mut self) -> Result<Prepared, Refusal> {
        let mut running = FuturesUnordered::new();
        loop {
            for index in self.graph.start_ready() {
                self.room.begin(index.stage);
                let permit = self.take_permit(index)?;
                running.push(produce(
                    self.cx,
                    self.admitted,
                    index,
                    self.piece_request(index),
                    permit,
                ));
            }
            if self.graph.is_done() {
                return Ok(self.finish());
            }
            match running.next().await {
                Some(finished) => self.on_piece_finished(finished)?,
                None => {
                    return Err(Refusal::new(
                        ErrorKind::StageFailed,
                        "no stage can make progress",
                    ))
                }
            }
        }
    }

    /// The request to the pools for a piece.
    fn piece_request(&self, index: PieceIndex) -> PieceRequest {
        let deadline = self.cx.clock.millis_at(self.deadline);
        PieceRequest {
            piece: self.piece(index),
            request: self.admitted.digest(),
            priority: self.admitted.urgency,
            due: self.due(index.stage),
            expires: deadline.saturating_sub(
                self.graph
                    .critical_path_ms_after(index.stage, &|_| MIN_STAGE_MS),
            ),
            deadline,
            result_bytes: self.stages[index.stage].result_bytes,
            has_large_inputs: self.input_bytes(index) >= LARGE_RESULT_BYTES,
            hall: self.preferred_hall(index),
            halls: self.admitted.halls.clone(),
        }
    }

    /// Time by which the results of a stage are due; the owner reserved for the same time.
    fn due(&self, stage: usize) -> Millis {
        if self.room.has(stage) {
            return stage_due(self.cx, self.admitted, &self.graph, stage);
        }
        let later_ms = |later| self.stage_ms(later);
        let reserve = prefill_ms(self.cx, self.admitted)
            + self.graph.critical_path_ms_after(stage, &later_ms);
        let due = self.cx.clock.millis_at(self.admitted.due());
        due.saturating_sub(reserve)
    }

    /// Expected time of a stage without a reservation, in milliseconds.
    fn stage_ms(&self, stage: usize) -> u64 {
        let service = self.admitted.deployment.service(self.stages[stage].service);
        service.stage_pool.as_ref().map_or(0, |pool| {
            let whole_call = pool.call_time + pool.piece_time * pool.batch as u32;
            whole_call.mul_f64(CALLS_PER_STAGE).as_millis() as u64
        })
    }

    /// The piece; only one without inputs has a key.
    fn piece(&self, index: PieceIndex) -> Piece {
        let inputs = self.graph.inputs_of(index.stage);
        let piece_key = self.admitted.caller.piece_key.clone();
        Piece {
            request_id: self.admitted.caller.request_id.clone(),
            stage: index.stage as u16,
            piece: index.piece as u32,
            piece_key: piece_key.filter(|_| inputs.is_empty()),
            inputs,
        }
    }

    /// Total bytes of a piece's inputs.
    fn input_bytes(&self, index: PieceIndex) -> u64 {
        self.inputs(index).map(|result| result.bytes).sum()
    }

    /// The retained results that are inputs of a piece.
    fn inputs(&self, index: PieceIndex) -> impl Iterator<Item = &RetainedResult> {
        let needed = &self.stages[index.stage].after;
        let retained = self.retained.iter();
        retained
            .filter(|(index, _)| needed.contains(&index.stage))
            .map(|(_, result)| result)
    }

    /// Preferred hall of a piece: that of its inputs, or that of the engine; `None` when little
    /// data is moved.
    fn preferred_hall(&self, index: PieceIndex) -> Option<String> {
        if self.input_bytes(index) >= LARGE_RESULT_BYTES {
            let bytes_in = |hall: &str| -> u64 {
                let in_hall = self.inputs(index).filter(|result| result.hall() == hall);
                in_hall.map(|result| result.bytes).sum()
            };
            let largest = self
                .inputs(index)
                .max_by_key(|result| bytes_in(result.hall()));
            return largest.map(|result| result.hall().to_string());
        }
        self.home_hall
            .clone()
            .filter(|_| self.stages[index.stage].result_bytes >= LARGE_RESULT_BYTES)
    }

    /// Handles a finished piece, and releases results that nothing needs any more.
    fn on_piece_finished(&mut self, finished: FinishedPiece) -> Result<(), Refusal> {
        let result = match finished.end {
            Ok(result) => result,
            Err(failure) => return self.on_piece_failed(finished.index, &finished.inputs, failure),
        };
        self.graph
            .complete(finished.index, result.handle().to_string());
        let worker = result.producer().to_string();
        self.retained.insert(finished.index, result);
        if self.graph.is_complete(finished.index.stage) {
            self.log_stage_completed(finished.index.stage, &worker);
        }
        for unneeded in self.graph.take_consumed() {
            self.retained
                .retain(|_, result| result.handle() != unneeded);
        }
        Ok(())
    }

    fn log_stage_completed(&self, stage: usize, last_worker: &str) {
        let service = self.stages[stage].service;
        self.cx.log.line(
            events::STAGE_MADE,
            format_args!(
                "request={} stage={stage} service={} pieces={} last_maker={} ms={}",
                Field(&self.admitted.caller.request_id),
                Field(&self.admitted.deployment.service(service).name),
                self.admitted.caller.pieces.get(stage).copied().unwrap_or(0),
                Field(&last_worker),
                self.admitted.arrived.elapsed().as_millis()
            ),
        );
    }

    /// Handles a failed piece: repeats it, or refuses the request.
    fn on_piece_failed(
        &mut self,
        index: PieceIndex,
        inputs: &[String],
        failure: PieceFailure,
    ) -> Result<(), Refusal> {
        self.failed_pieces += 1;
        unservable::check_crashes(self.cx, self.admitted)?;
        match failure {
            PieceFailure::InputGone if self.failed_pieces <= MAX_FAILED_PIECES => {
                // The failure doesn't say which input is gone, so all are reproduced.
                self.graph.reset(index);
                for input in self.graph.reset_inputs(index.stage, inputs) {
                    self.retained.remove(&input);
                    self.permit_later(input, RepeatReason::InputGone)?;
                }
                self.permit_later(index, RepeatReason::InputGone)
            }
            // Its owner may not have it sent again.
            PieceFailure::NoRoom if self.failed_pieces <= MAX_FAILED_PIECES => {
                self.graph.reset(index);
                self.permit_later(index, RepeatReason::PieceFailed)
            }
            PieceFailure::Late => Err(Refusal::new(
                ErrorKind::CannotFinish,
                format!("stage {} was not completed in time", index.stage),
            )),
            _ => Err(Refusal::new(
                ErrorKind::StageFailed,
                format!("stage {} failed: {failure:?}", index.stage),
            )),
        }
    }

    /// The permit for the next send of a piece: its first one, one that was granted after it failed,
    /// or one for a repeat of what an earlier run of the stages had produced.
    fn take_permit(&mut self, index: PieceIndex) -> Result<SendPermit, Refusal> {
        let first = self
            .admitted
            .first_permit_of_piece(self.cx.clock.now(), index);
        match first.or_else(|| self.permits.remove(&index)) {
            Some(permit) => Ok(permit),
            None => self.permit_repeat(index, RepeatReason::InputGone),
        }
    }

    /// Permits a piece to be sent again when it is ready, or refuses the request.
    fn permit_later(&mut self, index: PieceIndex, reason: RepeatReason) -> Result<(), Refusal> {
        let permit = self.permit_repeat(index, reason)?;
        self.permits.insert(index, permit);
        Ok(())
    }

    /// Permits a piece to be sent again, or refuses the request.
    fn permit_repeat(
        &self,
        index: PieceIndex,
        reason: RepeatReason,
    ) -> Result<SendPermit, Refusal> {
        let service = self.stages[index.stage].service;
        let permit = self.cx.permit_repeat(&Repeat {
            service: &self.admitted.deployment.service(service).name,
            request: &self.admitted.caller.request_id,
            piece: Some((index.stage as u16, index.piece as u32)),
            work: &self.admitted.work_of_piece(index),
            reason,
        });
        permit.ok_or_else(|| self.no_repeat(index))
    }

    fn no_repeat(&self, index: PieceIndex) -> Refusal {
        Refusal::new(
            ErrorKind::StageFailed,
            format!(
                "stage {} failed, and its service gets no more repeats now",
                index.stage
            ),
        )
    }

    fn finish(self) -> Prepared {
        let inputs = self.graph.final_inputs();
        let is_input =
            |result: &RetainedResult| inputs.iter().any(|input| input == result.handle());
        let results = self.retained.into_values().filter(is_input).collect();
        Prepared { inputs, results }
    }
}

/// Outcome of one piece, with the handles of its inputs.
struct FinishedPiece {
    index: PieceIndex,
    inputs: Vec<String>,
    end: PieceOutcome,
}

async fn produce(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    index: PieceIndex,
    piece_request: PieceRequest,
    permit: SendPermit,
) -> FinishedPiece {
    let inputs = piece_request.piece.inputs.clone();
    let service = admitted.route().stages[index.stage].service;
    let end = cx
        .pools
        .produce(cx, &admitted.deployment, service, piece_request, permit)
        .await;
    FinishedPiece { index, inputs, end }
}
