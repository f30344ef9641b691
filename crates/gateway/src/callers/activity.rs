//! Tracks the state of a caller's connection for its time limits.
//!
//! A connection is idle, receives a request head, or runs a request; the first two have time
//! limits. The socket reports received bytes, the service reports requests. The socket also checks the
//! heads of requests before the library reads them ([`hollowsail_framing`]).

use std::cell::Cell;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

use hollowsail_connect::{ByteCounts, Counted};
use hollowsail_framing::{Fault, RequestReader};
use hollowsail_platform::deployment::CallerLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::kept_bytes::AnswerAccount;

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Between requests, since this time.
    Idle(Instant),
    /// A request head is partly received, since this time.
    Head(Instant),
    /// A request is in progress.
    Busy,
}

/// Shared by the socket, the service and the time limits of one connection.
pub struct Activity {
    phase: Cell<Phase>,
    /// Notified when a head begins, since its time limit is shorter.
    head_began: Notify,
    /// The connection has to end with a reset.
    must_reset: Cell<bool>,
    /// Why the library was told that the connection failed.
    fault: Cell<Option<Fault>>,
    /// Bytes of answers that the caller hasn't read.
    unsent: Cell<usize>,
    account: Rc<AnswerAccount>,
}

impl Activity {
    /// State of a connection that was just accepted.
    pub fn new(account: Rc<AnswerAccount>) -> Rc<Self> {
        Rc::new(Activity {
            phase: Cell::new(Phase::Idle(Instant::now())),
            head_began: Notify::new(),
            must_reset: Cell::new(false),
            fault: Cell::new(None),
            unsent: Cell::new(0),
            account,
        })
    }

    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// A request head was received.
    pub fn request_began(&self) {
        self.phase.set(Phase::Busy);
    }

    /// The response was sent or dropped.
    pub fn request_ended(&self) {
        self.phase.set(Phase::Idle(Instant::now()));
    }

    /// A response was interrupted, and only the end of the connection marks the end of its body.
    /// A close would make it look complete.
    pub fn reset_at_end(&self) {
        self.must_reset.set(true);
    }

    /// The rule that a request breaks, once the requests before it are answered. The connection ends.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Bytes of an answer are to be sent.
    pub fn add_unsent(&self, bytes: usize) {
        self.set_unsent(self.unsent.get() + bytes);
    }

    fn set_unsent(&self, bytes: usize) {
        self.unsent.set(bytes);
        self.account.set_buffered(bytes);
    }

    /// Records bytes that the caller's system has taken.
    fn on_sent(&self, sent: &Poll<std::io::Result<usize>>) {
        if let (Poll::Ready(Ok(sent)), unsent @ 1..) = (sent, self.unsent.get()) {
            self.set_unsent(unsent.saturating_sub(*sent));
        }
    }

    /// Waits until the unread bytes have to be given up.
    pub async fn answer_ended(&self) {
        self.account.ended().await;
    }

    fn on_bytes(&self) {
        if let Phase::Idle(_) = self.phase.get() {
            self.phase.set(Phase::Head(Instant::now()));
            self.head_began.notify_one();
        }
    }

    /// Waits until the connection was idle, or received a head, for longer than its limit.
    pub async fn timed_out(&self, limits: &CallerLimits) {
        loop {
            let now = Instant::now();
            let limit = match self.phase.get() {
                Phase::Idle(since) => since + limits.idle_timeout,
                Phase::Head(since) => since + limits.header_timeout,
                // Checked again later.
                Phase::Busy => now + limits.header_timeout,
            };
            if limit <= now {
                return;
            }
            // Check again after either.
            let _woken = tokio::time::timeout_at(limit.into(), self.head_began.notified()).await;
        }
    }
}

/// A socket that reports received bytes, counts all, and checks requests.
pub struct ObservedStream {
    stream: Counted<TcpStream>,
    activity: Rc<Activity>,
    requests: RequestReader,
    /// The rule that a request breaks; nothing after it is passed on.
    malformed: Option<Fault>,
}

impl ObservedStream {
    pub fn new(stream: TcpStream, activity: Rc<Activity>, counts: Arc<ByteCounts>) -> Self {
        ObservedStream {
            stream: Counted::new(stream, counts),
            activity,
            requests: RequestReader::default(),
            malformed: None,
        }
    }

    /// The socket, whose bytes are neither checked nor reported any more.
    pub fn get_mut(&mut self) -> &mut Counted<TcpStream> {
        &mut self.stream
    }

    /// Ends the direction from the caller after a malformed request: with an error once the requests
    /// before it are answered, or when the caller leaves before that.
    fn poll_malformed(&mut self, cx: &mut Context<'_>, fault: Fault) -> Poll<std::io::Result<()>> {
        if self.activity.phase() != Phase::Busy {
            self.activity.fault.set(Some(fault));
            return Poll::Ready(Err(std::io::Error::new(ErrorKind::InvalidData, fault)));
        }
        let mut discarded = [0; 1024];
        let mut discarded = ReadBuf::new(&mut discarded);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut discarded))?;
        if discarded.filled().is_empty() {
            return Poll::Ready(Ok(()));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        if self.activity.must_reset.get() {
            if let Err(err) = self.stream.get_ref().set_zero_linger() {
                log::warn!("cannot reset the connection of an interrupted response: {err}");
            }
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if let Some(fault) = self.malformed {
            return self.poll_malformed(cx, fault);
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() > before {
            self.activity.on_bytes();
        }
        if let Err(malformed) = self.requests.read(&buf.filled()[before..]) {
            self.malformed = Some(malformed.fault);
            buf.set_filled(before + malformed.sound_bytes);
            if malformed.sound_bytes == 0 {
                return self.poll_malformed(cx, malformed.fault);
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_sent(&sent);
        sent
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_sent(&sent);
        sent
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        // The rejection is still to be written.
        if self.activity.fault.get().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
