//! The stages of a request: queues its pieces, completes them in calls, and retains their
//! results as long as they are needed.

use hollowsail_stages::{GroupKey, Halls, PieceIndex, PieceOrder};

use super::super::model::KindModel;
use super::super::policy::ReservedTime;
use super::super::pool::{CallStart, CompletedPiece};
use super::{Event, Job, Request, RequestKey, RetainedResult, Waiting, World, ENGINE_MS};

/// Size from which the inputs of a piece count as large, in bytes; same as the daemon's value.
const LARGE_INPUT_BYTES: u64 = 100_000;
/// Group numbers reserved per request; kinds must not have more stages.
const GROUPS_PER_REQUEST: usize = 64;

impl World<'_> {
    /// Queues the pieces that are ready, or sends the request to an engine once all stages are
    /// complete.
    pub(super) fn advance(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        if request.graph.is_done() {
            self.send_to_engine(key);
            return;
        }
        let ready = request.graph.start_ready();
        for index in ready {
            self.enqueue_piece(key, index);
        }
        self.start_calls();
    }

    fn enqueue_piece(&mut self, key: RequestKey, index: PieceIndex) {
        let request = &self.requests[key];
        let stage = &self.kind(request.attempt).stages[index.stage];
        let job = Job {
            request: key,
            index,
            work: stage.work,
        };
        let order = self.piece_order(request, index);
        let entry = self.drawn(request.attempt).entry;
        let pool = stage.pool;
        let queue = self.pools[pool].queue_of(entry);
        let piece = self.pools[pool].push(queue, order, job, self.now);
        let waiting = Waiting { pool, queue, piece };
        self.requests[key].waiting.insert(index, waiting);
    }

    /// Attributes that determine a piece's position in its queue.
    fn piece_order(&self, request: &Request, index: PieceIndex) -> PieceOrder {
        let kind = self.kind(request.attempt);
        let stage = &kind.stages[index.stage];
        let retained = request.retained.iter();
        let inputs = retained.filter(|(input, _)| stage.after.contains(&input.stage));
        let input_bytes: u64 = inputs.map(|(_, result)| result.bytes).sum();
        let later = |stage| self.reserved_ms(kind, stage);
        let reserved_ms = request.graph.critical_path_ms_after(index.stage, &later);
        PieceOrder {
            priority: kind.priority,
            due: (request.requested_at + kind.target_ms).saturating_sub(ENGINE_MS + reserved_ms),
            expires: request.requested_at + kind.deadline_ms,
            result_bytes: stage.result_bytes,
            group: GroupKey((request.attempt.drawn * GROUPS_PER_REQUEST + index.stage) as u64),
            has_large_inputs: self.policy.holders_first && input_bytes >= LARGE_INPUT_BYTES,
            hall: None,
            halls: Halls::ALL,
        }
    }

    /// Time reserved for a later stage, in milliseconds.
    fn reserved_ms(&self, kind: &KindModel, stage: usize) -> u64 {
        let pool = &self.day.pools[kind.stages[stage].pool];
        match self.policy.reserved {
            ReservedTime::Ms(ms) => ms,
            ReservedTime::Calls(calls) => (pool.expected_ms(pool.batch) * calls) as u64,
        }
    }

    /// Starts every call that can start now.
    pub(super) fn start_calls(&mut self) {
        for pool in 0..self.pools.len() {
            let started_calls = self.pools[pool].start_calls(self.now);
            for call in started_calls {
                self.schedule_end(pool, call);
            }
        }
    }

    fn schedule_end(&mut self, pool: usize, call: CallStart) {
        let worker = call.worker;
        self.schedule(call.ends_at, Event::CallEnd { pool, worker });
    }

    /// Ends a call and advances the requests whose pieces it completed.
    pub(super) fn end_call(&mut self, pool: usize, worker: usize) {
        let (completed, next) = self.pools[pool].end_call(worker, self.now);
        self.report.calls += 1;
        self.report.pieces += completed.len() as u32;
        if let Some(call) = next {
            self.schedule_end(pool, call);
        }
        let mut changed: Vec<RequestKey> = Vec::new();
        for piece in completed {
            let key = piece.job.request;
            self.store_result(pool, piece);
            if !changed.contains(&key) {
                changed.push(key);
            }
        }
        changed.into_iter().for_each(|key| self.advance(key));
        self.start_calls();
    }

    /// Retains the result of a piece and releases results that are no longer needed.
    fn store_result(&mut self, pool: usize, piece: CompletedPiece<Job>) {
        self.handles += 1;
        let handle = self.handles.to_string();
        let request = &mut self.requests[piece.job.request];
        request.waiting.remove(&piece.job.index);
        request.graph.complete(piece.job.index, handle.clone());
        let result = RetainedResult {
            pool,
            queue: piece.queue,
            worker: piece.worker,
            bytes: piece.bytes,
            handle,
        };
        request.retained.insert(piece.job.index, result);
        let consumed = request.graph.take_consumed();
        let released: Vec<RetainedResult> = request
            .retained
            .extract_if(|_, result| consumed.contains(&result.handle))
            .map(|(_, result)| result)
            .collect();
        released.iter().for_each(|result| self.release(result));
    }

    /// Releases a result at its worker.
    pub(super) fn release(&mut self, result: &RetainedResult) {
        self.pools[result.pool].release_result(result.queue, result.worker, result.bytes);
    }
}
