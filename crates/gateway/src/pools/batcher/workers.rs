//! The targets that make the pieces of a queue, as its workers.

use std::collections::{HashMap, HashSet};
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
        let present: HashSet<&Incarnation> = targets.iter().map(|t| t.incarnation()).collect();
        workers.by_incarnation.retain(|id, key| {
            let stays = present.contains(id);
            if !stays {
                queue.remove_worker(*key);
            }
            stays
        });
        for target in targets {
            let known = workers.worker(target.incarnation());
            let key = known.unwrap_or_else(|| {
                let hall = workers.hall(&target.record.hall);
                let key = queue.add_worker(hall);
                let start = target.incarnation().clone();
                workers.by_incarnation.insert(start, key);
                key
            });
            // Its record may say something new.
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
                self.heed_rest(cx, worker, target);
            }
        }
        self.pump_soon();
    }
}
