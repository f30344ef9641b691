//! The connection pool of one peer.
//!
//! Requests are sent on idle or new connections; a connection returns to the pool after its
//! answer was read to the end. A pool with a limit ([`Pool::set_limit`]) opens no more
//! connections than that: requests wait for one in [`crate::capacity`]'s line, and a new
//! connection is observed before a request is sent on it, because a peer over its own limit
//! accepts a connection and resets it at once.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hollowsail_clock::BootInstant;
use hollowsail_framing::Fault;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::capacity::{grant_first, Capacity, Dialling, Grant};
use crate::dial::DialError;
use crate::dialer::{Dialer, ProcessState, Unreached};
use crate::ending::{OnEnd, Unanswered};
use crate::framing::Framing;
use crate::reading::Reading;
use crate::received::{OnReceived, Received, MAX_HEAD_BYTES};
use crate::relayed::Retired;
use crate::transport::{Transport, Way};

/// Fraction of the peer's idle timeout after which a connection isn't reused: the peer began
/// to count earlier.
const IDLE_MARGIN: f64 = 0.5;

/// Number of waits that make up the observation of a new connection. A single one would pass
/// while the host is stalled, without time for the peer to close.
const OBSERVATION_STEPS: u32 = 5;

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
    /// The peer closed a new connection before the request was handed to it, as it does when it
    /// has too many.
    #[snafu(display("nothing was sent: {addr} closed a new connection at once"))]
    Rejected {
        addr: SocketAddr,
        /// When the request may be sent again.
        retry_after: Duration,
    },
    /// No connection of those that may be open became free in time.
    #[snafu(display("nothing was sent: no connection to {addr} became free in time"))]
    NoConnection {
        addr: SocketAddr,
        /// When the request may be sent again.
        retry_after: Duration,
    },
    /// A value of the request can't be sent.
    #[snafu(display("nothing was sent: a value of the request to {addr} is invalid: {reason}"))]
    Unsendable { addr: SocketAddr, reason: String },
    /// The request was withdrawn while it had no connection.
    #[snafu(display("nothing was sent: {addr} is no longer wanted"))]
    Withdrawn { addr: SocketAddr },
    /// The answer was ended before its head was complete, since the host keeps too many bytes.
    #[snafu(display("the answer of {addr} was ended for want of memory"))]
    GaveWay { addr: SocketAddr },
    /// The host reaches nothing directly any more, so that no answer can come.
    #[snafu(display("the links of this host were lost before {addr} answered"))]
    LinkLost { addr: SocketAddr },
    /// The head of the answer breaks a rule. The peer has the request.
    #[snafu(display("the answer of {addr} has {fault}"))]
    Malformed { addr: SocketAddr, fault: Fault },
    /// The connection failed after the request was handed to it.
    #[snafu(display("the connection to {addr} broke after a request was sent: {source}"))]
    Broken {
        addr: SocketAddr,
        source: hyper::Error,
    },
}

impl SendError {
    /// True when the peer answered in a way that breaks a rule.
    pub fn is_malformed(&self) -> bool {
        matches!(self, SendError::Malformed { .. })
    }

    /// True when the peer received no part of the request.
    pub fn nothing_sent(&self) -> bool {
        !matches!(
            self,
            SendError::Broken { .. }
                | SendError::Malformed { .. }
                | SendError::GaveWay { .. }
                | SendError::LinkLost { .. }
        )
    }
}

/// An open connection.
struct Channel {
    sender: SendRequest<Full<Bytes>>,
    way: Way,
    retired: Retired,
    unanswered: Unanswered,
    received: Received,
    reading: Reading,
}

impl Channel {
    /// True if it may carry another request now.
    fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.retired.is_set()
    }
}

/// A connection that no request uses.
pub(crate) struct Idle {
    channel: Channel,
    since: BootInstant,
    until: BootInstant,
}

/// The connections to one peer.
pub struct Pool {
    addr: SocketAddr,
    rules: PoolRules,
    dialer: Dialer,
    idle: RefCell<Vec<Idle>>,
    dialled: Cell<u64>,
    created: BootInstant,
    pub(crate) capacity: Capacity,
}

/// A connection that a request got before it is sent.
pub struct Connection {
    pool: Rc<Pool>,
    channel: Channel,
    is_new: bool,
    since: BootInstant,
    /// Until when the request may wait for another connection.
    wait_ends: Option<BootInstant>,
    on_received: Option<OnReceived>,
}

/// A request whose answer head was received, with its connection.
pub struct Exchange {
    response: Response<Incoming>,
    returning: Returning,
}

/// Returns a connection to its pool after a complete answer.
pub(crate) struct Returning {
    pool: Rc<Pool>,
    channel: Channel,
    keep_for: Option<Duration>,
    /// When the request got the connection.
    since: BootInstant,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(addr: SocketAddr, rules: PoolRules) -> Rc<Self> {
        Self::with_dialer(addr, rules, Dialer::direct(addr))
    }

    /// Creates a pool without connections, which `dialer` opens.
    pub fn with_dialer(addr: SocketAddr, rules: PoolRules, dialer: Dialer) -> Rc<Self> {
        Rc::new(Pool {
            addr,
            rules,
            dialer,
            idle: RefCell::default(),
            dialled: Cell::new(0),
            created: BootInstant::now(),
            capacity: Capacity::default(),
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

    pub(crate) fn created(&self) -> BootInstant {
        self.created
    }

    /// Sends a request and waits for the head of its answer. Has no timeout; dropping the
    /// future closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        let connection = self.connect(reuse, None).await?;
        connection.send(req, reuse).await
    }

    /// Gets a connection: an idle or a new one. In a pool with a limit, waits for one for at
    /// most `max_wait`, and fails at once when none is expected in that time.
    pub async fn connect(
        self: &Rc<Self>,
        reuse: Reuse,
        max_wait: Option<Duration>,
    ) -> Result<Connection, SendError> {
        let wait_ends = max_wait.map(|max_wait| BootInstant::now() + max_wait);
        let grant = self.grant(reuse, max_wait).await?;
        self.use_grant(grant, wait_ends).await
    }

    /// Takes the granted connection, or opens one.
    async fn use_grant(
        self: &Rc<Self>,
        grant: Grant,
        wait_ends: Option<BootInstant>,
    ) -> Result<Connection, SendError> {
        let (channel, is_new) = match grant {
            Grant::Idle(idle) => (idle.channel, false),
            Grant::Dial(dialling) => (self.open(dialling).await?, true),
        };
        Ok(Connection {
            pool: self.clone(),
            channel,
            is_new,
            since: BootInstant::now(),
            wait_ends,
            on_received: None,
        })
    }

    /// Closes the idle connections that should carry no further request.
    pub fn prune(&self) {
        let may_reuse = &self.dialer.may_reuse;
        self.idle
            .borrow_mut()
            .retain(|conn| may_reuse(conn.channel.way));
    }

    /// True while direct connections are known to fail.
    pub fn is_direct_failing(&self) -> bool {
        !(self.dialer.may_reuse)(Way::Direct)
    }

    /// Whether the peer runs, after a direct connection didn't show it.
    pub fn confirm_state(
        self: &Rc<Self>,
        unreached: Unreached,
    ) -> LocalBoxFuture<'static, ProcessState> {
        (self.dialer.confirm_state)(unreached)
    }

    /// Number of idle connections that are still open.
    pub(crate) fn idle_count(&self) -> usize {
        let idle = self.idle.borrow();
        idle.iter().filter(|conn| conn.channel.is_ready()).count()
    }

    /// Closes up to `count` connections that have been idle for the longest time.
    pub(crate) fn close_idle(&self, count: usize) {
        let mut idle = self.idle.borrow_mut();
        idle.sort_by_key(|conn| conn.since);
        let count = count.min(idle.len());
        drop(idle.drain(..count));
    }

    /// Returns an idle connection that was granted but not used.
    pub(crate) fn return_idle(&self, idle: Idle) {
        self.idle.borrow_mut().push(idle);
    }

    /// True when a request may use an idle connection.
    pub(crate) fn has_idle(&self, reuse: Reuse) -> bool {
        self.prune();
        let now = BootInstant::now();
        let idle = self.idle.borrow();
        idle.iter().any(|conn| conn.is_usable(now, reuse))
    }

    /// Takes the last idle connection that a request may use.
    pub(crate) fn take_idle(&self, reuse: Reuse) -> Option<Idle> {
        self.prune();
        let now = BootInstant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|conn| conn.is_open(now));
        let index = idle.iter().rposition(|conn| conn.is_usable(now, reuse))?;
        Some(idle.swap_remove(index))
    }

    async fn open(self: &Rc<Self>, dialling: Dialling) -> Result<Channel, SendError> {
        let started = BootInstant::now();
        let dialled = (self.dialer.dial)(self.rules.dial_timeout).await;
        let stream = dialled.map_err(|source| self.dial_failed(source))?;
        self.dialled.set(self.dialled.get() + 1);
        if self.capacity.limit().is_some() {
            let observed = self.capacity.observation(started.elapsed());
            if closes_within(&stream, observed).await {
                return Err(self.rejected());
            }
        }
        let (way, retired) = (stream.way(), stream.retired());
        let received = stream.received().clone();
        let reading = stream.reading().clone();
        let mut http = Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let (sender, mut conn) = http
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| SendError::NotSent { addr: self.addr })?;
        let open = dialling.opened();
        let unanswered = Unanswered::default();
        let ending = unanswered.clone();
        let (counted, checked) = (received.clone(), reading.clone());
        // Errors are returned by the send in progress; on an idle connection they only close
        // it, which `is_ready` shows.
        actix_rt::spawn(async move {
            drop(poll_fn(|cx| conn.poll_without_shutdown(cx)).await);
            counted.end();
            checked.end();
            ending.close(conn.into_parts().io.into_inner()).await;
            drop(open);
        });
        Ok(Channel {
            sender,
            way,
            retired,
            unanswered,
            received,
            reading,
        })
    }

    /// The error of a failed dial. A reset of a connection that was just opened counts as
    /// rejected if there is a limit.
    fn dial_failed(self: &Rc<Self>, source: DialError) -> SendError {
        if source.is_reset() && self.capacity.limit().is_some() {
            return self.rejected();
        }
        self.record_failed_dial();
        SendError::Unreachable { source }
    }

    /// Records that the peer closed a new connection before a request was sent on it.
    fn rejected(self: &Rc<Self>) -> SendError {
        self.record_failed_dial();
        SendError::Rejected {
            addr: self.addr,
            retry_after: self.retry_after(),
        }
    }

    fn put_back(self: &Rc<Self>, channel: Channel, keep_for: Duration) {
        // With a limit, the number of open connections bounds the idle ones.
        let max_idle = match self.capacity.limit() {
            Some(limit) => limit as usize,
            None => self.rules.max_idle,
        };
        let has_room = !self.capacity.is_exceeded() && self.idle.borrow().len() < max_idle;
        if !has_room || !(self.dialer.may_reuse)(channel.way) {
            return;
        }
        let since = BootInstant::now();
        self.idle.borrow_mut().push(Idle {
            channel,
            since,
            until: since + keep_for,
        });
        self.serve_line();
    }
}

/// Gets a connection to the first of several peers that has one, waiting for at most `max_wait`.
/// The pools have limits; the first is preferred where several have a connection now. Returns the
/// position of the pool with the connection, or with the error.
pub async fn connect_first(
    pools: &[Rc<Pool>],
    reuse: Reuse,
    max_wait: Duration,
) -> (usize, Result<Connection, SendError>) {
    let wait_ends = BootInstant::now() + max_wait;
    match grant_first(pools, reuse, Some(max_wait)).await {
        Ok((index, grant)) => {
            let connected = pools[index].use_grant(grant, Some(wait_ends)).await;
            (index, connected)
        }
        Err(retry_after) => (0, Err(pools[0].no_connection(retry_after))),
    }
}

impl Idle {
    fn is_open(&self, now: BootInstant) -> bool {
        self.until > now && self.channel.is_ready()
    }

    fn is_usable(&self, now: BootInstant, reuse: Reuse) -> bool {
        let is_fresh = match reuse {
            Reuse::Any => true,
            Reuse::Within(limit) => now.saturating_since(self.since) <= limit,
        };
        is_fresh && self.is_open(now)
    }
}

impl Connection {
    /// Calls `on_received` with the bytes of the answer that were received and not taken.
    pub fn counted_by(mut self, on_received: OnReceived) -> Self {
        self.on_received = Some(on_received);
        self
    }

    /// True if it passes through a relay.
    pub fn is_relayed(&self) -> bool {
        matches!(self.channel.way, Way::Relay(_))
    }

    /// Sends a request and waits for the head of its answer. Has no timeout; dropping the
    /// future closes the connection. When the peer closed an idle connection before the request
    /// was written, the request is sent on another one.
    pub async fn send(
        self,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Exchange, SendError> {
        self.send_if(req, reuse, || true, None).await
    }

    /// The same, but sends nothing once `is_wanted` is false. Calls `on_end` if the request gets no
    /// answer, also when nobody waits for one any more.
    pub async fn send_if(
        self,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        is_wanted: impl Fn() -> bool,
        on_end: Option<OnEnd>,
    ) -> Result<Exchange, SendError> {
        let (mut connection, mut req) = (self, req);
        loop {
            if !is_wanted() {
                let addr = connection.pool.addr;
                return Err(SendError::Withdrawn { addr });
            }
            let unanswered = connection.channel.unanswered.clone();
            unanswered.begin(on_end.as_ref());
            let received = connection.channel.received.clone();
            received.begin(connection.on_received.clone());
            let is_head = req.method() == Method::HEAD;
            connection.channel.reading.begin(is_head);
            match connection.channel.sender.try_send_request(req).await {
                Ok(response) => {
                    unanswered.finish();
                    received.head_taken();
                    return Ok(connection.answered(response));
                }
                Err(mut failed) => match failed.take_message() {
                    None => return Err(connection.broken(failed.into_error())),
                    Some(unsent) => {
                        unanswered.finish();
                        if connection.is_new {
                            return Err(connection.closed_unused());
                        }
                        req = unsent;
                    }
                },
            }
            let pool = connection.pool.clone();
            let max_wait = connection
                .wait_ends
                .map(|ends| ends.saturating_since(BootInstant::now()));
            let on_received = connection.on_received.take();
            drop(connection);
            connection = pool.connect(reuse, max_wait).await?;
            connection.on_received = on_received;
        }
    }

    fn answered(self, response: Response<Incoming>) -> Exchange {
        if self.is_new {
            self.pool.capacity.record_answer();
        }
        let keep_for = reuse_time(response.headers(), self.pool.rules.idle_timeout);
        Exchange {
            response,
            returning: Returning {
                pool: self.pool,
                channel: self.channel,
                keep_for,
                since: self.since,
            },
        }
    }

    /// The error when a new connection closed before the request was written.
    fn closed_unused(self) -> SendError {
        match self.pool.capacity.limit() {
            Some(_) => self.pool.rejected(),
            None => SendError::NotSent {
                addr: self.pool.addr,
            },
        }
    }

    /// The error when a connection failed after the request was written.
    fn broken(self, source: hyper::Error) -> SendError {
        let addr = self.pool.addr;
        if let Some(fault) = self.channel.reading.fault() {
            return SendError::Malformed { addr, fault };
        }
        if self.is_new {
            self.pool.record_failed_dial();
        }
        SendError::Broken { addr, source }
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
        let framing = Framing::of(&self.response, self.returning.channel.way);
        let channel = &self.returning.channel;
        let (received, reading) = (channel.received.clone(), channel.reading.clone());
        let (parts, incoming) = self.response.into_parts();
        let returning =
            Some(self.returning).filter(|returning| reusable && returning.keep_for.is_some());
        (
            parts,
            AnswerBody::new(incoming, framing, received, reading, returning),
        )
    }
}

impl Returning {
    /// Returns the connection to the pool once it is ready for another request.
    pub(crate) fn finish(mut self) {
        self.channel.received.end();
        let Some(keep_for) = self.keep_for else {
            return;
        };
        self.pool.capacity.record_hold(self.since.elapsed());
        if self.channel.is_ready() {
            self.pool.clone().put_back(self.channel, keep_for);
            return;
        }
        actix_rt::spawn(async move {
            if self.channel.sender.ready().await.is_ok() {
                self.pool.clone().put_back(self.channel, keep_for);
            }
        });
    }
}

/// True when the peer closes a new connection within `observed`.
async fn closes_within(stream: &Transport, observed: Duration) -> bool {
    // A peer sends nothing before a request, so anything readable is its close.
    for _ in 0..OBSERVATION_STEPS {
        let readable = tokio::time::timeout(observed / OBSERVATION_STEPS, stream.readable());
        if readable.await.is_ok() {
            return true;
        }
    }
    false
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
