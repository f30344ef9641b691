//! Starts and ends calls to workers. A call that exceeds its time limit returns its pieces
//! to the queue, so that another worker can take them in the meantime.

use super::{BatchQueue, CallEnd, CallKey, PieceKey, StartedCall, StartedPiece, WorkerKey};
use crate::Millis;

/// A call is overdue after `expected * OVERDUE_FACTOR + OVERDUE_SLACK_MS`.
const OVERDUE_FACTOR: f64 = 1.8;
/// Allows for a short delay of the worker's host.
const OVERDUE_SLACK_MS: f64 = 80.0;

/// A call in progress.
#[derive(Debug)]
pub(super) struct Call {
    pub worker: WorkerKey,
    pub pieces: Vec<StartedPiece>,
    pub started: Millis,
    /// Expected duration at this worker.
    pub expected_ms: f64,
    /// Expected duration at a worker of the usual speed.
    pub usual_ms: f64,
    /// Its pieces were queued again for other workers.
    pub overdue: bool,
    /// Slowness of its worker when it started.
    pub slowness_before: f64,
}

impl Call {
    /// Duration after which the call is overdue, in milliseconds. A worker that was faster than
    /// usual may become usual during the call.
    fn limit_ms(&self) -> f64 {
        self.expected_ms.max(self.usual_ms) * OVERDUE_FACTOR + OVERDUE_SLACK_MS
    }
}

impl<T> BatchQueue<T> {
    /// Workers with a call in progress.
    pub fn busy_workers(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.calls.values().map(|call| call.worker)
    }

    /// Number of calls in progress.
    pub fn running(&self) -> usize {
        self.calls.len()
    }

    /// Starts the next call, if a worker is free and a piece is waiting.
    pub fn next_call(&mut self, now: Millis) -> Option<StartedCall> {
        if self.waiting.is_empty() {
            self.calibrate(false, now);
            return None;
        }
        let free = self.free_workers(now);
        if free.is_empty() {
            self.calibrate(true, now);
            return None;
        }
        self.update_order(now);
        let Some((worker, pieces)) = self.choose_call(free, now) else {
            self.calibrate(!self.has_idle_worker(now), now);
            return None;
        };
        Some(self.start(worker, pieces, now))
    }

    fn start(&mut self, worker: WorkerKey, chosen: Vec<PieceKey>, now: Millis) -> StartedCall {
        let mut pieces = Vec::with_capacity(chosen.len());
        for key in chosen {
            let piece = &mut self.pieces[key];
            piece.calls += 1;
            let result_bytes = piece.order.result_bytes;
            pieces.push(StartedPiece { key, result_bytes });
            self.waiting.remove(piece.place);
            if let Some(group) = self.groups.get_mut(&piece.order.group) {
                group.started = true;
            }
            self.workers[worker].retained_bytes += result_bytes;
        }
        let bytes = pieces.iter().map(|piece| piece.result_bytes).sum();
        self.calibration.record_started(pieces.len(), bytes);
        self.workers[worker].calls += 1;
        self.workers[worker].record_call(now, self.limit_share);
        let usual_ms = self.rules.expected_ms(pieces.len());
        let call = self.calls.insert(Call {
            worker,
            pieces: pieces.clone(),
            started: now,
            expected_ms: usual_ms * self.known_slowness(worker, now),
            usual_ms,
            overdue: false,
            slowness_before: self.workers[worker].slowness,
        });
        StartedCall {
            call,
            worker,
            at: now,
            pieces,
        }
    }

    /// Ends a call. Returns its unfinished pieces that are in no other call; the owner
    /// finishes or requeues each.
    ///
    /// Memory reserved for the results is released here only for a refused call. After any
    /// other end, also without an answer, the worker may retain the results, so the owner
    /// releases each with [`BatchQueue::release_memory`].
    pub fn end_call(&mut self, call: CallKey, end: CallEnd, now: Millis) -> Vec<PieceKey> {
        let Some(call) = self.calls.remove(call) else {
            return Vec::new();
        };
        self.record_call_end(&call, end, now);
        if end == CallEnd::Answered {
            let bytes = call.pieces.iter().map(|piece| piece.result_bytes).sum();
            self.calibration.record_answered(call.pieces.len(), bytes);
        }
        let mut unfinished = Vec::new();
        for StartedPiece { key, result_bytes } in call.pieces {
            if end == CallEnd::Refused {
                self.release_memory(call.worker, result_bytes);
            }
            let Some(piece) = self.pieces.get_mut(key) else {
                continue;
            };
            piece.calls -= 1;
            if piece.calls == 0 && !self.waiting.contains(piece.place) {
                unfinished.push(key);
            }
        }
        unfinished
    }

    /// Queues those pieces of overdue calls again, for other workers, for which `may_repeat` is true.
    /// Returns the workers of these calls.
    pub fn take_overdue(
        &mut self,
        now: Millis,
        mut may_repeat: impl FnMut(&mut T) -> bool,
    ) -> Vec<WorkerKey> {
        let mut workers = Vec::new();
        for call in self.calls.values_mut() {
            if call.overdue || ((now - call.started) as f64) < call.limit_ms() {
                continue;
            }
            call.overdue = true;
            workers.push(call.worker);
            for StartedPiece { key, .. } in &call.pieces {
                let Some(piece) = self.pieces.get_mut(*key) else {
                    continue;
                };
                let is_waiting = self.waiting.contains(piece.place);
                if !is_waiting && may_repeat(&mut piece.job) {
                    piece.wait_in(&mut self.waiting, *key);
                }
            }
        }
        for worker in &workers {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.mark_slow();
            }
        }
        if !workers.is_empty() {
            self.update_slow_workers();
        }
        workers
    }
}
