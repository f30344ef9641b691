//! Produces the pieces of one queue.
//!
//! Requests and peers submit pieces, `hollowsail-stages` batches them into calls, and
//! [`super::call`] makes the calls. Outcomes go to the requesters ([`replies`]); results are
//! tracked until they are released or expire ([`results`]). When the queue gets another owner,
//! waiting pieces go there ([`hand_over`]). Reservations are in [`reserved`].

mod decision_log;
mod hand_over;
mod replies;
mod reserved;
mod results;
mod workers;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hollowsail_fleet::rendezvous;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::deployment::StagePool;
use hollowsail_platform::pieces::{Piece, PieceFailure};
use hollowsail_routing::repeats::{RepeatReason, SendPermit, Work};
use hollowsail_routing::{Millis, RequestDigest};
use hollowsail_stages::{BatchQueue, GroupKey, Halls, PieceKey, PieceOrder, PoolRules, WorkerKey};
use tokio::sync::oneshot;

use self::replies::Reply;
use self::reserved::ReservationTable;
use self::results::Results;
use self::workers::Workers;
use super::{call, PieceRequest, Requester};
use crate::mechanisms::Mechanism;
use crate::ownership_age::OwnershipAge;
use crate::peers::{Link, PeerId, PieceId};
use crate::repeats::Repeat;
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

pub(super) use self::replies::LocalOutcome;
pub(super) use self::results::PendingRelease;

/// Interval between checks for expired pieces and overdue calls while the queue is busy.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// A piece that is waiting or in progress.
pub(super) struct Job {
    pub piece: Rc<Piece>,
    /// Time at which its request's stages are cancelled.
    pub deadline: Millis,
    /// Digest of its request's content; equal requests have equal digests.
    pub request: RequestDigest,
    /// Failed attempts.
    pub failures: u32,
    /// Why its worker didn't complete it in the last call.
    pub last_failure: Option<RepeatReason>,
    /// All of its sends.
    pub work: Work,
    /// Permits the next send. A waiting piece has one; the call that sends it takes it.
    pub permit: Option<SendPermit>,
    /// Worker crashes in calls with this piece.
    pub crashes: u32,
    /// Of these, crashes in calls with pieces of its request only.
    pub crashes_alone: u32,
    reply: Reply,
}

impl Job {
    /// The piece, to be sent to a worker of the service again.
    pub fn repeat<'a>(&'a self, service: &'a str, reason: RepeatReason) -> Repeat<'a> {
        Repeat::of_piece(service, &self.piece, &self.work, reason)
    }
}

/// Produces the pieces of one queue with the targets of its group.
pub struct Batcher {
    cx: Weak<Traffic>,
    name: String,
    pub(super) queue: RefCell<BatchQueue<Job>>,
    workers: RefCell<Workers>,
    results: RefCell<Results>,
    /// Unfinished pieces of peers.
    peer_pieces: RefCell<HashMap<(PeerId, PieceId), PieceKey>>,
    reservations: RefCell<ReservationTable>,
    /// Results to release, by the worker that retains them.
    pending_releases: RefCell<HashMap<WorkerKey, Vec<PendingRelease>>>,
    /// Time of the last load report to each peer.
    load_sent: RefCell<HashMap<PeerId, Millis>>,
    /// How long a worker retains an unreleased result, in milliseconds.
    retention_ms: Cell<Millis>,
    /// Some worker reports a limit.
    has_limits: Cell<bool>,
    ownership_age: OwnershipAge,
    /// The owner that was told the state of the workers, while this entry isn't the owner.
    handed_over_to: Cell<Option<PeerId>>,
    is_pump_scheduled: Cell<bool>,
    is_ticking: Cell<bool>,
    is_releasing: Cell<bool>,
}

/// Removes a piece from the queue when its request stops waiting.
struct SubmittedPiece<'a> {
    batcher: &'a Batcher,
    piece: PieceKey,
}

impl Drop for SubmittedPiece<'_> {
    fn drop(&mut self) {
        self.batcher.queue.borrow_mut().finish(self.piece);
    }
}

fn rules_of(pool: &StagePool) -> PoolRules {
    PoolRules {
        running: pool.max_running as usize,
        batch: pool.batch,
        call_ms: pool.call_time.as_secs_f64() * 1000.0,
        piece_ms: pool.piece_time.as_secs_f64() * 1000.0,
        result_bytes: pool.result_bytes,
    }
}

impl Batcher {
    /// Creates a batcher without targets.
    pub fn new(cx: &Rc<Traffic>, name: &str, pool: &StagePool) -> Rc<Self> {
        Rc::new(Batcher {
            cx: Rc::downgrade(cx),
            name: name.to_string(),
            queue: RefCell::new(BatchQueue::new(rules_of(pool))),
            workers: RefCell::default(),
            results: RefCell::default(),
            peer_pieces: RefCell::default(),
            reservations: RefCell::default(),
            pending_releases: RefCell::default(),
            load_sent: RefCell::default(),
            retention_ms: Cell::new(pool.retention.as_millis() as Millis),
            has_limits: Cell::new(false),
            ownership_age: OwnershipAge::default(),
            handed_over_to: Cell::new(None),
            is_pump_scheduled: Cell::new(false),
            is_ticking: Cell::new(false),
            is_releasing: Cell::new(false),
        })
    }

    /// Name of the queue.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Name of the service whose targets are its workers.
    pub fn service(&self) -> &str {
        TargetGroup::parse(&self.name).map_or(&self.name, |(service, _)| service)
    }

    /// How long a worker retains an unreleased result, in milliseconds.
    pub(super) fn retention_ms(&self) -> Millis {
        self.retention_ms.get()
    }

    /// Current time; 0 once the entry's traffic is dropped.
    fn now(&self) -> Millis {
        self.cx.upgrade().map_or(0, |cx| cx.clock.now())
    }

    /// Sets the rules for future calls.
    pub fn set_rules(&self, pool: &StagePool) {
        self.queue.borrow_mut().set_rules(rules_of(pool));
        self.retention_ms.set(pool.retention.as_millis() as Millis);
    }

    fn has(&self, mechanism: Mechanism) -> bool {
        self.cx.upgrade().is_none_or(|cx| cx.has(mechanism))
    }

    /// Group of pieces to batch together: those of one stage of one request.
    fn group_of(&self, piece: &Piece) -> GroupKey {
        GroupKey(match self.has(Mechanism::Groups) {
            true => rendezvous::score(&piece.request_id, piece.stage),
            false => rendezvous::score(&piece.request_id, (piece.stage, piece.piece)),
        })
    }

    /// Produces a piece. Dropping the future cancels it.
    pub(super) async fn produce(
        self: &Rc<Self>,
        piece_request: PieceRequest,
        permit: SendPermit,
    ) -> LocalOutcome {
        let (sender, result) = oneshot::channel();
        let key = self.push(piece_request, permit, Reply::Local(sender));
        let _submitted = SubmittedPiece {
            batcher: self,
            piece: key,
        };
        result
            .await
            .unwrap_or(LocalOutcome::Failed(PieceFailure::Failed))
    }

    /// Produces a piece for a peer.
    pub fn accept_from_peer(
        self: &Rc<Self>,
        link: Rc<Link>,
        id: PieceId,
        piece_request: PieceRequest,
    ) {
        let peer = link.peer.id;
        let permit = SendPermit::from_peer(self.now(), &Work::default());
        let key = self.push(piece_request, permit, Reply::Peer(Requester { link, id }));
        self.peer_pieces.borrow_mut().insert((peer, id), key);
    }

    fn push(
        self: &Rc<Self>,
        piece_request: PieceRequest,
        permit: SendPermit,
        reply: Reply,
    ) -> PieceKey {
        let now = self.now();
        self.begin_reserved(&reply, &piece_request.piece);
        let hall = piece_request
            .hall
            .filter(|_| self.has(Mechanism::Halls))
            .map(|hall| self.workers.borrow_mut().hall(&hall));
        let halls = piece_request.halls.map_or(Halls::ALL, |halls| {
            let mut workers = self.workers.borrow_mut();
            Halls::only(halls.iter().map(|hall| workers.hall(hall)))
        });
        let order = PieceOrder {
            priority: piece_request.priority,
            due: piece_request.due,
            expires: piece_request.expires,
            result_bytes: piece_request.result_bytes,
            group: self.group_of(&piece_request.piece),
            has_large_inputs: piece_request.has_large_inputs,
            hall,
            halls,
        };
        let job = Job {
            piece: Rc::new(piece_request.piece),
            deadline: piece_request.deadline,
            request: piece_request.request,
            failures: 0,
            last_failure: None,
            work: permit.work().clone(),
            permit: Some(permit),
            crashes: 0,
            crashes_alone: 0,
            reply,
        };
        let key = self.queue.borrow_mut().push(order, job, now);
        if self.is_suspect(piece_request.request) {
            self.queue.borrow_mut().isolate(key);
        }
        self.pump_soon();
        key
    }

    /// Returns true if targets have crashed while serving the request.
    fn is_suspect(&self, request: RequestDigest) -> bool {
        let cx = self.cx.upgrade();
        cx.is_some_and(|cx| cx.crashes.is_suspect(&cx, || request))
    }

    /// Schedules [`Self::pump`] after the tasks that are ready now, so that pieces submitted
    /// together share a call.
    fn pump_soon(self: &Rc<Self>) {
        if self.is_pump_scheduled.replace(true) {
            return;
        }
        let batcher = self.clone();
        actix_rt::spawn(async move {
            batcher.is_pump_scheduled.set(false);
            batcher.pump();
        });
    }

    fn update_limit_share(&self, cx: &Rc<Traffic>) {
        let share = self.ownership_age.limit_share(cx, &self.name);
        self.queue.borrow_mut().set_limit_share(share);
    }

    /// Starts every call that can start now.
    pub(super) fn pump(self: &Rc<Self>) {
        let Some(cx) = self.cx.upgrade() else {
            return;
        };
        if self.has_limits.get() {
            self.update_limit_share(&cx);
        }
        loop {
            let next = self.queue.borrow_mut().next_call(cx.clock.now());
            let Some(started) = next else { break };
            let target = self.workers.borrow().target(started.worker);
            if let Some(target) = target {
                actix_rt::spawn(call::run(cx.clone(), self.clone(), started, target));
            }
        }
        self.tick_while_busy(&cx);
    }

    /// Runs [`Self::tick`] periodically until the queue is idle.
    fn tick_while_busy(self: &Rc<Self>, cx: &Rc<Traffic>) {
        if self.is_ticking.get() || self.is_idle() {
            return;
        }
        self.is_ticking.set(true);
        let (batcher, cx) = (self.clone(), cx.clone());
        actix_rt::spawn(async move {
            while !batcher.is_idle() {
                tokio::time::sleep(TICK_INTERVAL).await;
                batcher.tick(&cx);
            }
            batcher.is_ticking.set(false);
        });
    }

    fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.waiting() == 0
            && queue.running() == 0
            && self.results.borrow().is_empty()
            && self.reservations.borrow().is_idle()
    }

    fn tick(self: &Rc<Self>, cx: &Rc<Traffic>) {
        let now = cx.clock.now();
        let expired = self.queue.borrow().expired(now);
        for piece in expired {
            self.failed(piece, PieceFailure::Late);
        }
        self.remove_expired_results(now);
        self.sweep_reservations(cx, now);
        let may_repeat = |job: &mut Job| {
            let repeat = job.repeat(self.service(), RepeatReason::CallOverdue);
            job.permit = cx.permit_repeat(&repeat);
            job.permit.is_some()
        };
        let overdue = match cx.has(Mechanism::Overdue) {
            true => self.queue.borrow_mut().take_overdue(now, may_repeat),
            false => Vec::new(),
        };
        for worker in overdue {
            if let Some(target) = self.workers.borrow().target(worker) {
                let fields = format_args!(
                    "queue={} target={} why=call_overdue",
                    Field(&self.name),
                    Field(&target.record.incarnation.id)
                );
                cx.log.line(events::TARGET_EJECTED, fields);
            }
        }
        self.pump();
    }
}
