//! The idle connections to one peer, and sending on them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_clock::Moment;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::dial::{dial, DialError};

/// Part of the peer's idle time after which a connection isn't used, because
/// the peer's clock started before ours.
const IDLE_MARGIN: f64 = 0.5;

/// How a pool treats its connections.
#[derive(Debug, Clone, Copy)]
pub struct PoolRules {
    /// Longest time for a connection to come up.
    pub dial_within: Duration,
    /// Idle connections kept; more are closed.
    pub max_idle: usize,
    /// Idle time after which a connection isn't used again, unless the peer
    /// names a shorter one.
    pub idle_for: Duration,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection, or a new one.
    Any,
    /// One that has been idle for at most this long, or a new one. For requests
    /// that must not be lost on a connection that the peer is closing.
    Within(Duration),
}

/// Why an exchange gave no answer head.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// Nothing reached the peer.
    #[snafu(display("nothing was sent: {source}"))]
    Unreachable { source: DialError },
    /// The connection ended before the request was handed to it.
    #[snafu(display("nothing was sent: the connection to {addr} had closed"))]
    NotSent { addr: SocketAddr },
    /// The request was handed over, and the connection failed.
    #[snafu(display("the connection to {addr} broke after a request was sent: {source}"))]
    Broken {
        addr: SocketAddr,
        source: hyper::Error,
    },
}

impl SendError {
    /// True when the peer got no part of the request.
    pub fn nothing_sent(&self) -> bool {
        !matches!(self, SendError::Broken { .. })
    }
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Moment,
    until: Moment,
}

/// Connections to one peer.
pub struct Pool {
    addr: SocketAddr,
    rules: PoolRules,
    idle: RefCell<Vec<Idle>>,
    dialled: Cell<u64>,
}

/// One request on one connection, its answer head received.
pub struct Exchange {
    response: Response<Incoming>,
    returning: Returning,
}

/// Takes a connection back after a whole answer.
pub(crate) struct Returning {
    pool: Rc<Pool>,
    sender: SendRequest<Full<Bytes>>,
    keep: Option<Duration>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(addr: SocketAddr, rules: PoolRules) -> Rc<Self> {
        Rc::new(Pool {
            addr,
            rules,
            idle: RefCell::default(),
            dialled: Cell::new(0),
        })
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections opened so far.
    pub fn dialled(&self) -> u64 {
        self.dialled.get()
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of its answer. The caller bounds
    /// the time; dropping the future closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        let mut req = req;
        loop {
            let (mut sender, was_idle) = match self.take_idle(reuse) {
                Some(sender) => (sender, true),
                None => (self.open().await?, false),
            };
            match sender.try_send_request(req).await {
                Ok(response) => {
                    let keep = keep_for(response.headers(), self.rules.idle_for);
                    return Ok(Exchange {
                        response,
                        returning: Returning {
                            pool: self.clone(),
                            sender,
                            keep,
                        },
                    });
                }
                Err(mut failed) => match failed.take_message() {
                    // The peer closed an idle connection as it was picked; the
                    // request is still here, so another connection carries it.
                    Some(unsent) if was_idle => req = unsent,
                    Some(_) => return Err(SendError::NotSent { addr: self.addr }),
                    None => {
                        return Err(SendError::Broken {
                            addr: self.addr,
                            source: failed.into_error(),
                        })
                    }
                },
            }
        }
    }

    fn take_idle(&self, reuse: Reuse) -> Option<SendRequest<Full<Bytes>>> {
        let now = Moment::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|conn| conn.until > now && conn.sender.is_ready());
        let fits = |conn: &Idle| match reuse {
            Reuse::Any => true,
            Reuse::Within(limit) => now.saturating_since(conn.since) <= limit,
        };
        let at = idle.iter().rposition(fits)?;
        Some(idle.swap_remove(at).sender)
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = dial(self.addr, self.rules.dial_within)
            .await
            .map_err(|source| SendError::Unreachable { source })?;
        self.dialled.set(self.dialled.get() + 1);
        let (sender, conn) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent { addr: self.addr })?;
        // Its errors reach whoever sends on it; on an idle connection they only
        // end it, and `is_ready` tells.
        actix_rt::spawn(async move { drop(conn.await) });
        Ok(sender)
    }

    fn put_back(&self, sender: SendRequest<Full<Bytes>>, keep: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.rules.max_idle {
            return;
        }
        let since = Moment::now();
        idle.push(Idle {
            sender,
            since,
            until: since + keep,
        });
    }
}

impl Exchange {
    /// Head of the answer.
    pub fn response(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Splits into the head and the body, which returns the connection to its
    /// pool after the last byte if `reusable`.
    pub fn into_body(self, reusable: bool) -> (http::response::Parts, AnswerBody) {
        let (parts, incoming) = self.response.into_parts();
        let returning =
            Some(self.returning).filter(|returning| reusable && returning.keep.is_some());
        (parts, AnswerBody::new(incoming, returning))
    }
}

impl Returning {
    /// Puts the connection back once it is ready for another request.
    pub(crate) fn finish(mut self) {
        let Some(keep) = self.keep else { return };
        if self.sender.is_ready() {
            self.pool.clone().put_back(self.sender, keep);
            return;
        }
        actix_rt::spawn(async move {
            if self.sender.ready().await.is_ok() {
                self.pool.clone().put_back(self.sender, keep);
            }
        });
    }
}

/// How long a connection may be kept by what an answer says of it; `None` when
/// it is to be closed.
fn keep_for(headers: &HeaderMap, most: Duration) -> Option<Duration> {
    let text = |name: http::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let told = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(told_idle_seconds);
    Some(told.map_or(most, |told| told.mul_f64(IDLE_MARGIN).min(most)))
}

/// The `timeout` of a Keep-Alive header; a bare number is taken for it.
fn told_idle_seconds(value: &str) -> Option<Duration> {
    value
        .split(',')
        .map(str::trim)
        .find_map(|part| {
            let number = part.strip_prefix("timeout=").unwrap_or(part);
            number.trim().parse::<u64>().ok()
        })
        .map(Duration::from_secs)
}
