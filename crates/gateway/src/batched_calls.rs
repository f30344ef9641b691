//! Calls to one peer that carry several messages each.
//!
//! Messages that come up within [`BATCH_DELAY`] share a call. Up to [`MAX_CALLS`] calls run
//! concurrently on a pool of their own, so that a message doesn't wait behind those of the link.
//! Messages that come up during these wait for the end of one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Dialer, Pool, PoolRules};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::peer_call::{query, QueryError};

/// Time in which messages are collected into one call.
const BATCH_DELAY: Duration = Duration::from_millis(1);
/// How long a message waits for its reply: a refusal has to take less than an eighth of the
/// shortest target latency (1 s), also after a second try.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a call. Longer than [`REPLY_TIMEOUT`], so that messages without a reply reach a slow
/// peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Calls to a peer at the same time. Bounds the connections to a suspended peer.
const MAX_CALLS: u32 = 6;
/// Idle connections to a peer; calls overlap when messages come faster than round trips.
const MAX_IDLE: usize = 3;
/// Idle time after which a connection isn't reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// The messages of a call; the response has a reply for each that expects one, in their order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call<M> {
    /// Run of the sending entry.
    pub from: u64,
    pub requests: Vec<M>,
}

/// Why a message got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoReply {
    /// The peer's build doesn't know these messages.
    Unsupported,
    /// No reply was received in time.
    Silent,
}

/// Messages that are sent and replied to together.
struct Outgoing<M, R> {
    messages: Vec<M>,
    /// Sent also when nobody waits for the replies any more.
    is_notice: bool,
    /// Set for messages that expect replies.
    replies: Option<oneshot::Sender<Result<Vec<R>, NoReply>>>,
}

/// Sends messages to one address of a peer.
pub struct BatchedCalls<M, R> {
    from: u64,
    path: &'static str,
    pool: Rc<Pool>,
    outbox: RefCell<Vec<Outgoing<M, R>>>,
    is_scheduled: Cell<bool>,
    /// Calls in progress.
    calls: Cell<u32>,
    /// The peer answered 404, which holds for its run.
    is_unsupported: Cell<bool>,
}

impl<M: Serialize + 'static, R: DeserializeOwned + 'static> BatchedCalls<M, R> {
    /// Creates the sender; it connects with the first call.
    pub fn new(from: u64, dialer: Dialer, addr: SocketAddr, path: &'static str) -> Rc<Self> {
        let rules = PoolRules {
            dial_timeout: REPLY_TIMEOUT,
            max_idle: MAX_IDLE,
            idle_timeout: IDLE_TIMEOUT,
        };
        Rc::new(BatchedCalls {
            from,
            path,
            pool: Pool::with_dialer(addr, rules, dialer),
            outbox: RefCell::default(),
            is_scheduled: Cell::new(false),
            calls: Cell::new(0),
            is_unsupported: Cell::new(false),
        })
    }

    /// True if the peer's build doesn't know these messages.
    pub fn is_unsupported(&self) -> bool {
        self.is_unsupported.get()
    }

    /// Sends a message and waits for its reply. After [`NoReply::Silent`] the peer may have
    /// handled it.
    pub async fn request(self: &Rc<Self>, message: M) -> Result<R, NoReply> {
        let replies = self.exchange(vec![message], false).await?;
        replies.into_iter().next().ok_or(NoReply::Silent)
    }

    /// Sends messages that share a call and waits for their replies. After [`NoReply::Silent`] the peer
    /// may have handled them, or may yet.
    pub async fn notify_all(self: &Rc<Self>, messages: Vec<M>) -> Result<Vec<R>, NoReply> {
        self.exchange(messages, true).await
    }

    async fn exchange(
        self: &Rc<Self>,
        messages: Vec<M>,
        is_notice: bool,
    ) -> Result<Vec<R>, NoReply> {
        if self.is_unsupported.get() {
            return Err(NoReply::Unsupported);
        }
        let (sender, replies) = oneshot::channel();
        self.push(Outgoing {
            messages,
            is_notice,
            replies: Some(sender),
        });
        match tokio::time::timeout(REPLY_TIMEOUT, replies).await {
            Ok(Ok(replies)) => replies,
            Ok(Err(_)) | Err(_) => Err(NoReply::Silent),
        }
    }

    /// Sends a message that expects no reply.
    pub fn send(self: &Rc<Self>, message: M) {
        if !self.is_unsupported.get() {
            self.push(Outgoing {
                messages: vec![message],
                is_notice: true,
                replies: None,
            });
        }
    }

    fn push(self: &Rc<Self>, outgoing: Outgoing<M, R>) {
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

    /// The messages to send, without those that only ask and whose reply nobody waits for any more.
    fn take_batch(&self) -> Vec<Outgoing<M, R>> {
        let mut batch = std::mem::take(&mut *self.outbox.borrow_mut());
        batch.retain(|outgoing| {
            let replies = outgoing.replies.as_ref();
            outgoing.is_notice || !replies.is_some_and(|to| to.is_closed())
        });
        batch
    }

    async fn call(&self, batch: Vec<Outgoing<M, R>>) {
        let (messages, waiting): (Vec<_>, Vec<_>) = batch
            .into_iter()
            .map(|outgoing| {
                let expected = outgoing.messages.len();
                (outgoing.messages, (expected, outgoing.replies))
            })
            .unzip();
        let call = Call {
            from: self.from,
            requests: messages.into_iter().flatten().collect(),
        };
        let answer = query::<Vec<R>>(&self.pool, self.path, &call, CALL_TIMEOUT).await;
        let replies = answer.map_err(|err| self.no_reply(err));
        let mut replies = replies.map(Vec::into_iter);
        for (expected, waiting) in waiting {
            let Some(waiting) = waiting else { continue };
            let replies = match &mut replies {
                Ok(replies) => {
                    let replies: Vec<R> = replies.take(expected).collect();
                    Some(replies)
                        .filter(|replies| replies.len() == expected)
                        .ok_or(NoReply::Silent)
                }
                Err(no_reply) => Err(*no_reply),
            };
            // The request may have stopped waiting.
            let _sent = waiting.send(replies);
        }
    }

    fn no_reply(&self, err: QueryError) -> NoReply {
        match err {
            QueryError::Status {
                status: StatusCode::NOT_FOUND,
            } => {
                self.is_unsupported.set(true);
                NoReply::Unsupported
            }
            err => {
                log::debug!("no reply to {} from {}: {err}", self.path, self.pool.addr());
                NoReply::Silent
            }
        }
    }
}
