//! Connections to a peer that pass through a relay.
//!
//! Towards the peer the bytes are passed on as they are, and the end of the stream closes the
//! connection to the peer. Towards this process they come in frames with a length of two bytes, and
//! an empty frame says that the peer closed its connection in good order, and runs. A stream that
//! ends without it was broken off, by the peer or by the relay: the system closes the connections of
//! a process that is killed, which must not look like the end of an answer.
//!
//! When this process closes its direction first, the relay does so towards the peer, and still says
//! when the peer has closed its own: until then the peer may not have read what was sent.
//!
//! A relay that retires connections sends a first empty frame when the peer is to get no further
//! request ([`Retired`]), and a second one at the end.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 2;
const EMPTY_FRAME: [u8; LENGTH_BYTES] = [0; LENGTH_BYTES];
/// Largest frame without its length, in bytes.
const MAX_FRAME: usize = 16 << 10;
/// How long a relay keeps a connection after its peer has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a relay still passes bytes to a peer that is to get no further request, for requests
/// that were sent before the other end knew.
const RETIREMENT_GRACE: Duration = Duration::from_millis(500);

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// A connection to a peer through a relay.
pub struct RelayedStream {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    /// What is left of the current frame.
    unread: Bytes,
    /// The peer closed its connection.
    has_ended: bool,
    /// The relay says when the peer is to get no further request, and has not said so yet.
    may_retire: bool,
    retired: Retired,
    to_relay: OwnedWriteHalf,
}

/// Set once a connection is to carry no further request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Retired(Rc<Cell<bool>>);

impl Retired {
    pub fn is_set(&self) -> bool {
        self.0.get()
    }

    fn set(&self) {
        self.0.set(true);
    }
}

impl RelayedStream {
    /// Takes over a connection to a relay that has connected to the peer. `early` was received
    /// on it before. `may_retire` is true if the relay retires connections.
    pub fn new(stream: TcpStream, early: &[u8], may_retire: bool) -> Self {
        let (from_relay, to_relay) = stream.into_split();
        let mut frames = FramedRead::new(from_relay, codec());
        frames.read_buffer_mut().extend_from_slice(early);
        RelayedStream {
            frames,
            unread: Bytes::new(),
            has_ended: false,
            may_retire,
            retired: Retired::default(),
            to_relay,
        }
    }

    pub(crate) fn retired(&self) -> &Retired {
        &self.retired
    }

    /// Waits until there is something to read, or the connection has ended.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.frames.get_ref().readable().await
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.has_ended {
            match ready!(Pin::new(&mut self.frames).poll_next(cx)) {
                Some(Ok(frame)) if frame.is_empty() => match self.may_retire {
                    true => {
                        self.may_retire = false;
                        self.retired.set();
                    }
                    false => self.has_ended = true,
                },
                Some(Ok(frame)) => self.unread = frame.freeze(),
                Some(Err(err)) => return Poll::Ready(Err(err)),
                None => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            }
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread.split_to(len));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.to_relay).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.to_relay).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.to_relay.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.to_relay).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.to_relay).poll_shutdown(cx)
    }
}

/// What a relay knows of the peer that it connected to.
pub struct RelayedPeer<R, U> {
    /// Whether the peer runs, when it has closed its connection.
    pub is_running: R,
    /// Completes when the peer is to get no further request.
    pub is_unwanted: U,
    /// The entry understands when a connection is retired.
    pub may_retire: bool,
}

/// Passes bytes between an entry, from which `early` was received, and a peer, until one of them
/// ends its connection. The end of the peer's is passed on if the peer runs then. Once the peer is
/// unwanted the connection is retired, and shortly after it closes instead of carrying a request.
pub async fn relay(
    entry: TcpStream,
    early: Bytes,
    peer: TcpStream,
    state: RelayedPeer<impl Future<Output = bool>, impl Future<Output = ()>>,
) {
    let (from_entry, to_entry) = entry.into_split();
    let (from_peer, to_peer) = peer.into_split();
    let progress = Progress::default();
    let mut to_peer = pin!(pass_to_peer(early, from_entry, to_peer, &progress));
    let mut to_entry = pin!(pass_to_entry(from_peer, to_entry, state, &progress));
    tokio::select! {
        passed = to_peer.as_mut() => {
            // The entry sends nothing more, and waits for the peer to close.
            if matches!(passed, Ok(Passed::All)) && !progress.has_peer_ended.get() {
                progress.has_entry_ended.set(true);
                let _ended = to_entry.await;
            }
        }
        _ended = to_entry.as_mut() => {}
    }
}

/// How far a relayed connection is.
#[derive(Default)]
struct Progress {
    /// When it carries no further request; `None` while the peer is wanted.
    closes_at: Cell<Option<Instant>>,
    has_entry_ended: Cell<bool>,
    has_peer_ended: Cell<bool>,
}

/// What was passed on to the peer.
enum Passed {
    /// Everything up to the end of the entry's direction, and that end.
    All,
    /// Only what came before [`Progress::closes_at`].
    Part,
}

/// Passes on what the entry sends until it closes its direction, or sends something after
/// [`Progress::closes_at`].
async fn pass_to_peer(
    early: Bytes,
    mut from_entry: OwnedReadHalf,
    mut to_peer: OwnedWriteHalf,
    progress: &Progress,
) -> io::Result<Passed> {
    to_peer.write_all(&early).await?;
    let mut buf = vec![0; MAX_FRAME];
    loop {
        let len = from_entry.read(&mut buf).await?;
        if len == 0 {
            to_peer.shutdown().await?;
            return Ok(Passed::All);
        }
        if progress
            .closes_at
            .get()
            .is_some_and(|at| at <= Instant::now())
        {
            return Ok(Passed::Part);
        }
        to_peer.write_all(&buf[..len]).await?;
    }
}

async fn pass_to_entry(
    mut from_peer: OwnedReadHalf,
    mut to_entry: OwnedWriteHalf,
    state: RelayedPeer<impl Future<Output = bool>, impl Future<Output = ()>>,
    progress: &Progress,
) -> io::Result<()> {
    let mut is_unwanted = pin!(state.is_unwanted);
    let mut frame = vec![0; LENGTH_BYTES + MAX_FRAME];
    loop {
        let is_retired = progress.closes_at.get().is_some();
        let len = tokio::select! {
            read = from_peer.read(&mut frame[LENGTH_BYTES..]) => read?,
            () = is_unwanted.as_mut(), if !is_retired => {
                progress.closes_at.set(Some(Instant::now() + RETIREMENT_GRACE));
                if state.may_retire {
                    to_entry.write_all(&EMPTY_FRAME).await?;
                }
                continue;
            }
        };
        if len == 0 {
            progress.has_peer_ended.set(true);
            break;
        }
        frame[..LENGTH_BYTES].copy_from_slice(&(len as u16).to_be_bytes());
        to_entry.write_all(&frame[..LENGTH_BYTES + len]).await?;
    }
    if state.is_running.await {
        if state.may_retire && progress.closes_at.get().is_none() {
            to_entry.write_all(&EMPTY_FRAME).await?;
        }
        to_entry.write_all(&EMPTY_FRAME).await?;
        if !progress.has_entry_ended.get() {
            tokio::time::sleep(CLOSE_TIMEOUT).await;
        }
    }
    Ok(())
}
