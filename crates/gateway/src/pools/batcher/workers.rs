//! The workers of a queue: the targets of its group, by their keys in the queue.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform::targets::Incarnation;
use hollowsail_stages::{HallKey, WorkerKey};
use hollowsail_targets::Target;
use slotmap::SecondaryMap;

use super::Batcher;
use crate::traffic::Traffic;

/// Time after a call was given up until its target counts as stalled. A worker whose call failed gets
/// no other one for longer.
const STALL_NOTICE_TIME: Duration = Duration::from_millis(60);

/// Targets and halls by the keys that the queue uses.
#[derive(Default)]
pub(super) struct Workers {
    pub by_incarnation: HashMap<Incarnation, WorkerKey>,
    /// Includes workers that get no new calls but may still run calls or retain results.
    targets: SecondaryMap<WorkerKey, Rc<Target>>,
    halls: Vec<String>,
}

impl Workers {
    /// Returns the key of a hall, added if new.
    pub fn hall(&mut self, name: &str) -> HallKey {
        let known = self.halls.iter().position(|hall| hall == name);
        let index = known.unwrap_or_else(|| {
            self.halls.push(name.to_string());
            self.halls.len() - 1
        });
        HallKey(index as u16)
    }

    pub fn target(&self, worker: WorkerKey) -> Option<Rc<Target>> {
        self.targets.get(worker).cloned()
    }

    /// Returns the worker of a target that may get new calls.
    pub fn worker(&self, target: &Incarnation) -> Option<WorkerKey> {
        self.by_incarnation.get(target).copied()
    }
}

impl Batcher {
    /// Stops calls to a worker while its target is backing off or stands still.
    pub(in crate::pools) fn apply_backoff(&self, cx: &Traffic, worker: WorkerKey, target: &Target) {
        let stalled_until = target.stall.borrow().until(cx.clock.now());
        if let Some(until) = cx.backoff_until(target).max(stalled_until) {
            self.queue.borrow_mut().back_off(worker, until);
        }
    }

    /// The same once it is known whether the target closes the connection of a call that was given
    /// up, which it does unless it stands still.
    pub(in crate::pools) async fn apply_stall(
        self: Rc<Self>,
        cx: Rc<Traffic>,
        worker: WorkerKey,
        target: Rc<Target>,
    ) {
        tokio::time::sleep(STALL_NOTICE_TIME).await;
        self.apply_backoff(&cx, worker, &target);
    }

    /// Applies the speed that a worker's target reported last, if it did.
    pub(in crate::pools) fn apply_speed(&self, worker: WorkerKey, target: &Target) {
        if let Some((percent, received_at)) = target.reported_work_percent() {
            let mut queue = self.queue.borrow_mut();
            queue.set_reported_speed(worker, percent, received_at);
        }
    }

    /// Updates the set of targets that may get new calls.
    pub fn update_targets(self: &Rc<Self>, cx: &Rc<Traffic>, targets: &[Rc<Target>]) {
        let mut workers = self.workers.borrow_mut();
        let mut queue = self.queue.borrow_mut();
        let present: HashSet<&Incarnation> =
            targets.iter().map(|target| target.incarnation()).collect();
        workers.by_incarnation.retain(|id, key| {
            let is_kept = present.contains(id);
            if !is_kept {
                queue.remove_worker(*key);
            }
            is_kept
        });
        for target in targets {
            let known = workers.worker(target.incarnation());
            let key = known.unwrap_or_else(|| {
                let hall = workers.hall(&target.record.hall);
                let key = queue.add_worker(hall);
                let incarnation = target.incarnation().clone();
                workers.by_incarnation.insert(incarnation, key);
                key
            });
            // The record may have changed.
            workers.targets.insert(key, target.clone());
            queue.set_limit(key, target.limit.get());
        }
        drop((workers, queue));
        let mut limits = targets.iter().map(|target| target.limit.get());
        self.has_limits.set(limits.any(|limit| limit.is_some()));
        self.update_limit_share(cx);
        for target in targets {
            let worker = self.workers.borrow().worker(target.incarnation());
            if let Some(worker) = worker {
                self.apply_backoff(cx, worker, target);
                self.apply_speed(worker, target);
            }
        }
        self.pump_soon();
    }
}
