//! Connection to one peer for messages.
//!
//! One envelope is sent at a time; messages queued meanwhile go into the next one. While
//! replies are pending, empty envelopes probe a silent peer. A peer that does not accept an
//! envelope in time is considered lost, and everything that waits for it fails.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollowsail_connect::{dial, DialError, Dialer, Pool, PoolRules, SendError};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, Millis};
use hollowsail_targets::LimitKind;
use http::StatusCode;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};

use super::dropped_pieces::DROPPED_PIECES_PATH;
use super::messages::{
    Envelope, Message, PieceId, PieceOutcome, PlacementId, PlacementReply, ProducePieceRequest,
    TargetReportMessage, PATH, TARGET_REPORTS_PATH,
};
use super::record::PeerRecord;
use super::started_pieces::{StartedReply, STARTED_PIECES_PATH};
use crate::batched_calls::BatchedCalls;
use crate::crashes::{PartMessage, TrialReply, PARTS_PATH};
use crate::peer_call::request;
use crate::reservations::{ReservationCalls, RESERVATIONS_PATH};
use crate::target_reports;
use crate::traffic::Traffic;

/// Timeout for a peer to accept an envelope. A healthy peer needs a few milliseconds, one on a slow
/// host some dozens.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of the check whether a peer that is lost has ended.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Silence after which a peer with pending replies is probed.
const PROBE_AFTER: Duration = Duration::from_millis(200);
/// Largest accepted record of another run, in bytes.
const MAX_RECORD_BYTES: usize = 4 << 10;
/// Time in which messages are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// The peer did not accept an envelope in time; messages sent to it may have been handled or
/// not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLost {
    /// A worker may have got the piece, or may get it yet.
    pub may_be_sent: bool,
}

impl LinkLost {
    /// The message wasn't sent.
    const UNSENT: LinkLost = LinkLost { may_be_sent: false };
    /// The link was dropped with what waited for it.
    const UNKNOWN: LinkLost = LinkLost { may_be_sent: true };
}

/// What is known of a peer whose link is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerEnd {
    /// Its process has ended: it sends nothing more.
    Ended,
    /// It may run on behind a cut, or wake again.
    Unknown,
}

/// A piece that the peer is to produce.
struct AwaitedPiece {
    outcome: oneshot::Sender<RemoteOutcome>,
    requested_at: Millis,
    /// The peer said that it sends it to a worker.
    is_started: bool,
}

/// Outcome of a piece at a peer.
pub type RemoteOutcome = Result<PieceOutcome, LinkLost>;

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"))]
    Send { source: SendError },
    #[snafu(display("envelope not accepted within {} ms", DELIVERY_TIMEOUT.as_millis()))]
    TimedOut,
    #[snafu(display("envelope rejected with status {status}"))]
    Refused { status: StatusCode },
    /// Another run of the same host responded.
    #[snafu(display("replaced by another run at {}", by.addr))]
    Replaced { by: Box<PeerRecord> },
}

/// Connection to one run of one peer.
pub struct Link {
    cx: Weak<Traffic>,
    pub peer: PeerRecord,
    pool: Rc<Pool>,
    /// Reservations in the queues that the peer owns.
    pub reservations: Rc<ReservationCalls>,
    /// Reports of targets that older builds don't know.
    pub reports: Rc<BatchedCalls<TargetReportMessage, ()>>,
    /// Parts of prompts that crash targets.
    pub parts: Rc<BatchedCalls<PartMessage, TrialReply>>,
    outbox: RefCell<Vec<Message>>,
    /// To the requester of a piece: it is sent to a worker.
    pub started_pieces: Rc<BatchedCalls<PieceId, StartedReply>>,
    /// Questions about pieces that the peer doesn't send any more.
    pub dropped_pieces: Rc<BatchedCalls<PieceId, bool>>,
    awaited: RefCell<HashMap<PieceId, AwaitedPiece>>,
    awaited_placements: RefCell<HashMap<PlacementId, mpsc::UnboundedSender<PlacementReply>>>,
    is_sending: Cell<bool>,
    is_probing: Cell<bool>,
    last_received: Cell<Instant>,
    /// The peer knows from the last envelope that this entry declines ownership.
    told_declining: Cell<bool>,
    is_closed: Cell<bool>,
}

/// Cancels a piece at the peer when dropped before its outcome.
struct PendingPiece<'a> {
    link: &'a Rc<Link>,
    id: PieceId,
}

impl Drop for PendingPiece<'_> {
    fn drop(&mut self) {
        if self.link.awaited.borrow_mut().remove(&self.id).is_some() {
            self.link.send(Message::CancelPiece(self.id));
        }
    }
}

/// A pending placement request; dropping it discards further replies.
pub struct PlacementRequest {
    link: Rc<Link>,
    id: PlacementId,
    answers: mpsc::UnboundedReceiver<PlacementReply>,
}

impl PlacementRequest {
    /// The scheduler's next reply; `None` when the peer is lost.
    pub async fn next(&mut self) -> Option<PlacementReply> {
        self.answers.recv().await
    }
}

impl Drop for PlacementRequest {
    fn drop(&mut self) {
        self.link.awaited_placements.borrow_mut().remove(&self.id);
    }
}

impl Link {
    /// Creates the link; it connects with the first message.
    pub fn new(cx: &Rc<Traffic>, peer: PeerRecord) -> Rc<Self> {
        let rules = PoolRules {
            dial_timeout: DELIVERY_TIMEOUT,
            max_idle: 1,
            idle_timeout: Duration::from_secs(60),
        };
        let dialer = || Dialer::counted(peer.addr, cx.load.peers.clone());
        Rc::new(Link {
            cx: Rc::downgrade(cx),
            pool: Pool::with_dialer(peer.addr, rules, dialer()),
            reservations: BatchedCalls::new(cx.me.id.0, dialer(), peer.addr, RESERVATIONS_PATH),
            reports: BatchedCalls::new(cx.me.id.0, dialer(), peer.addr, TARGET_REPORTS_PATH),
            parts: BatchedCalls::new(cx.me.id.0, dialer(), peer.addr, PARTS_PATH),
            started_pieces: BatchedCalls::new(cx.me.id.0, dialer(), peer.addr, STARTED_PIECES_PATH),
            dropped_pieces: BatchedCalls::new(cx.me.id.0, dialer(), peer.addr, DROPPED_PIECES_PATH),
            peer,
            outbox: RefCell::default(),
            awaited: RefCell::default(),
            awaited_placements: RefCell::default(),
            is_sending: Cell::new(false),
            is_probing: Cell::new(false),
            last_received: Cell::new(Instant::now()),
            told_declining: Cell::new(false),
            is_closed: Cell::new(false),
        })
    }

    /// Queues a message; messages queued at the same time are batched.
    pub fn send(self: &Rc<Self>, message: Message) {
        if self.is_closed.get() {
            self.handle_undelivered(message);
            return;
        }
        self.outbox.borrow_mut().push(message);
        if !self.is_sending.replace(true) {
            actix_rt::spawn(self.clone().send_all());
        }
    }

    /// Has the peer produce a piece; [`LinkLost`] when the peer is lost meanwhile. Dropping
    /// the future cancels the piece.
    pub async fn request_piece(self: &Rc<Self>, piece: ProducePieceRequest) -> RemoteOutcome {
        if self.is_closed.get() {
            return Err(LinkLost::UNSENT);
        }
        let id = piece.id;
        let (outcome, rx) = oneshot::channel();
        let awaited = AwaitedPiece {
            outcome,
            requested_at: self.now(),
            is_started: false,
        };
        self.awaited.borrow_mut().insert(id, awaited);
        let _pending = PendingPiece { link: self, id };
        self.send(Message::ProducePiece(Box::new(piece)));
        self.probe_while_awaiting();
        rx.await.unwrap_or(Err(LinkLost::UNKNOWN))
    }

    /// Current time; 0 once the entry's traffic is dropped.
    fn now(&self) -> Millis {
        self.cx.upgrade().map_or(0, |cx| cx.clock.now())
    }

    fn has_stalled_since(&self, since: Millis) -> bool {
        let cx = self.cx.upgrade();
        cx.is_none_or(|cx| cx.lag.get().has_stalled_since(since, cx.clock.now()))
    }

    /// Records that the peer sends a piece to a worker. False if no requester waits for the piece.
    pub fn record_started(&self, id: PieceId) -> bool {
        match self.awaited.borrow_mut().get_mut(&id) {
            Some(awaited) => {
                awaited.is_started = true;
                true
            }
            None => false,
        }
    }

    /// Requests a placement from a scheduler of the peer. The caller bounds the time.
    pub fn request_placement(
        self: &Rc<Self>,
        id: PlacementId,
        scheduler: String,
        demand: Demand<Incarnation>,
    ) -> PlacementRequest {
        let (tx, answers) = mpsc::unbounded_channel();
        if !self.is_closed.get() {
            self.awaited_placements.borrow_mut().insert(id, tx);
            let demand = Box::new(demand);
            self.send(Message::Place {
                id,
                scheduler,
                demand,
            });
        }
        PlacementRequest {
            link: self.clone(),
            id,
            answers,
        }
    }

    /// A reply of the peer's scheduler was received.
    pub fn on_placement_reply(self: &Rc<Self>, id: PlacementId, answer: PlacementReply) {
        if answer == PlacementReply::Queued {
            let awaited = self.awaited_placements.borrow();
            // Absent when the requester chose an engine itself; the scheduler is notified then.
            awaited
                .get(&id)
                .into_iter()
                .for_each(|tx| drop(tx.send(answer.clone())));
            drop(awaited);
            self.probe_while_awaiting();
        } else if let Some(tx) = self.awaited_placements.borrow_mut().remove(&id) {
            let _sent = tx.send(answer);
        }
    }

    /// The outcome of a piece was received. False when no requester waits for it.
    pub fn complete_piece(&self, id: PieceId, end: PieceOutcome) -> bool {
        let requester = self.awaited.borrow_mut().remove(&id);
        requester.is_some_and(|awaited| awaited.outcome.send(Ok(end)).is_ok())
    }

    /// Records that the peer sent something.
    pub fn record_activity(&self) {
        self.last_received.set(Instant::now());
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// True while replies from the peer are pending.
    fn is_awaiting(&self) -> bool {
        !self.awaited.borrow().is_empty() || !self.awaited_placements.borrow().is_empty()
    }

    /// True when no replies are pending and no messages are being sent.
    pub fn is_idle(&self) -> bool {
        !self.is_awaiting() && self.outbox.borrow().is_empty() && !self.is_sending.get()
    }

    /// Closes the link; everything that waits for the peer fails.
    pub fn close(&self, end: PeerEnd) {
        self.is_closed.set(true);
        let unsent = std::mem::take(&mut *self.outbox.borrow_mut());
        let mut undelivered = HashSet::new();
        for message in unsent {
            if let Message::ProducePiece(piece) = &message {
                undelivered.insert(piece.id);
            }
            self.handle_undelivered(message);
        }
        self.awaited_placements.borrow_mut().clear();
        let waiting = std::mem::take(&mut *self.awaited.borrow_mut());
        for (id, awaited) in waiting {
            let is_delivered = !undelivered.contains(&id);
            let lost = match end {
                // The notice may have been missed while this process stood still.
                PeerEnd::Ended => LinkLost {
                    may_be_sent: awaited.is_started || self.has_stalled_since(awaited.requested_at),
                },
                PeerEnd::Unknown => LinkLost {
                    may_be_sent: is_delivered,
                },
            };
            // The receiver may be gone.
            let _sent = awaited.outcome.send(Err(lost));
        }
    }

    /// Handles a message that the peer did not receive: releases of results, crash counts and
    /// broadcasts are done by this entry; all others are dropped.
    fn handle_undelivered(&self, message: Message) {
        let Some(cx) = self.cx.upgrade() else { return };
        match message {
            Message::ReleaseResult(result) => cx.pools.release(&cx, &result),
            Message::TargetCrashed { request, run } => cx.crashes.count(&cx, request, run),
            // The coordinator is unreachable: this entry broadcasts.
            Message::TargetDraining {
                target,
                broadcast: true,
            } => target_reports::on_draining_notice(&cx, &target, true),
            Message::TargetLimit {
                target,
                broadcast: true,
                ..
            } => target_reports::broadcast_limit(&cx, &target, LimitKind::Requests),
            _ => {}
        }
    }

    async fn send_all(self: Rc<Self>) {
        tokio::time::sleep(BATCH_DELAY).await;
        loop {
            let messages = std::mem::take(&mut *self.outbox.borrow_mut());
            if messages.is_empty() && !self.owes_end_of_declining() {
                self.is_sending.set(false);
                return;
            }
            if !self.deliver(messages).await {
                return;
            }
        }
    }

    /// Tells the peer that this entry may own keys again, if the peer was told otherwise. Envelopes that
    /// are being sent are followed by one that says so.
    pub async fn end_declining(self: &Rc<Self>) {
        if self.owes_end_of_declining() && !self.is_closed.get() && !self.is_sending.replace(true) {
            self.clone().send_all().await;
        }
    }

    /// True while the peer knows that this entry declines ownership, though it doesn't any more.
    fn owes_end_of_declining(&self) -> bool {
        let cx = self.cx.upgrade();
        self.told_declining.get() && cx.is_some_and(|cx| !cx.declines_ownership())
    }

    /// Delivers an envelope and closes the link on failure. True when it was accepted.
    async fn deliver(self: &Rc<Self>, messages: Vec<Message>) -> bool {
        let Some(cx) = self.cx.upgrade() else {
            return false;
        };
        let envelope = Envelope {
            from: cx.me.clone(),
            to: self.peer.id,
            is_lagging: cx.declines_ownership(),
            messages,
        };
        let result = match tokio::time::timeout(DELIVERY_TIMEOUT, self.post(&envelope)).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::TimedOut),
        };
        let Err(err) = result else {
            self.told_declining.set(envelope.is_lagging);
            self.record_activity();
            cx.peers.record_in_touch(&cx, self);
            return true;
        };
        let end = match err {
            LinkError::Replaced { by } => {
                cx.peers.observed(&cx, &by);
                PeerEnd::Ended
            }
            err => {
                cx.peers.suspect(&cx, &self.peer, &err.to_string());
                self.find_end().await
            }
        };
        self.close(end);
        let unsent = envelope.messages.into_iter();
        unsent.for_each(|message| self.handle_undelivered(message));
        false
    }

    /// Whether the peer's process has ended: nothing listens at its address.
    async fn find_end(&self) -> PeerEnd {
        match dial(self.peer.addr, END_CHECK_TIMEOUT).await {
            Err(DialError::Refused { .. }) => PeerEnd::Ended,
            Ok(_) | Err(_) => PeerEnd::Unknown,
        }
    }

    async fn post(&self, envelope: &Envelope) -> Result<(), LinkError> {
        let req = request(PATH, envelope);
        // Another run responds with its record; any other response has no body.
        let answer = self
            .pool
            .call(req, MAX_RECORD_BYTES)
            .await
            .map_err(|source| LinkError::Send { source })?;
        match answer.head.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::MISDIRECTED_REQUEST => Err(self.replaced_by(answer.body.ok().flatten())),
            status => Err(LinkError::Refused { status }),
        }
    }

    /// The error for a response of another run. Only a run on the same host replaces the peer.
    fn replaced_by(&self, body: Option<Bytes>) -> LinkError {
        let record = body.and_then(|body| rmp_serde::from_slice::<PeerRecord>(&body).ok());
        match record.filter(|record| record.host == self.peer.host) {
            Some(by) => LinkError::Replaced { by: Box::new(by) },
            None => LinkError::Refused {
                status: StatusCode::MISDIRECTED_REQUEST,
            },
        }
    }

    /// Probes a silent peer while replies are pending.
    fn probe_while_awaiting(self: &Rc<Self>) {
        if self.is_probing.replace(true) {
            return;
        }
        let link = self.clone();
        actix_rt::spawn(async move {
            while link.is_awaiting() && !link.is_closed.get() {
                tokio::time::sleep(PROBE_AFTER).await;
                let is_silent = link.last_received.get().elapsed() >= PROBE_AFTER;
                if is_silent && !link.is_sending.get() && !link.deliver(Vec::new()).await {
                    break;
                }
            }
            link.is_probing.set(false);
        });
    }
}
