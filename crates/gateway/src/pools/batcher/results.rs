//! Results that the workers of a queue retain until they are released.
//!
//! The queue accounts for the memory of each worker. It is freed when the worker has released a result
//! ([`Batcher::release`]), or when the result expires there.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;
use hollowsail_stages::{RetainedRecord, RetainedResults, StartedCall, WorkerKey};
use hollowsail_targets::Target;

use super::Batcher;
use crate::metrics;
use crate::peers::{PeerId, PieceId};
use crate::pools::call;

/// Delay before a release, so that results released together share a call.
const RELEASE_DELAY: Duration = Duration::from_millis(8);

/// Interval between attempts to release results at workers whose limits don't allow a call.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The results of a queue, by the peer that requested them and its id for the piece.
pub(super) type Results = RetainedResults<(PeerId, PieceId)>;

/// A result that its worker is to release.
pub(in crate::pools) struct PendingRelease {
    pub handle: String,
    /// What the queue accounts for; 0 for a result of an earlier owner.
    pub bytes: u64,
}

impl Batcher {
    /// Accounts for results that the worker of an unanswered call may retain until they expire.
    pub(in crate::pools) fn retain_unanswered(&self, started: &StartedCall) {
        let bytes = started.pieces.iter().map(|piece| piece.result_bytes).sum();
        // The handle is unknown; this name never equals one.
        let name = format!("unanswered/{:?}", started.call);
        self.retain_unknown(name, started.worker, bytes);
    }

    /// Accounts for results that may stay at a worker until they expire there.
    fn retain_unknown(&self, name: String, worker: WorkerKey, bytes: u64) {
        let result = RetainedRecord {
            worker,
            bytes,
            called_at: None,
            expires: self.now() + self.retention_ms.get(),
            requester: None,
        };
        self.retain_result(&name, result);
    }

    /// Accounts for a result.
    pub(super) fn retain_result(&self, handle: &str, result: RetainedRecord<(PeerId, PieceId)>) {
        let replaced = self.results.borrow_mut().insert(handle, result);
        if let Some(replaced) = replaced {
            let mut queue = self.queue.borrow_mut();
            queue.release_memory(replaced.worker, replaced.bytes);
        }
    }

    /// Applies the outcome of a call that releases results. Results that may not be released stay
    /// accounted for until they expire.
    pub(in crate::pools) fn release_ended(
        self: &Rc<Self>,
        worker: WorkerKey,
        releases: &[PendingRelease],
        is_answered: bool,
    ) {
        let bytes = releases.iter().map(|release| release.bytes).sum();
        if is_answered {
            self.queue.borrow_mut().record_released(worker, bytes);
        } else if let Some(first) = releases.first() {
            self.retain_unknown(format!("unreleased/{}", first.handle), worker, bytes);
        }
        self.pump();
    }

    /// Returns true if a matching worker runs pieces or retains results.
    pub fn has_work_at(&self, matches: impl Fn(&Target) -> bool) -> bool {
        let workers = self.workers.borrow();
        let matches = |worker| {
            workers
                .target(worker)
                .is_some_and(|target| matches(&target))
        };
        let results = self.results.borrow();
        let mut retaining = results.values().map(|result| result.worker);
        retaining.any(matches) || self.queue.borrow().busy_workers().any(matches)
    }

    /// Removes results that have expired at their workers.
    pub(super) fn remove_expired_results(&self, now: Millis) {
        let expired = self.results.borrow_mut().take_expired(now);
        let mut queue = self.queue.borrow_mut();
        for result in expired {
            queue.release_memory(result.worker, result.bytes);
        }
    }

    /// Releases a result of this queue.
    pub fn release(self: &Rc<Self>, handle: &str) {
        let Some(result) = self.results.borrow_mut().remove(handle) else {
            return;
        };
        if let Some(called_at) = result.called_at {
            let retained_ms = self.now().saturating_sub(called_at);
            let mut queue = self.queue.borrow_mut();
            queue.record_retention(result.bytes, retained_ms);
            metrics::record_retention(&self.name, Duration::from_millis(retained_ms));
        }
        self.schedule_release(result.worker, handle, result.bytes);
    }

    /// Releases a result that may have been produced under an earlier owner of this queue.
    pub fn release_at(self: &Rc<Self>, target: &Incarnation, handle: &str) {
        if self.results.borrow().contains(handle) {
            return self.release(handle);
        }
        let worker = self.workers.borrow().worker(target);
        if let Some(worker) = worker {
            self.schedule_release(worker, handle, 0);
        }
    }

    fn schedule_release(self: &Rc<Self>, worker: WorkerKey, handle: &str, bytes: u64) {
        let mut pending_releases = self.pending_releases.borrow_mut();
        pending_releases
            .entry(worker)
            .or_default()
            .push(PendingRelease {
                handle: handle.to_string(),
                bytes,
            });
        if self.is_releasing.replace(true) {
            return;
        }
        let batcher = self.clone();
        actix_rt::spawn(async move {
            let mut delay = RELEASE_DELAY;
            while !batcher.pending_releases.borrow().is_empty() {
                tokio::time::sleep(delay).await;
                batcher.send_releases();
                delay = RELEASE_RETRY_INTERVAL;
            }
            batcher.is_releasing.set(false);
        });
    }

    /// Sends the pending releases to the workers whose limits allow a call now.
    fn send_releases(self: &Rc<Self>) {
        let Some(cx) = self.cx.upgrade() else {
            self.pending_releases.borrow_mut().clear();
            return;
        };
        let now = cx.clock.now();
        let mut pending_releases = self.pending_releases.borrow_mut();
        let mut queue = self.queue.borrow_mut();
        let workers: Vec<WorkerKey> = pending_releases.keys().copied().collect();
        let open: Vec<WorkerKey> = workers
            .into_iter()
            .filter(|worker| queue.try_start_release(*worker, now))
            .collect();
        drop(queue);
        for worker in open {
            let releases = pending_releases.remove(&worker).unwrap_or_default();
            let target = self.workers.borrow().target(worker);
            if let Some(target) = target {
                let batcher = self.clone();
                actix_rt::spawn(call::release(cx.clone(), batcher, worker, target, releases));
            }
        }
        drop(pending_releases);
        self.pump();
    }
}
