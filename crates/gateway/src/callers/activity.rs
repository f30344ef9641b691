//! What a caller's connection is doing, and since when.
//!
//! A connection rests, or its head is coming in, or a request is under way.
//! The first two have time limits of their own. The socket tells of bytes, the
//! service of requests.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use hollowsail_platform::deployment::CallerLimits;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Resting(Instant),
    /// Some of a head is here.
    Head(Instant),
    /// A request is under way.
    Busy,
}

/// Shared by the socket, the service and the time limits of one connection.
#[derive(Debug)]
pub struct Activity {
    phase: Cell<Phase>,
    /// Told when a head begins, whose limit is the shorter one.
    head_began: Notify,
}

impl Activity {
    /// A connection that was just accepted.
    pub fn new() -> Rc<Self> {
        Rc::new(Activity {
            phase: Cell::new(Phase::Resting(Instant::now())),
            head_began: Notify::new(),
        })
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// A request was read.
    pub fn request_began(&self) {
        self.phase.set(Phase::Busy);
    }

    /// An answer went out, or was dropped.
    pub fn request_ended(&self) {
        self.phase.set(Phase::Resting(Instant::now()));
    }

    fn bytes_came(&self) {
        if let Phase::Resting(_) = self.phase.get() {
            self.phase.set(Phase::Head(Instant::now()));
            self.head_began.notify_one();
        }
    }

    /// Waits until the connection has rested, or its head has taken, too long.
    pub async fn limit_passed(&self, limits: &CallerLimits) {
        loop {
            let now = Instant::now();
            let limit = match self.phase.get() {
                Phase::Resting(since) => since + limits.idle_time,
                Phase::Head(since) => since + limits.head_time,
                // Looked at again some time after it ended.
                Phase::Busy => now + limits.head_time,
            };
            if limit <= now {
                return;
            }
            // Either is a reason to look again.
            let _looked = tokio::time::timeout_at(limit.into(), self.head_began.notified()).await;
        }
    }
}

/// A socket that tells of the bytes that come.
pub struct Watched {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl Watched {
    /// A socket whose bytes count as activity.
    pub fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        Watched { stream, activity }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.bytes_came();
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
