//! The stage services as this entry uses them.
//!
//! The targets of a stage service are split into queues of a few targets each,
//! and each queue has one owner among the entries ([`crate::peers`]), so that
//! pieces of all entries share calls. [`Pools::make`] hands a piece to its
//! owner; the owner's [`Batcher`] makes it. A lost owner is made up for by the
//! next one: a piece made twice costs time only.

mod batcher;
mod call;
mod held;
mod worker_end;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_platform::deployment::{Deployment, ServiceKey};
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_routing::{Millis, RequestDigest};
use hollowsail_stages::QueueLoad;
use hollowsail_targets::Target;

use crate::mechanisms::Mechanism;
use crate::peers::{
    self, Link, MakePiece, Message, Owner, PeerId, PeerRecord, PieceId, SpentResult,
    WorkerAtHandOver,
};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

use batcher::LocalEnd;

pub use batcher::Batcher;
pub use held::HeldResult;

/// Targets in a queue at most: enough that one is nearly always about to be
/// free in the hall where a result is wanted, and that a service whose targets come
/// back one by one isn't split anew meanwhile; few enough for one owner's processor
/// and link at a service of hundreds.
const QUEUE_TARGETS: usize = 64;
/// Age at which an owner's word on its queue is of no use, in milliseconds:
/// about the time in which a whole queue turns over.
const LOAD_AGE_MS: Millis = 600;
/// Owners that a piece is handed to at most.
const MOST_OWNERS: u32 = 8;

/// What a request gets for a piece.
pub type PieceEnd = Result<HeldResult, PieceFailure>;

/// A piece to make.
#[derive(Debug, Clone)]
pub struct Wanted {
    pub piece: Piece,
    /// What makes its request the same as another one.
    pub request: RequestDigest,
    /// 0 is the most urgent.
    pub priority: u8,
    /// When it should be made.
    pub due: Millis,
    /// When it is of no use any more.
    pub expires: Millis,
    /// About the size of its result.
    pub result_bytes: u64,
    /// The results that it starts from are large.
    pub holds_inputs: bool,
    /// Data hall where the result is wanted.
    pub hall: Option<String>,
    /// Data halls in which it may be made; `None` where that is all.
    pub halls: Option<Vec<String>>,
}

/// Batchers of the queues that this entry owns or owned.
#[derive(Default)]
pub struct Pools {
    batchers: RefCell<HashMap<String, Rc<Batcher>>>,
    /// What owners told of their queues, and when.
    loads: RefCell<HashMap<String, (Millis, QueueLoad)>>,
    pieces: Cell<u64>,
}

/// The queue that a request's pieces of a service go to, by the name of its group of
/// workers.
fn queue_for(cx: &Traffic, service: &str, request_id: &str) -> String {
    let targets = cx.target_count(service);
    TargetGroup::for_key(targets, QUEUE_TARGETS, request_id).name(service)
}

/// The targets of a queue.
fn targets_of(cx: &Traffic, service: &str, group: TargetGroup) -> Vec<Rc<Target>> {
    let targets = cx.targets_named(service);
    let in_use = cx.rollouts.in_use_by_count(cx, service, &targets);
    group.targets(&in_use, QUEUE_TARGETS)
}

/// The owner of a queue.
fn owner_of(cx: &Rc<Traffic>, queue: &str) -> Owner {
    match cx.has(Mechanism::SharedQueues) {
        true => cx.peers.owner_of(cx, queue),
        false => Owner::Me,
    }
}

impl Pools {
    /// Has a piece made. Dropping the future gives it up.
    pub async fn make(
        &self,
        cx: &Rc<Traffic>,
        deployment: &Deployment,
        service: ServiceKey,
        wanted: Wanted,
    ) -> PieceEnd {
        let name = &deployment.service(service).name;
        cx.peers.settled(cx).await;
        for _ in 0..MOST_OWNERS {
            let queue = queue_for(cx, name, &wanted.piece.request_id);
            match owner_of(cx, &queue) {
                Owner::Me => {
                    let batcher = self.batcher(cx, &queue).ok_or(PieceFailure::Failed)?;
                    match batcher.make(wanted.clone()).await {
                        LocalEnd::Made(held) => return Ok(held),
                        LocalEnd::Failed(failure) => return Err(failure),
                        LocalEnd::Moved => {}
                    }
                }
                Owner::Peer(link) => {
                    let asked = self.message(cx, &queue, &wanted);
                    match link.make(asked).await {
                        Ok(peers::PieceEnd::Made(made)) => {
                            let bytes = wanted.result_bytes;
                            return Ok(HeldResult::at_peer(link, queue, made, bytes));
                        }
                        Ok(peers::PieceEnd::Failed(failure)) => return Err(failure),
                        // The next owner in order gets it.
                        Ok(peers::PieceEnd::Moved) | Err(_) => {}
                    }
                }
            }
        }
        Err(PieceFailure::Failed)
    }

    fn message(&self, cx: &Traffic, queue: &str, wanted: &Wanted) -> MakePiece {
        let number = self.pieces.get() + 1;
        self.pieces.set(number);
        let now = cx.clock.now();
        MakePiece {
            id: PieceId(number),
            queue: queue.to_string(),
            piece: wanted.piece.clone(),
            request: wanted.request,
            priority: wanted.priority,
            due_in_ms: wanted.due as i64 - now as i64,
            expires_in_ms: wanted.expires.saturating_sub(now),
            result_bytes: wanted.result_bytes,
            holds_inputs: wanted.holds_inputs,
            hall: wanted.hall.clone(),
            halls: wanted.halls.clone(),
        }
    }

    /// An owner told what its queue has to do.
    pub fn take_load(&self, cx: &Traffic, queue: String, load: QueueLoad) {
        self.loads
            .borrow_mut()
            .insert(queue, (cx.clock.now(), load));
    }

    /// What the queue of a request's pieces has to do, if that is known and not
    /// too old.
    pub fn load(&self, cx: &Rc<Traffic>, service: &str, request_id: &str) -> Option<QueueLoad> {
        let now = cx.clock.now();
        let queue = queue_for(cx, service, request_id);
        if let Owner::Me = owner_of(cx, &queue) {
            let batcher = self.batchers.borrow().get(&queue).cloned();
            return batcher.map(|batcher| batcher.queue.borrow().load(now));
        }
        let loads = self.loads.borrow();
        let (told, load) = loads.get(&queue)?;
        (now - told <= LOAD_AGE_MS).then(|| load.clone())
    }

    /// The batcher of a queue; `None` when its service makes no pieces.
    fn batcher(&self, cx: &Rc<Traffic>, name: &str) -> Option<Rc<Batcher>> {
        if let Some(known) = self.batchers.borrow().get(name) {
            return Some(known.clone());
        }
        let (service, group) = TargetGroup::parse(name)?;
        let deployment = cx.deployment()?;
        let key = deployment.service_named(service)?;
        let pool = deployment.service(key).stage_pool.as_ref()?;
        let made = Batcher::new(cx, name, pool);
        made.take_targets(cx, &targets_of(cx, service, group));
        let mut batchers = self.batchers.borrow_mut();
        batchers.insert(name.to_string(), made.clone());
        Some(made)
    }

    /// A peer hands a piece in.
    pub fn take_piece(&self, cx: &Rc<Traffic>, from: &PeerRecord, asked: MakePiece) {
        let link = cx.peers.link_to(cx, from);
        if cx.pace.get().is_slow() && matches!(owner_of(cx, &asked.queue), Owner::Peer(_)) {
            link.send(Message::Ended(asked.id, peers::PieceEnd::Moved));
            return;
        }
        let Some(batcher) = self.batcher(cx, &asked.queue) else {
            // This entry doesn't know the service, or no longer.
            let end = peers::PieceEnd::Failed(PieceFailure::Failed);
            link.send(Message::Ended(asked.id, end));
            return;
        };
        let now = cx.clock.now();
        let wanted = Wanted {
            piece: asked.piece,
            request: asked.request,
            priority: asked.priority,
            due: now.saturating_add_signed(asked.due_in_ms),
            expires: now + asked.expires_in_ms,
            result_bytes: asked.result_bytes,
            holds_inputs: asked.holds_inputs,
            hall: asked.hall,
            halls: asked.halls,
        };
        batcher.take_from_peer(link, asked.id, wanted);
    }

    /// A peer waits for a piece no longer, or left its result.
    pub fn give_up_piece(&self, from: PeerId, id: PieceId) {
        let all = self.all();
        all.iter()
            .for_each(|batcher| batcher.give_up_piece(from, id));
    }

    /// A result is needed no longer, whoever had it made.
    pub fn free(&self, cx: &Rc<Traffic>, spent: &SpentResult) {
        if let Some(batcher) = self.batcher(cx, &spent.queue) {
            batcher.free(&spent.target, &spent.handle);
        }
    }

    /// A queue passed to this entry.
    pub fn take_over(&self, cx: &Rc<Traffic>, queue: &str, workers: &[WorkerAtHandOver]) {
        if let Some(batcher) = self.batcher(cx, queue) {
            batcher.take_over(workers);
        }
    }

    /// Passes queues on whose owner is another entry now.
    pub fn hand_over(&self, cx: &Rc<Traffic>) {
        for batcher in self.all() {
            if let Owner::Peer(link) = owner_of(cx, batcher.name()) {
                batcher.hand_over(&link);
            }
        }
    }

    /// A peer is lost: nobody waits for its pieces.
    pub fn requester_lost(&self, peer: PeerId) {
        let all = self.all();
        all.iter().for_each(|batcher| batcher.requester_lost(peer));
    }

    /// True when pieces are made, or results lie, at a worker of a service that fits.
    pub fn has_work_at(&self, service: &str, fits: impl Fn(&Target) -> bool) -> bool {
        let of_service = |batcher: &Rc<Batcher>| {
            TargetGroup::parse(batcher.name()).is_some_and(|(name, _)| name == service)
        };
        let batchers = self.all();
        let mut batchers = batchers.iter().filter(|batcher| of_service(batcher));
        batchers.any(|batcher| batcher.has_work_at(&fits))
    }

    fn all(&self) -> Vec<Rc<Batcher>> {
        self.batchers.borrow().values().cloned().collect()
    }

    /// Takes the rules and targets of a new view over.
    pub fn take_targets(&self, cx: &Rc<Traffic>) {
        self.take_targets_where(cx, |_| true);
    }

    /// The same for one service.
    pub fn take_targets_of(&self, cx: &Rc<Traffic>, service: &str) {
        self.take_targets_where(cx, |known| known == service);
    }

    fn take_targets_where(&self, cx: &Rc<Traffic>, is_concerned: impl Fn(&str) -> bool) {
        let Some(deployment) = cx.deployment_in_use() else {
            return;
        };
        for batcher in self.all() {
            let parsed = TargetGroup::parse(batcher.name());
            let Some((service, group)) = parsed.filter(|(service, _)| is_concerned(service)) else {
                continue;
            };
            let pool = deployment
                .service_named(service)
                .and_then(|key| deployment.service(key).stage_pool);
            if let Some(pool) = &pool {
                batcher.set_rules(pool);
            }
            batcher.take_targets(cx, &targets_of(cx, service, group));
        }
    }
}

/// The link back to a requester, and its number for the piece.
pub(crate) struct Requester {
    pub link: Rc<Link>,
    pub id: PieceId,
}
