//! Calls to one peer that owns queues.
//!
//! Messages that come up within [`BATCH_DELAY`] share a call. Up to [`MAX_CALLS`] calls run
//! concurrently on a pool of their own, so that a reservation doesn't wait behind the messages
//! of the link. Messages that come up during these wait for the end of one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Pool, PoolRules};
use http::StatusCode;
use tokio::sync::oneshot;

use super::messages::{
    ReservationCall, ReservationMessage, ReservationReply, Reserve, RESERVATIONS_PATH,
};
use crate::control::query::{query, QueryError};
use crate::peers::PeerId;

/// Time in which messages are collected into one call.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// How long a request waits for a reply: a refusal has to take less than an eighth of the
/// shortest target latency (1 s), also after a second try.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a call. Longer than [`REPLY_TIMEOUT`], so that cancellations reach a slow peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Calls to a peer at the same time. Bounds the connections to a suspended peer.
const MAX_CALLS: u32 = 6;
/// Idle connections to a peer; calls overlap when requests come faster than round trips.
const MAX_IDLE: usize = 3;
/// Idle time after which a connection isn't reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request goes on without a reservation in a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    /// The peer's build has no reservations.
    Unsupported,
    /// No reply was received in time.
    Silent,
}

struct Outgoing {
    message: ReservationMessage,
    /// Set for [`ReservationMessage::Reserve`].
    reply: Option<oneshot::Sender<Result<ReservationReply, NoReply>>>,
}

/// Sends reservations to one run of one peer.
pub struct ReservationClient {
    me: PeerId,
    pool: Rc<Pool>,
    outbox: RefCell<Vec<Outgoing>>,
    is_scheduled: Cell<bool>,
    /// Calls in progress.
    calls: Cell<u32>,
    /// The peer answered 404, which holds for its run.
    is_unsupported: Cell<bool>,
}

impl ReservationClient {
    /// Creates a client; it connects with the first call.
    pub fn new(me: PeerId, addr: SocketAddr) -> Rc<Self> {
        let rules = PoolRules {
            dial_timeout: REPLY_TIMEOUT,
            max_idle: MAX_IDLE,
            idle_timeout: IDLE_TIMEOUT,
        };
        Rc::new(ReservationClient {
            me,
            pool: Pool::new(addr, rules),
            outbox: RefCell::default(),
            is_scheduled: Cell::new(false),
            calls: Cell::new(0),
            is_unsupported: Cell::new(false),
        })
    }

    /// Asks the peer for capacity. After [`NoReply::Silent`] the peer may have reserved it.
    pub async fn reserve(self: &Rc<Self>, reserve: Reserve) -> Result<ReservationReply, NoReply> {
        if self.is_unsupported.get() {
            return Err(NoReply::Unsupported);
        }
        let (sender, reply) = oneshot::channel();
        self.push(Outgoing {
            message: ReservationMessage::Reserve(reserve),
            reply: Some(sender),
        });
        match tokio::time::timeout(REPLY_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => Err(NoReply::Silent),
        }
    }

    /// Cancels what is left of a request's reservation.
    pub fn cancel(self: &Rc<Self>, queue: String, request_id: String) {
        if !self.is_unsupported.get() {
            self.push(Outgoing {
                message: ReservationMessage::Cancel { queue, request_id },
                reply: None,
            });
        }
    }

    fn push(self: &Rc<Self>, outgoing: Outgoing) {
        self.outbox.borrow_mut().push(outgoing);
        if self.calls.get() >= MAX_CALLS || self.is_scheduled.replace(true) {
            return;
        }
        let client = self.clone();
        self.calls.set(self.calls.get() + 1);
        actix_rt::spawn(async move {
            tokio::time::sleep(BATCH_DELAY).await;
            client.is_scheduled.set(false);
            client.call_until_empty().await;
            client.calls.set(client.calls.get() - 1);
        });
    }

    /// Sends what has come up, and then what came up during the call.
    async fn call_until_empty(&self) {
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                return;
            }
            self.call(batch).await;
        }
    }

    /// The messages to send, without reservations that nobody waits for any more.
    fn take_batch(&self) -> Vec<Outgoing> {
        let mut batch = std::mem::take(&mut *self.outbox.borrow_mut());
        batch.retain(|outgoing| !outgoing.reply.as_ref().is_some_and(|to| to.is_closed()));
        batch
    }

    async fn call(&self, batch: Vec<Outgoing>) {
        let (requests, waiting): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|outgoing| (outgoing.message, outgoing.reply))
            .unzip();
        let call = ReservationCall {
            from: self.me,
            requests,
        };
        let answer = query(&self.pool, RESERVATIONS_PATH, &call, CALL_TIMEOUT).await;
        let replies = self.replies(answer);
        for (index, waiting) in waiting.into_iter().flatten().enumerate() {
            let reply = match &replies {
                Ok(replies) => replies.get(index).copied().ok_or(NoReply::Silent),
                Err(no_reply) => Err(*no_reply),
            };
            // The request may have stopped waiting.
            let _sent = waiting.send(reply);
        }
    }

    fn replies(
        &self,
        answer: Result<Vec<ReservationReply>, QueryError>,
    ) -> Result<Vec<ReservationReply>, NoReply> {
        answer.map_err(|err| match err {
            QueryError::Status {
                status: StatusCode::NOT_FOUND,
            } => {
                self.is_unsupported.set(true);
                NoReply::Unsupported
            }
            err => {
                log::debug!("no reservations by the peer at {}: {err}", self.pool.addr());
                NoReply::Silent
            }
        })
    }
}
