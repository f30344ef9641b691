//! The connection pool of one peer.
//!
//! Requests are sent on idle or new connections; a connection returns to the pool after its
//! answer was read to the end.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_clock::BootInstant;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::dial::{dial, DialError};

/// Fraction of the peer's idle timeout after which a connection isn't reused: the peer began
/// to count earlier.
const IDLE_MARGIN: f64 = 0.5;

/// Timeouts and limits of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolRules {
    /// Connect timeout.
    pub dial_timeout: Duration,
    /// Maximum number of idle connections; more are closed.
    pub max_idle: usize,
    /// Idle time after which a connection isn't reused, unless the peer announces a shorter one.
    pub idle_timeout: Duration,
}

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection, or a new one.
    Any,
    /// One that has been idle for at most this long, or a new one. For requests that must not
    /// race with the peer closing the connection.
    Within(Duration),
}

/// Why no answer head was received.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("nothing was sent: {source}"))]
    Unreachable { source: DialError },
    /// The connection closed before the request was handed to it.
    #[snafu(display("nothing was sent: the connection to {addr} had closed"))]
    NotSent { addr: SocketAddr },
    /// The connection failed after the request was handed to it.
    #[snafu(display("the connection to {addr} broke after a request was sent: {source}"))]
    Broken {
        addr: SocketAddr,
        source: hyper::Error,
    },
}

impl SendError {
    /// True when the peer received no part of the request.
    pub fn nothing_sent(&self) -> bool {
        !matches!(self, SendError::Broken { .. })
    }
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: BootInstant,
    until: BootInstant,
}

/// The connections to one peer.
pub struct Pool {
    addr: SocketAddr,
    rules: PoolRules,
    idle: RefCell<Vec<Idle>>,
    dialled: Cell<u64>,
}

/// A request whose answer head was received, with its connection.
pub struct Exchange {
    response: Response<Incoming>,
    returning: Returning,
}

/// Returns a connection to its pool after a complete answer.
pub(crate) struct Returning {
    pool: Rc<Pool>,
    sender: SendRequest<Full<Bytes>>,
    keep_for: Option<Duration>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(addr: SocketAddr, rules: PoolRules) -> Rc<Self> {
        Rc::new(Pool {
            addr,
            rules,
            idle: RefCell::default(),
            dialled: Cell::new(0),
        })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of connections opened so far.
    pub fn dialled(&self) -> u64 {
        self.dialled.get()
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Sends a request and waits for the head of its answer. Has no timeout; dropping the
    /// future closes the connection.
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
                    let keep_for = reuse_time(response.headers(), self.rules.idle_timeout);
                    return Ok(Exchange {
                        response,
                        returning: Returning {
                            pool: self.clone(),
                            sender,
                            keep_for,
                        },
                    });
                }
                Err(mut failed) => match failed.take_message() {
                    // The peer closed the idle connection before the request was written:
                    // it is sent on another one.
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
        let now = BootInstant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|conn| conn.until > now && conn.sender.is_ready());
        let fits = |conn: &Idle| match reuse {
            Reuse::Any => true,
            Reuse::Within(limit) => now.saturating_since(conn.since) <= limit,
        };
        let index = idle.iter().rposition(fits)?;
        Some(idle.swap_remove(index).sender)
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = dial(self.addr, self.rules.dial_timeout)
            .await
            .map_err(|source| SendError::Unreachable { source })?;
        self.dialled.set(self.dialled.get() + 1);
        let (sender, conn) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent { addr: self.addr })?;
        // Errors are returned by the send in progress; on an idle connection they only close
        // it, which `is_ready` shows.
        actix_rt::spawn(async move { drop(conn.await) });
        Ok(sender)
    }

    fn put_back(&self, sender: SendRequest<Full<Bytes>>, keep_for: Duration) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= self.rules.max_idle {
            return;
        }
        let since = BootInstant::now();
        idle.push(Idle {
            sender,
            since,
            until: since + keep_for,
        });
    }
}

impl Exchange {
    /// The answer; its body isn't read yet.
    pub fn response(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Splits into the head and the body, which returns the connection to the pool after the
    /// last byte if `reusable`.
    pub fn into_body(self, reusable: bool) -> (http::response::Parts, AnswerBody) {
        let (parts, incoming) = self.response.into_parts();
        let returning =
            Some(self.returning).filter(|returning| reusable && returning.keep_for.is_some());
        (parts, AnswerBody::new(incoming, returning))
    }
}

impl Returning {
    /// Returns the connection to the pool once it is ready for another request.
    pub(crate) fn finish(mut self) {
        let Some(keep_for) = self.keep_for else {
            return;
        };
        if self.sender.is_ready() {
            self.pool.clone().put_back(self.sender, keep_for);
            return;
        }
        actix_rt::spawn(async move {
            if self.sender.ready().await.is_ok() {
                self.pool.clone().put_back(self.sender, keep_for);
            }
        });
    }
}

/// How long a connection may be reused by the headers of an answer, at most `max`; `None` when
/// the peer closes it.
fn reuse_time(headers: &HeaderMap, max: Duration) -> Option<Duration> {
    let text = |name: http::HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(keep_alive_timeout);
    Some(announced.map_or(max, |timeout| timeout.mul_f64(IDLE_MARGIN).min(max)))
}

/// The `timeout` of a Keep-Alive header in seconds; a bare number is accepted, too.
fn keep_alive_timeout(value: &str) -> Option<Duration> {
    value
        .split(',')
        .map(str::trim)
        .find_map(|part| {
            let number = part.strip_prefix("timeout=").unwrap_or(part);
            number.trim().parse::<u64>().ok()
        })
        .map(Duration::from_secs)
}
