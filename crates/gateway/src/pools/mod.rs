//! Production of pieces by the targets of stage services.
//!
//! The targets of a service are split into queues. Each queue is owned by one entry
//! ([`crate::peers`]), so that pieces of all entries share calls. [`Pools::produce`] sends a piece
//! to its owner, whose [`Batcher`] has it produced. If the owner is lost, the piece goes to the
//! next owner. Every send of a piece takes a permit ([`crate::repeats`]), which goes with the piece to
//! the owner and back.

mod batcher;
mod call;
mod dropped;
mod retained;
mod worker_crash;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_platform::deployment::{Deployment, ServiceKey};
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_routing::repeats::{PassedOn, PassedOnEnd, RepeatReason, SendPermit, Work};
use hollowsail_routing::{Millis, RequestDigest};
use hollowsail_stages::QueueLoad;
use hollowsail_targets::Target;

use crate::mechanisms::Mechanism;
use crate::peers::{
    self, Link, LinkLost, Message, Owner, PassedPiece, PeerId, PeerRecord, PieceId,
    ProducePieceRequest, RemoteOutcome, UnneededResult, WorkerHandover,
};
use crate::repeats::Repeat;
use crate::reservations::{ReservationReply, Reserve};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

use batcher::LocalOutcome;
use dropped::DroppedPieces;

pub use batcher::Batcher;
pub use retained::RetainedResult;

/// Maximum targets in a queue: enough that one in the preferred hall is usually free soon, few
/// enough for one owner to serve. A service whose targets return one by one isn't split again
/// meanwhile.
const MAX_QUEUE_TARGETS: usize = 64;
/// Age past which a peer's load report is ignored; a queue turns over in about this time.
const LOAD_TTL_MS: Millis = 600;
/// Maximum number of owners that are tried for a piece, one after the other.
const MAX_OWNERS: u32 = 8;

/// Outcome of producing a piece.
pub type PieceOutcome = Result<RetainedResult, PieceFailure>;

/// A piece to produce.
#[derive(Debug, Clone)]
pub struct PieceRequest {
    pub piece: Piece,
    /// Digest of its request's content; equal requests have equal digests.
    pub request: RequestDigest,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Time by which it should be complete.
    pub due: Millis,
    /// Time after which its result is no longer needed.
    pub expires: Millis,
    /// Time at which its request's stages are cancelled; workers are told what is left until then.
    pub deadline: Millis,
    /// Estimated size of its result.
    pub result_bytes: u64,
    /// Whether its inputs are large results.
    pub has_large_inputs: bool,
    /// Preferred data hall of the result.
    pub hall: Option<String>,
    /// Data halls in which it may be produced; `None` means all.
    pub halls: Option<Vec<String>>,
}

/// The batchers of queues that this entry owns or used to own, and the load of other queues.
#[derive(Default)]
pub struct Pools {
    batchers: RefCell<HashMap<String, Rc<Batcher>>>,
    /// Load reports of owners, with the time of receipt.
    loads: RefCell<HashMap<String, (Millis, QueueLoad)>>,
    last_piece_id: Cell<u64>,
    /// Pieces of peers that aren't sent any more.
    dropped: DroppedPieces,
}

/// A piece that the owner of its queue sends, until it has told the outcome or is lost.
struct PieceAtOwner<'a> {
    cx: &'a Rc<Traffic>,
    link: &'a Rc<Link>,
    id: PieceId,
    passed_on: PassedOn,
    is_ended: bool,
}

impl<'a> PieceAtOwner<'a> {
    fn begin(cx: &'a Rc<Traffic>, link: &'a Rc<Link>, id: PieceId, permit: SendPermit) -> Self {
        PieceAtOwner {
            cx,
            link,
            id,
            passed_on: PassedOn::begin(cx.clock.now(), permit),
            is_ended: false,
        }
    }

    /// Records what became of the piece. The owner is asked about sends that may still arrive.
    fn end(mut self, outcome: &RemoteOutcome) {
        self.is_ended = true;
        let end = match outcome {
            Ok(peers::PieceOutcome::Completed(_)) => PassedOnEnd::Done,
            Ok(peers::PieceOutcome::Moved) => PassedOnEnd::Unsent,
            Ok(peers::PieceOutcome::Failed(_)) => PassedOnEnd::Unsettled,
            Err(lost) if lost.may_be_sent => PassedOnEnd::Unsettled,
            Err(_) => PassedOnEnd::Unsent,
        };
        let unsettled = self.passed_on.end(self.cx.clock.now(), end);
        if let Some(send) = unsettled {
            let peers = &self.cx.peers;
            peers.record_lost_send(self.cx, self.link, self.id, send);
        }
    }
}

impl Drop for PieceAtOwner<'_> {
    /// The request doesn't wait for the piece any more.
    fn drop(&mut self) {
        if !self.is_ended {
            let now = self.cx.clock.now();
            self.passed_on.end(now, PassedOnEnd::Unsettled);
        }
    }
}

/// The permit to have a piece produced by the next owner.
fn permit_after(
    cx: &Traffic,
    service: &str,
    piece: &Piece,
    work: &Work,
    lost: LinkLost,
) -> Option<SendPermit> {
    if !lost.may_be_sent {
        return Some(SendPermit::from_peer(cx.clock.now(), work));
    }
    let reason = RepeatReason::OwnerLost;
    cx.permit_repeat(&Repeat::of_piece(service, piece, work, reason))
}

/// Name of the queue that a request's pieces go to.
pub fn queue_for(cx: &Traffic, service: &str, request_id: &str) -> String {
    let targets = cx.target_count(service);
    TargetGroup::for_key(targets, MAX_QUEUE_TARGETS, request_id).name(service)
}

fn queue_targets(cx: &Traffic, service: &str, group: TargetGroup) -> Vec<Rc<Target>> {
    let targets = cx.targets_named(service);
    let in_use = cx.rollouts.eligible_targets_by_count(cx, service, &targets);
    group.targets(&in_use, MAX_QUEUE_TARGETS)
}

/// The entry that owns a queue.
pub fn owner_of(cx: &Rc<Traffic>, queue: &str) -> Owner {
    match cx.has(Mechanism::SharedQueues) {
        true => cx.peers.owner_of(cx, queue),
        false => Owner::Me,
    }
}

impl Pools {
    /// Has a piece produced by the owner of its queue, with a permit for its next send. Dropping the
    /// future cancels it.
    pub async fn produce(
        &self,
        cx: &Rc<Traffic>,
        deployment: &Deployment,
        service: ServiceKey,
        piece_request: PieceRequest,
        permit: SendPermit,
    ) -> PieceOutcome {
        let name = &deployment.service(service).name;
        cx.peers.wait_until_settled(cx).await;
        let work = permit.work().clone();
        let mut permit = Some(permit);
        for _ in 0..MAX_OWNERS {
            let Some(permitted) = permit.take() else {
                return Err(PieceFailure::Failed);
            };
            let queue = queue_for(cx, name, &piece_request.piece.request_id);
            permit = match owner_of(cx, &queue) {
                Owner::Me => {
                    let batcher = self.batcher(cx, &queue).ok_or(PieceFailure::Failed)?;
                    match batcher.produce(piece_request.clone(), permitted).await {
                        LocalOutcome::Completed(result) => return Ok(result),
                        LocalOutcome::Failed(failure) => return Err(failure),
                        LocalOutcome::Moved(unused) => unused,
                    }
                }
                Owner::Peer(link) => {
                    let message = self.message(cx, &queue, &piece_request);
                    let at_owner = PieceAtOwner::begin(cx, &link, message.id, permitted);
                    let outcome = link.request_piece(message).await;
                    at_owner.end(&outcome);
                    match outcome {
                        Ok(peers::PieceOutcome::Completed(completed)) => {
                            let bytes = piece_request.result_bytes;
                            return Ok(RetainedResult::remote(link, queue, completed, bytes));
                        }
                        Ok(peers::PieceOutcome::Failed(failure)) => return Err(failure),
                        Ok(peers::PieceOutcome::Moved) => {
                            Some(SendPermit::from_peer(cx.clock.now(), &work))
                        }
                        Err(lost) => permit_after(cx, name, &piece_request.piece, &work, lost),
                    }
                }
            };
        }
        Err(PieceFailure::Failed)
    }

    /// The message that passes a piece to an owner; the permit for its next send goes with it.
    fn message(
        &self,
        cx: &Traffic,
        queue: &str,
        piece_request: &PieceRequest,
    ) -> ProducePieceRequest {
        let number = self.last_piece_id.get() + 1;
        self.last_piece_id.set(number);
        let now = cx.clock.now();
        ProducePieceRequest {
            id: PieceId(number),
            queue: queue.to_string(),
            piece: PassedPiece::new(
                &piece_request.piece,
                piece_request.deadline.saturating_sub(now),
            ),
            request: piece_request.request,
            priority: piece_request.priority,
            due_in_ms: piece_request.due as i64 - now as i64,
            expires_in_ms: piece_request.expires.saturating_sub(now),
            result_bytes: piece_request.result_bytes,
            has_large_inputs: piece_request.has_large_inputs,
            hall: piece_request.hall.clone(),
            halls: piece_request.halls.clone(),
        }
    }

    /// Stores an owner's report of its queue's load.
    pub fn update_load(&self, cx: &Traffic, queue: String, load: QueueLoad) {
        self.loads
            .borrow_mut()
            .insert(queue, (cx.clock.now(), load));
    }

    /// Returns the load of the queue of a request's pieces, unless unknown or outdated.
    pub fn load(&self, cx: &Rc<Traffic>, service: &str, request_id: &str) -> Option<QueueLoad> {
        let now = cx.clock.now();
        let queue = queue_for(cx, service, request_id);
        if let Owner::Me = owner_of(cx, &queue) {
            let batcher = self.batchers.borrow().get(&queue).cloned();
            return batcher.map(|batcher| batcher.queue.borrow().load(now));
        }
        let loads = self.loads.borrow();
        let (received, load) = loads.get(&queue)?;
        (now - received <= LOAD_TTL_MS).then(|| load.clone())
    }

    /// Returns the batcher of a queue, created if needed; `None` if its service produces no
    /// pieces.
    fn batcher(&self, cx: &Rc<Traffic>, name: &str) -> Option<Rc<Batcher>> {
        if let Some(known) = self.batchers.borrow().get(name) {
            return Some(known.clone());
        }
        let (service, group) = TargetGroup::parse(name)?;
        let deployment = cx.deployment()?;
        let key = deployment.service_named(service)?;
        let pool = deployment.service(key).stage_pool.as_ref()?;
        let batcher = Batcher::new(cx, name, pool);
        batcher.set_order(cx.reservations.queue_order(cx, &deployment, key));
        batcher.update_targets(cx, &queue_targets(cx, service, group));
        let mut batchers = self.batchers.borrow_mut();
        batchers.insert(name.to_string(), batcher.clone());
        Some(batcher)
    }

    /// Accepts a piece from a peer. Sends it back if this entry has no configuration, or is lagging
    /// and another one owns the queue.
    pub fn accept_piece(&self, cx: &Rc<Traffic>, from: &PeerRecord, request: ProducePieceRequest) {
        if self.dropped.contains(from.id, request.id) {
            // The peer has asked about it before this message arrived, and has it sent by others.
            return;
        }
        let link = cx.peers.link_to(cx, from);
        let has_owner = || matches!(owner_of(cx, &request.queue), Owner::Peer(_));
        if cx.deployment().is_none() || (cx.lag.get().is_lagging() && has_owner()) {
            link.send(Message::PieceEnded(request.id, peers::PieceOutcome::Moved));
            return;
        }
        let Some(batcher) = self.batcher(cx, &request.queue) else {
            // The service isn't, or is no longer, in this entry's configuration.
            let end = peers::PieceOutcome::Failed(PieceFailure::Failed);
            link.send(Message::PieceEnded(request.id, end));
            return;
        };
        let now = cx.clock.now();
        let piece_request = PieceRequest {
            deadline: now.saturating_add(request.piece.remaining_ms),
            piece: request.piece.into(),
            request: request.request,
            priority: request.priority,
            due: now.saturating_add_signed(request.due_in_ms),
            expires: now.saturating_add(request.expires_in_ms),
            result_bytes: request.result_bytes,
            has_large_inputs: request.has_large_inputs,
            hall: request.hall,
            halls: request.halls,
        };
        batcher.accept_from_peer(link, request.id, piece_request);
    }

    /// Decides on an entry's request for capacity in a queue.
    pub fn reserve(
        &self,
        cx: &Rc<Traffic>,
        from: PeerId,
        request: &Reserve,
        weight: f64,
    ) -> ReservationReply {
        if matches!(owner_of(cx, &request.queue), Owner::Peer(_)) {
            return ReservationReply::NotOwner;
        }
        match self.batcher(cx, &request.queue) {
            Some(batcher) => batcher.reserve(cx, from, request, weight),
            // The service isn't, or is no longer, in this entry's configuration.
            None => ReservationReply::NotOwner,
        }
    }

    /// Cancels what is left of a reservation.
    pub fn cancel_reservation(&self, queue: &str, from: PeerId, request_id: &str) {
        let batcher = self.batchers.borrow().get(queue).cloned();
        if let Some(batcher) = batcher {
            batcher.cancel_reservation(from, request_id);
        }
    }

    /// Remembers the sends of a peer's piece that isn't sent any more.
    fn record_dropped(
        &self,
        now: Millis,
        (from, id): (PeerId, PieceId),
        service: &str,
        work: Work,
    ) {
        if work.unsettled(now) > 0 {
            self.dropped.add(now, from, id, service, work);
        }
    }

    /// Drops pieces of a peer. Says for each if nothing of it can arrive any more, or this entry charges
    /// what can.
    pub fn answer_for(&self, cx: &Traffic, from: PeerId, ids: &[PieceId]) -> Vec<bool> {
        let now = cx.clock.now();
        self.dropped.prune(now);
        let answers = ids.iter().map(|id| {
            self.cancel_piece(from, *id);
            let dropped = self.dropped.find(now, from, *id);
            dropped.is_none_or(|(service, work)| cx.cover_repeats(&service, &work))
        });
        answers.collect()
    }

    /// Cancels a peer's piece, or releases its result if the piece is complete.
    pub fn cancel_piece(&self, from: PeerId, id: PieceId) {
        let all = self.all();
        all.iter()
            .for_each(|batcher| batcher.cancel_piece(from, id));
    }

    /// Releases a result of a queue, including one produced under an earlier owner.
    pub fn release(&self, cx: &Rc<Traffic>, result: &UnneededResult) {
        if let Some(batcher) = self.batcher(cx, &result.queue) {
            batcher.release_at(&result.target, &result.handle);
        }
    }

    /// Takes over the state of a queue's workers from the previous owner.
    pub fn take_over(&self, cx: &Rc<Traffic>, queue: &str, workers: &[WorkerHandover]) {
        if let Some(batcher) = self.batcher(cx, queue) {
            batcher.take_over(workers);
        }
    }

    /// Hands over the queues that another entry owns now.
    pub fn hand_over(&self, cx: &Rc<Traffic>) {
        for batcher in self.all() {
            match owner_of(cx, batcher.name()) {
                Owner::Peer(link) => batcher.hand_over(&link),
                Owner::Me => batcher.mark_owned(),
            }
        }
    }

    /// Cancels the pieces and releases the results of a lost peer.
    pub fn requester_lost(&self, peer: PeerId) {
        let all = self.all();
        all.iter().for_each(|batcher| batcher.requester_lost(peer));
    }

    /// True while calls of this entry's queues are in progress.
    pub fn has_running_calls(&self) -> bool {
        let batchers = self.batchers.borrow();
        batchers
            .values()
            .any(|batcher| batcher.queue.borrow().running() > 0)
    }

    /// Returns true if a matching worker of the service runs pieces or retains results.
    pub fn has_work_at(&self, service: &str, matches: impl Fn(&Target) -> bool) -> bool {
        let of_service = |batcher: &Rc<Batcher>| {
            TargetGroup::parse(batcher.name()).is_some_and(|(name, _)| name == service)
        };
        let batchers = self.all();
        let mut batchers = batchers.iter().filter(|batcher| of_service(batcher));
        batchers.any(|batcher| batcher.has_work_at(&matches))
    }

    fn all(&self) -> Vec<Rc<Batcher>> {
        self.batchers.borrow().values().cloned().collect()
    }

    /// Applies the pool rules and targets of a new view.
    pub fn update_targets(&self, cx: &Rc<Traffic>) {
        self.update_targets_where(cx, |_| true);
    }

    /// Applies the pool rules and targets of one service.
    pub fn update_service_targets(&self, cx: &Rc<Traffic>, service: &str) {
        self.update_targets_where(cx, |known| known == service);
    }

    fn update_targets_where(&self, cx: &Rc<Traffic>, is_affected: impl Fn(&str) -> bool) {
        let Some(deployment) = cx.deployment_in_use() else {
            return;
        };
        for batcher in self.all() {
            let parsed = TargetGroup::parse(batcher.name());
            let Some((service, group)) = parsed.filter(|(service, _)| is_affected(service)) else {
                continue;
            };
            let key = deployment.service_named(service);
            let pool =
                key.and_then(|key| Some((key, deployment.service(key).stage_pool.as_ref()?)));
            if let Some((key, pool)) = pool {
                batcher.set_rules(pool);
                batcher.set_order(cx.reservations.queue_order(cx, &deployment, key));
            }
            batcher.update_targets(cx, &queue_targets(cx, service, group));
        }
    }
}

/// A peer that requested a piece, and its id for the piece.
pub(crate) struct Requester {
    pub link: Rc<Link>,
    pub id: PieceId,
}
