//! The scheduler of one group of targets.
//!
//! Holds the load of the group's targets and the queue of demands that wait for one, and
//! logs ejected targets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hollowsail_fleet::rendezvous;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{
    Demand, DemandKey, DemandQueue, EngineScheduler, Millis, PlacementEnd, PlacementKey,
    QueueEstimate, SchedulableEngine,
};
use hollowsail_targets::Target;
use tokio::sync::{oneshot, Notify};

use super::MAX_GROUP_ENGINES;
use crate::mechanisms::Mechanism;
use crate::ownership_age::OwnershipAge;
use crate::peers::{Link, PlacementId, PlacementReply, PlacementStep};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

/// Interval between two sweeps for targets to eject.
const SWEEP_INTERVAL_MS: Millis = 1_000;
/// Longest interval between two checks for demands that have expired.
const MAX_POLL_INTERVAL_MS: Millis = 20;

/// Schedules demands on the targets of one group, on behalf of all entries.
pub struct GroupScheduler {
    name: String,
    engines: RefCell<EngineScheduler<Incarnation>>,
    queue: RefCell<DemandQueue<QueuedDemand>>,
    ownership_age: OwnershipAge,
    /// Some target is warming up or reports a limit.
    has_rate_limits: Cell<bool>,
    is_serving_queue: Cell<bool>,
    /// Notified when a placement ends, as a queued demand may take its place.
    placement_ended: Notify,
    last_sweep_ms: Cell<Millis>,
}

/// A demand in the queue, and where its answer goes.
struct QueuedDemand {
    demand: Demand<Incarnation>,
    reply: Reply,
}

/// Recipient of the answer to a queued demand.
pub(super) enum Reply {
    Local(oneshot::Sender<Decision>),
    Peer(Rc<Link>, PlacementId),
}

/// The scheduler's answer to a demand.
#[derive(Debug, Clone)]
pub(super) enum Decision {
    Assigned(PlacementKey, Incarnation),
    /// It may wait in the queue until this time.
    MayQueue(Millis),
    /// No target can take it within its wait time.
    AtLimit {
        retry_after_ms: Millis,
    },
    NoCandidate,
}

impl Decision {
    /// Converts to the message that a peer gets.
    pub fn to_peer(&self) -> PlacementReply {
        match self {
            Decision::Assigned(_, engine) => PlacementReply::Placed(engine.clone()),
            Decision::MayQueue(_) => PlacementReply::Queued,
            Decision::AtLimit { retry_after_ms } => PlacementReply::AtLimit {
                retry_after_ms: *retry_after_ms,
            },
            Decision::NoCandidate => PlacementReply::NoCandidate,
        }
    }
}

impl GroupScheduler {
    /// Creates a scheduler without targets.
    pub fn new(name: &str) -> Self {
        GroupScheduler {
            name: name.to_string(),
            engines: RefCell::default(),
            queue: RefCell::default(),
            ownership_age: OwnershipAge::default(),
            has_rate_limits: Cell::new(false),
            is_serving_queue: Cell::new(false),
            placement_ended: Notify::new(),
            last_sweep_ms: Cell::new(0),
        }
    }

    /// Updates the set of usable targets of the group.
    pub fn update_targets(&self, cx: &Rc<Traffic>) {
        self.update_limit_share(cx);
        if let Some((service, group)) = TargetGroup::parse(&self.name) {
            let targets = cx
                .rollouts
                .eligible_targets(cx, service, &cx.targets_named(service));
            let targets = group.targets(&targets, MAX_GROUP_ENGINES);
            self.has_rate_limits
                .set(targets.iter().any(|target| target.is_rate_limited()));
            let mut engines = self.engines.borrow_mut();
            engines.set_by_time(cx.has(Mechanism::EnginesByTime));
            engines.set_engines(cx.clock.now(), &schedulable_engines(&targets));
        }
    }

    fn update_limit_share(&self, cx: &Rc<Traffic>) {
        let share = self.ownership_age.limit_share(cx, &self.name);
        self.engines.borrow_mut().set_limit_share(share);
    }

    /// Places a new demand if possible; otherwise returns whether it may wait.
    pub(super) fn submit(&self, cx: &Rc<Traffic>, demand: &Demand<Incarnation>) -> Decision {
        let now = cx.clock.now();
        self.sweep_if_due(cx, now);
        if self.has_rate_limits.get() {
            self.update_limit_share(cx);
        }
        let ahead = self.queue.borrow().ahead_of(demand.urgency);
        if ahead == 0 {
            if let Some((key, engine)) = self.place(now, demand) {
                return Decision::Assigned(key, engine);
            }
        }
        let estimate = self.engines.borrow().queue_estimate(now, demand, ahead);
        match estimate {
            Some(estimate) if estimate.wait_ms <= demand.max_wait_ms => {
                Decision::MayQueue(now + demand.max_wait_ms)
            }
            estimate => self.refusal(now, estimate),
        }
    }

    fn sweep_if_due(&self, cx: &Traffic, now: Millis) {
        if now >= self.last_sweep_ms.get() + SWEEP_INTERVAL_MS {
            self.last_sweep_ms.set(now);
            let ejected = self.engines.borrow_mut().sweep(now);
            self.log_ejected(cx, &ejected);
        }
    }

    fn place(
        &self,
        now: Millis,
        demand: &Demand<Incarnation>,
    ) -> Option<(PlacementKey, Incarnation)> {
        let affinity = |engine: &Incarnation| rendezvous::score(&demand.part, &engine.id);
        self.engines.borrow_mut().place(now, demand, affinity)
    }

    /// Queues a demand until a deadline; the answer goes to `reply`.
    pub(super) fn enqueue(
        self: &Rc<Self>,
        cx: &Rc<Traffic>,
        demand: Demand<Incarnation>,
        until: Millis,
        reply: Reply,
    ) -> DemandKey {
        let urgency = demand.urgency;
        let queued = QueuedDemand { demand, reply };
        let key = self.queue.borrow_mut().push(urgency, until, queued);
        self.spawn_queue_task(cx);
        key
    }

    /// Removes a demand from the queue.
    pub(super) fn dequeue(&self, key: DemandKey) {
        self.queue.borrow_mut().remove(key);
    }

    /// Serves the queue in a background task until it is empty.
    fn spawn_queue_task(self: &Rc<Self>, cx: &Rc<Traffic>) {
        if self.is_serving_queue.replace(true) {
            return;
        }
        let (scheduler, cx) = (self.clone(), cx.clone());
        actix_rt::spawn(async move {
            while !scheduler.queue.borrow().is_empty() {
                let next = scheduler.next_poll(cx.clock.now());
                tokio::select! {
                    _ = tokio::time::sleep_until(cx.clock.timer(next).into()) => {}
                    _ = scheduler.placement_ended.notified() => {}
                }
                scheduler.serve_queue(&cx);
            }
            scheduler.is_serving_queue.set(false);
        });
    }

    fn next_poll(&self, now: Millis) -> Millis {
        let latest = now + MAX_POLL_INTERVAL_MS;
        let opening = self.engines.borrow().next_opening(now);
        opening.map_or(latest, |opening| opening.min(latest))
    }

    fn serve_queue(self: &Rc<Self>, cx: &Rc<Traffic>) {
        let now = cx.clock.now();
        self.update_limit_share(cx);
        let expired = self.queue.borrow_mut().take_expired(now);
        for queued in expired {
            let ahead = self.queue.borrow().ahead_of(queued.demand.urgency);
            let estimate = self
                .engines
                .borrow()
                .queue_estimate(now, &queued.demand, ahead);
            let answer = self.refusal(now, estimate);
            self.answer(cx, queued, answer);
        }
        while let Some((key, placed, engine)) = self.place_next(now) {
            let queued = self.queue.borrow_mut().remove(key);
            if let Some(queued) = queued {
                self.answer(cx, queued, Decision::Assigned(placed, engine));
            }
        }
    }

    /// Answer to a demand that can't be placed within its wait time.
    fn refusal(&self, now: Millis, estimate: Option<QueueEstimate>) -> Decision {
        let Some(estimate) = estimate else {
            return Decision::NoCandidate;
        };
        let mut queue = self.queue.borrow_mut();
        Decision::AtLimit {
            retry_after_ms: queue.retry_after_ms(now, estimate.wait_ms, estimate.per_s),
        }
    }

    /// Places the first queued demand that a target can take now.
    fn place_next(&self, now: Millis) -> Option<(DemandKey, PlacementKey, Incarnation)> {
        if !self.engines.borrow().is_any_open(now) {
            return None;
        }
        let queue = self.queue.borrow();
        let mut demands = queue.iter();
        demands.find_map(|(key, queued)| {
            let (placed, engine) = self.place(now, &queued.demand)?;
            Some((key, placed, engine))
        })
    }

    fn answer(self: &Rc<Self>, cx: &Rc<Traffic>, queued: QueuedDemand, answer: Decision) {
        match queued.reply {
            Reply::Local(sender) => {
                if let Err(Decision::Assigned(key, _)) = sender.send(answer) {
                    // The caller has disconnected.
                    self.record_step(cx, key, PlacementStep::Abandoned);
                }
            }
            Reply::Peer(link, id) => cx.placements.answer_peer(self, &link, id, &answer),
        }
    }

    /// Records the progress or the end of a placement.
    pub fn record_step(&self, cx: &Traffic, key: PlacementKey, step: PlacementStep) {
        let now = cx.clock.now();
        let ended = |end| self.engines.borrow_mut().record_end(key, end, now);
        let ejected = match step {
            PlacementStep::PrefillDone => {
                self.engines.borrow_mut().prefill_done(key, now);
                return;
            }
            PlacementStep::Completed => ended(PlacementEnd::Completed),
            PlacementStep::Failed => ended(PlacementEnd::Failed),
            PlacementStep::Abandoned => ended(PlacementEnd::Abandoned),
        };
        if self.is_serving_queue.get() {
            self.placement_ended.notify_one();
        }
        self.log_ejected(cx, &ejected);
    }

    /// Records that a target refused a request for want of room.
    pub fn record_refusal(&self, now: Millis, target: &Incarnation) {
        self.engines.borrow_mut().record_refusal(target, now);
    }

    fn log_ejected(&self, cx: &Traffic, ejected: &[Incarnation]) {
        for engine in ejected {
            let fields = format_args!(
                "desk={} target={} why=answers",
                Field(&self.name),
                Field(&engine.id)
            );
            cx.log.line(events::TARGET_EJECTED, fields);
        }
    }
}

fn schedulable_engines(targets: &[Rc<Target>]) -> Vec<SchedulableEngine<Incarnation>> {
    let engines = targets.iter().map(|target| SchedulableEngine {
        key: target.incarnation().clone(),
        slots: target.record.slots,
        hall: target.record.hall.clone(),
        version: target.record.version.clone(),
        warm_up: target.warm_up.get(),
        limit: target.limit.get(),
        max_running: target.max_running(),
    });
    engines.collect()
}
