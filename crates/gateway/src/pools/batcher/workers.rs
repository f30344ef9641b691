//! The targets that make the pieces of a queue, as its workers.

use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_platform::targets::Incarnation;
use hollowsail_stages::{HallKey, WorkerKey};
use hollowsail_targets::Target;
use slotmap::SecondaryMap;

use super::Batcher;
use crate::traffic::Traffic;

/// Targets by the keys that the queue knows them by.
#[derive(Default)]
pub(super) struct Workers {
    pub by_incarnation: HashMap<Incarnation, WorkerKey>,
    /// Also those that get nothing new: their calls and results are not over.
    targets: SecondaryMap<WorkerKey, Rc<Target>>,
    halls: Vec<String>,
}

impl Workers {
    /// The number of a hall.
    pub fn hall(&mut self, name: &str) -> HallKey {
        let known = self.halls.iter().position(|hall| hall == name);
        let at = known.unwrap_or_else(|| {
            self.halls.push(name.to_string());
            self.halls.len() - 1
        });
        HallKey(at as u16)
    }

    /// The target behind a worker.
    pub fn target(&self, worker: WorkerKey) -> Option<Rc<Target>> {
        self.targets.get(worker).cloned()
    }

    /// The worker that a target is, as long as it may get new work.
    pub fn worker(&self, target: &Incarnation) -> Option<WorkerKey> {
        self.by_incarnation.get(target).copied()
    }
}

impl Batcher {
    /// A worker gets no call while its target wants nothing from this entry.
    pub(in crate::pools) fn heed_rest(&self, cx: &Traffic, worker: WorkerKey, target: &Target) {
        if let Some(until) = cx.rests_until(target) {
            self.queue.borrow_mut().rest(worker, until);
        }
    }

    /// Takes the targets that may get new work.
    pub fn take_targets(self: &Rc<Self>, cx: &Rc<Traffic>, targets: &[Rc<Target>]) {
        let mut workers = self.workers.borrow_mut();
        let mut queue = self.queue.borrow_mut();
        let is_there = |id: &Incarnation| targets.iter().any(|t| t.incarnation() == id);
        workers.by_incarnation.retain(|id, key| {
            let stays = is_there(id);
            if !stays {
                queue.remove_worker(*key);
            }
            stays
        });
        for target in targets {
            if let Some(key) = workers.worker(target.incarnation()) {
                // Its record may say something new.
                workers.targets.insert(key, target.clone());
            } else {
                let hall = workers.hall(&target.record.hall);
                let key = queue.add_worker(hall);
                workers
                    .by_incarnation
                    .insert(target.incarnation().clone(), key);
                workers.targets.insert(key, target.clone());
            }
        }
        let mut has_limits = false;
        for target in targets {
            let limit = target.limit.get();
            has_limits |= limit.is_some();
            if let Some(worker) = workers.worker(target.incarnation()) {
                queue.set_limit(worker, limit);
            }
        }
        drop((workers, queue));
        self.has_limits.set(has_limits);
        self.update_limit_share(cx);
        for target in targets {
            let worker = self.workers.borrow().worker(target.incarnation());
            if let Some(worker) = worker {
                self.heed_rest(cx, worker, target);
            }
        }
        self.pump_soon();
    }
}
