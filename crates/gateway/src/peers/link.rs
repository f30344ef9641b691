//! Messages to one peer.
//!
//! One envelope is under way at a time; what is to be sent meanwhile goes into
//! the next one. While answers are awaited from the peer, an empty envelope
//! goes out now and then: a peer that takes none in time is lost, and everything
//! that waits for it is told.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hollowsail_connect::{Pool, PoolRules, SendError};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Demand;
use http::StatusCode;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot};

use super::messages::{
    self, Envelope, MakePiece, Message, PieceEnd, PieceId, PlaceAnswer, PlacementId, PATH,
};
use super::record::PeerRecord;
use crate::target_words;
use crate::traffic::Traffic;

/// Longest time for a peer to take an envelope. A healthy one needs a few
/// milliseconds, a slowed one some dozens.
const TAKEN_WITHIN: Duration = Duration::from_millis(350);
/// Silence after which a peer that owes an answer is asked whether it lives.
const ASK_AFTER: Duration = Duration::from_millis(200);
/// Longest record of another run that is read, in bytes: some names and an address.
const MOST_RECORD_BYTES: usize = 4 << 10;
/// Time in which messages gather before they are sent.
const GATHER: Duration = Duration::from_millis(1);

/// The peer took no envelope in time; what it was asked may be done or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkLost;

/// How a piece at a peer ended.
pub type RemoteEnd = Result<PieceEnd, LinkLost>;

#[derive(Debug, Snafu)]
enum LinkError {
    #[snafu(display("{source}"))]
    Send { source: SendError },
    #[snafu(display("no envelope taken within {} ms", TAKEN_WITHIN.as_millis()))]
    Silent,
    #[snafu(display("envelope refused with status {status}"))]
    Refused { status: StatusCode },
    /// Another run of the same host answered.
    #[snafu(display("another run is at {}", by.addr))]
    Replaced { by: Box<PeerRecord> },
}

/// Messages to one run of one peer.
pub struct Link {
    cx: Weak<Traffic>,
    pub peer: PeerRecord,
    pool: Rc<Pool>,
    outbox: RefCell<Vec<Message>>,
    awaited: RefCell<HashMap<PieceId, oneshot::Sender<RemoteEnd>>>,
    awaited_places: RefCell<HashMap<PlacementId, mpsc::UnboundedSender<PlaceAnswer>>>,
    is_sending: Cell<bool>,
    is_asking: Cell<bool>,
    heard: Cell<Instant>,
    is_closed: Cell<bool>,
}

/// Tells the peer when a piece is no longer waited for.
struct Awaited<'a> {
    link: &'a Rc<Link>,
    id: PieceId,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        if self.link.awaited.borrow_mut().remove(&self.id).is_some() {
            self.link.send(Message::GiveUp(self.id));
        }
    }
}

/// A demand at a peer's desk, until it is dropped.
pub struct PlaceAsk {
    link: Rc<Link>,
    id: PlacementId,
    answers: mpsc::UnboundedReceiver<PlaceAnswer>,
}

impl PlaceAsk {
    /// The desk's next answer; `None` when its entry is lost.
    pub async fn next(&mut self) -> Option<PlaceAnswer> {
        self.answers.recv().await
    }
}

impl Drop for PlaceAsk {
    fn drop(&mut self) {
        self.link.awaited_places.borrow_mut().remove(&self.id);
    }
}

impl Link {
    /// A link without a connection yet.
    pub fn new(cx: &Rc<Traffic>, peer: PeerRecord) -> Rc<Self> {
        let rules = PoolRules {
            dial_within: TAKEN_WITHIN,
            max_idle: 1,
            idle_for: Duration::from_secs(60),
        };
        Rc::new(Link {
            cx: Rc::downgrade(cx),
            pool: Pool::new(peer.addr, rules),
            peer,
            outbox: RefCell::default(),
            awaited: RefCell::default(),
            awaited_places: RefCell::default(),
            is_sending: Cell::new(false),
            is_asking: Cell::new(false),
            heard: Cell::new(Instant::now()),
            is_closed: Cell::new(false),
        })
    }

    /// Sends a message, with others that come at the same time.
    pub fn send(self: &Rc<Self>, message: Message) {
        if self.is_closed.get() {
            self.undelivered(message);
            return;
        }
        self.outbox.borrow_mut().push(message);
        if !self.is_sending.replace(true) {
            actix_rt::spawn(self.clone().send_all());
        }
    }

    /// Has a piece made by the peer. Dropping the future gives it up.
    pub async fn make(self: &Rc<Self>, piece: MakePiece) -> RemoteEnd {
        if self.is_closed.get() {
            return Err(LinkLost);
        }
        let id = piece.id;
        let (tx, rx) = oneshot::channel();
        self.awaited.borrow_mut().insert(id, tx);
        let _awaited = Awaited { link: self, id };
        self.send(Message::Make(Box::new(piece)));
        self.ask_while_awaiting();
        rx.await.unwrap_or(Err(LinkLost))
    }

    /// Asks a desk of the peer for a place. The asker bounds the time.
    pub fn place(
        self: &Rc<Self>,
        id: PlacementId,
        desk: String,
        demand: Demand<Incarnation>,
    ) -> PlaceAsk {
        let (tx, answers) = mpsc::unbounded_channel();
        if !self.is_closed.get() {
            self.awaited_places.borrow_mut().insert(id, tx);
            let demand = Box::new(demand);
            self.send(Message::Place { id, desk, demand });
        }
        PlaceAsk {
            link: self.clone(),
            id,
            answers,
        }
    }

    /// The peer's desk answered.
    pub fn placed(self: &Rc<Self>, id: PlacementId, answer: PlaceAnswer) {
        if answer == PlaceAnswer::Waits {
            let awaited = self.awaited_places.borrow();
            // An asker that chose by itself meanwhile told the desk so.
            awaited
                .get(&id)
                .into_iter()
                .for_each(|tx| drop(tx.send(answer.clone())));
            drop(awaited);
            self.ask_while_awaiting();
        } else if let Some(tx) = self.awaited_places.borrow_mut().remove(&id) {
            let _chose = tx.send(answer);
        }
    }

    /// The peer told how a piece ended. False when nobody waits for it.
    pub fn ended(&self, id: PieceId, end: PieceEnd) -> bool {
        let waiter = self.awaited.borrow_mut().remove(&id);
        waiter.is_some_and(|tx| tx.send(Ok(end)).is_ok())
    }

    /// The peer was heard.
    pub fn heard(&self) {
        self.heard.set(Instant::now());
    }

    /// True while the peer owes an answer.
    fn is_awaiting(&self) -> bool {
        !self.awaited.borrow().is_empty() || !self.awaited_places.borrow().is_empty()
    }

    /// True when nothing is awaited from the peer, and nothing is on its way.
    pub fn is_idle(&self) -> bool {
        !self.is_awaiting() && self.outbox.borrow().is_empty() && !self.is_sending.get()
    }

    /// Ends the link; everything that waits is told.
    pub fn close(&self) {
        self.is_closed.set(true);
        let unsent = std::mem::take(&mut *self.outbox.borrow_mut());
        unsent
            .into_iter()
            .for_each(|message| self.undelivered(message));
        self.awaited_places.borrow_mut().clear();
        let waiting = std::mem::take(&mut *self.awaited.borrow_mut());
        for tx in waiting.into_values() {
            // A waiter that left needs no answer.
            let _left = tx.send(Err(LinkLost));
        }
    }

    /// A message that the peer didn't get. Results that it was to give up are
    /// given up here, and what it was to count is counted here; all else is of no use
    /// without the peer.
    fn undelivered(&self, message: Message) {
        let Some(cx) = self.cx.upgrade() else { return };
        match message {
            Message::Free(spent) => cx.pools.free(&cx, &spent),
            Message::TargetEnded { request, run } => cx.crashes.count(&cx, request, run),
            // Whoever was to tell the others can't: this entry does.
            Message::TargetLeaves {
                target,
                tell_others: true,
            } => target_words::told_leaving(&cx, &target, true),
            Message::TargetLimit {
                target,
                tell_others: true,
                ..
            } => target_words::tell_limit_to_all(&cx, &target),
            _ => {}
        }
    }

    async fn send_all(self: Rc<Self>) {
        tokio::time::sleep(GATHER).await;
        loop {
            let messages = std::mem::take(&mut *self.outbox.borrow_mut());
            if messages.is_empty() {
                self.is_sending.set(false);
                return;
            }
            if !self.deliver(messages).await {
                return;
            }
        }
    }

    /// Delivers an envelope; on failure closes the link. True when it was
    /// taken.
    async fn deliver(&self, messages: Vec<Message>) -> bool {
        let Some(cx) = self.cx.upgrade() else {
            return false;
        };
        let envelope = Envelope {
            from: cx.me.clone(),
            to: self.peer.id,
            is_slow: cx.pace.get().is_slow(),
            messages,
        };
        let result = match tokio::time::timeout(TAKEN_WITHIN, self.post(&envelope)).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::Silent),
        };
        let Err(err) = result else {
            self.heard();
            cx.peers.answered(self.peer.id);
            return true;
        };
        match err {
            LinkError::Replaced { by } => cx.peers.heard(&cx, &by),
            err => cx.peers.suspect(&cx, &self.peer, &err.to_string()),
        }
        self.close();
        let unsent = envelope.messages.into_iter();
        unsent.for_each(|message| self.undelivered(message));
        false
    }

    async fn post(&self, envelope: &Envelope) -> Result<(), LinkError> {
        let req = messages::request(PATH, envelope);
        // A run that is another one tells who it is; else there is no body.
        let answer = self
            .pool
            .call(req, MOST_RECORD_BYTES)
            .await
            .map_err(|source| LinkError::Send { source })?;
        match answer.head.status {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::MISDIRECTED_REQUEST => Err(self.replaced_by(answer.body.ok().flatten())),
            status => Err(LinkError::Refused { status }),
        }
    }

    /// What an answer of another run means: only one of the same host takes the
    /// peer's place.
    fn replaced_by(&self, body: Option<Bytes>) -> LinkError {
        let record = body.and_then(|body| rmp_serde::from_slice::<PeerRecord>(&body).ok());
        match record.filter(|record| record.host == self.peer.host) {
            Some(by) => LinkError::Replaced { by: Box::new(by) },
            None => LinkError::Refused {
                status: StatusCode::MISDIRECTED_REQUEST,
            },
        }
    }

    /// Asks a silent peer whether it lives, as long as it owes answers.
    fn ask_while_awaiting(self: &Rc<Self>) {
        if self.is_asking.replace(true) {
            return;
        }
        let link = self.clone();
        actix_rt::spawn(async move {
            while link.is_awaiting() && !link.is_closed.get() {
                tokio::time::sleep(ASK_AFTER).await;
                let is_silent = link.heard.get().elapsed() >= ASK_AFTER;
                if is_silent && !link.is_sending.get() && !link.deliver(Vec::new()).await {
                    break;
                }
            }
            link.is_asking.set(false);
        });
    }
}
