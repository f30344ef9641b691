//! Placement of requests on targets by the scheduler of their group.
//!
//! Each group of targets is owned by one entry, whose [`GroupScheduler`] tracks the load that
//! all entries put on it. Other entries send their demands to the owner over peer links and
//! choose a target themselves if no answer arrives in time. A [`Placement`] reports the request's
//! progress to the scheduler. Plain services use this too while a target reports a limit.

mod handle;
mod scheduler;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, DemandKey, PlacementKey};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::peers::{Link, Message, Owner, PeerId, PlacementId, PlacementReply, PlacementStep};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

pub use handle::Placement;
use handle::SchedulerHandle;
use scheduler::{Decision, GroupScheduler, Reply};

/// Maximum engines in a group. Each group caches a prefix separately, so larger groups need fewer
/// prefills; the bound is what one owner can schedule. One processor handles hundreds of
/// generations a second; no larger pool was measured.
const MAX_GROUP_ENGINES: usize = 512;
/// Timeout of a peer's scheduler, after which this entry chooses a target itself. A round trip
/// takes about two milliseconds, and choosing locally costs less than waiting much longer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// A placement at a local scheduler.
type SchedulerEntry = (Rc<GroupScheduler>, PlacementKey);

/// Outcome of a placement attempt.
pub enum PlacementOutcome {
    Placed(Incarnation, Placement),
    /// All candidates are at their limits for longer than the request may wait.
    AtLimit {
        retry_after: Duration,
    },
    /// The scheduler has no candidate.
    NoCandidate,
    /// No scheduler answered in time.
    NoReply,
}

/// Removes a demand from a local scheduler's queue when dropped.
struct QueueGuard {
    scheduler: Rc<GroupScheduler>,
    key: DemandKey,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.scheduler.dequeue(self.key);
    }
}

/// The schedulers that this entry owns or used to own, and the placements of peers there.
#[derive(Default)]
pub struct Placements {
    schedulers: RefCell<HashMap<String, Rc<GroupScheduler>>>,
    /// Placements of peers at local schedulers.
    peer_placements: RefCell<HashMap<(PeerId, PlacementId), SchedulerEntry>>,
    /// Demands of peers that are queued at local schedulers.
    peer_queued: RefCell<HashMap<(PeerId, PlacementId), QueueGuard>>,
    /// Counter for the ids of placements requested from peers.
    last_id: Cell<u64>,
}

impl Placements {
    /// Places a request on a target of a service.
    pub async fn place(
        &self,
        cx: &Rc<Traffic>,
        service: &str,
        demand: Demand<Incarnation>,
    ) -> PlacementOutcome {
        let targets = cx.target_count(service);
        let name = TargetGroup::for_key(targets, MAX_GROUP_ENGINES, &demand.part).name(service);
        match cx.peers.owner_of(cx, &name) {
            Owner::Me => match self.scheduler(cx, &name) {
                Some(scheduler) => place_here(cx, scheduler, demand).await,
                None => PlacementOutcome::NoCandidate,
            },
            Owner::Peer(link) => self.place_at_peer(link, name, demand).await,
        }
    }

    async fn place_at_peer(
        &self,
        link: Rc<Link>,
        name: String,
        demand: Demand<Incarnation>,
    ) -> PlacementOutcome {
        let id = self.next_id();
        let max_wait = Duration::from_millis(demand.max_wait_ms);
        // Dropped if the answer is too late, which reports the placement as abandoned.
        let placed = Placement::new(SchedulerHandle::Peer(link.clone(), id));
        let mut replies = link.request_placement(id, name, demand);
        let mut answer = timeout(REPLY_TIMEOUT, replies.next()).await;
        if let Ok(Some(PlacementReply::Queued)) = answer {
            answer = timeout(max_wait + REPLY_TIMEOUT, replies.next()).await;
        }
        match answer {
            Ok(Some(PlacementReply::Placed(engine))) => PlacementOutcome::Placed(engine, placed),
            Ok(Some(PlacementReply::AtLimit { retry_after_ms })) => at_limit(retry_after_ms),
            Ok(Some(PlacementReply::NoCandidate)) => PlacementOutcome::NoCandidate,
            Ok(Some(PlacementReply::Queued) | None) | Err(_) => PlacementOutcome::NoReply,
        }
    }

    fn next_id(&self) -> PlacementId {
        self.last_id.set(self.last_id.get() + 1);
        PlacementId(self.last_id.get())
    }

    /// Returns the scheduler of a group, created if needed; `None` if no group has this name.
    fn scheduler(&self, cx: &Rc<Traffic>, name: &str) -> Option<Rc<GroupScheduler>> {
        if let Some(known) = self.schedulers.borrow().get(name) {
            return Some(known.clone());
        }
        TargetGroup::parse(name)?;
        let scheduler = Rc::new(GroupScheduler::new(name));
        scheduler.update_targets(cx);
        self.schedulers
            .borrow_mut()
            .insert(name.to_string(), scheduler.clone());
        Some(scheduler)
    }

    /// Handles a peer's demand for a target.
    pub fn handle_place_request(
        &self,
        cx: &Rc<Traffic>,
        link: &Rc<Link>,
        id: PlacementId,
        scheduler: &str,
        demand: Demand<Incarnation>,
    ) {
        let Some(scheduler) = self.scheduler(cx, scheduler) else {
            link.send(Message::PlacementReply(id, PlacementReply::NoCandidate));
            return;
        };
        let answer = scheduler.submit(cx, &demand);
        if let Decision::MayQueue(until) = answer {
            let reply = Reply::Peer(link.clone(), id);
            let key = scheduler.enqueue(cx, demand, until, reply);
            let queued = QueueGuard {
                scheduler: scheduler.clone(),
                key,
            };
            let mut peer_queued = self.peer_queued.borrow_mut();
            peer_queued.insert((link.peer.id, id), queued);
        }
        self.answer_peer(&scheduler, link, id, &answer);
    }

    /// Sends a peer the answer to its demand.
    fn answer_peer(
        &self,
        scheduler: &Rc<GroupScheduler>,
        link: &Rc<Link>,
        id: PlacementId,
        decision: &Decision,
    ) {
        let peer_key = (link.peer.id, id);
        if let Decision::Assigned(key, _) = decision {
            let mut peer_placements = self.peer_placements.borrow_mut();
            peer_placements.insert(peer_key, (scheduler.clone(), *key));
        }
        if !matches!(decision, Decision::MayQueue(_)) {
            self.peer_queued.borrow_mut().remove(&peer_key);
        }
        link.send(Message::PlacementReply(id, decision.to_peer()));
    }

    /// Handles a peer's report on the progress of its placement.
    pub fn handle_step(&self, cx: &Traffic, from: PeerId, id: PlacementId, step: PlacementStep) {
        self.peer_queued.borrow_mut().remove(&(from, id));
        let mut peer_placements = self.peer_placements.borrow_mut();
        let placement = match step {
            PlacementStep::PrefillDone => peer_placements.get(&(from, id)).cloned(),
            _ => peer_placements.remove(&(from, id)),
        };
        if let Some((scheduler, key)) = placement {
            scheduler.record_step(cx, key, step);
        }
    }

    /// Ends all placements and queued demands of a lost peer.
    pub fn requester_lost(&self, cx: &Traffic, peer: PeerId) {
        let mut queued = self.peer_queued.borrow_mut();
        queued.retain(|(peer_id, _), _| *peer_id != peer);
        drop(queued);
        let mut peer_placements = self.peer_placements.borrow_mut();
        peer_placements.retain(|(peer_id, _), (scheduler, key)| {
            let is_kept = *peer_id != peer;
            if !is_kept {
                scheduler.record_step(cx, *key, PlacementStep::Completed);
            }
            is_kept
        });
    }

    /// Records that a target refused a request for want of room, at the schedulers here.
    pub fn record_refusal(&self, cx: &Traffic, target: &Incarnation) {
        let now = cx.clock.now();
        let schedulers = self.schedulers.borrow();
        let schedulers = schedulers.values();
        schedulers.for_each(|scheduler| scheduler.record_refusal(now, target));
    }

    /// Applies the targets of a new view.
    pub fn update_targets(&self, cx: &Rc<Traffic>) {
        for scheduler in self.schedulers.borrow().values() {
            scheduler.update_targets(cx);
        }
    }

    /// Applies the targets of one service.
    pub fn update_service_targets(&self, cx: &Rc<Traffic>, service: &str) {
        let schedulers = self.schedulers.borrow();
        let schedulers = schedulers.iter().filter(|(name, _)| {
            TargetGroup::parse(name).is_some_and(|(known, _)| known == service)
        });
        schedulers.for_each(|(_, scheduler)| scheduler.update_targets(cx));
    }
}

/// Places a request at a local scheduler.
async fn place_here(
    cx: &Rc<Traffic>,
    scheduler: Rc<GroupScheduler>,
    demand: Demand<Incarnation>,
) -> PlacementOutcome {
    let mut answer = scheduler.submit(cx, &demand);
    if let Decision::MayQueue(until) = answer {
        let (sender, receiver) = oneshot::channel();
        let key = scheduler.enqueue(cx, demand, until, Reply::Local(sender));
        let _guard = QueueGuard {
            scheduler: scheduler.clone(),
            key,
        };
        answer = receiver.await.unwrap_or(Decision::NoCandidate);
    }
    match answer {
        Decision::Assigned(key, engine) => {
            let handle = SchedulerHandle::Local(cx.clone(), scheduler, key);
            PlacementOutcome::Placed(engine, Placement::new(handle))
        }
        Decision::AtLimit { retry_after_ms } => at_limit(retry_after_ms),
        Decision::MayQueue(_) | Decision::NoCandidate => PlacementOutcome::NoCandidate,
    }
}

fn at_limit(retry_after_ms: u64) -> PlacementOutcome {
    PlacementOutcome::AtLimit {
        retry_after: Duration::from_millis(retry_after_ms),
    }
}
