//! Connections to a peer that pass through a relay.
//!
//! Towards the peer the bytes are passed on as they are, and the end of the stream closes the
//! connection to the peer. Towards this process they come in frames with a length of two bytes, and
//! an empty frame says that the peer closed its connection in good order, and runs. A stream that
//! ends without it was broken off, by the peer or by the relay: the system closes the connections of
//! a process that is killed, which must not look like the end of an answer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 2;
/// Largest frame without its length, in bytes.
const MAX_FRAME: usize = 16 << 10;
/// How long a relay keeps a connection after its peer has closed it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

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
    to_relay: OwnedWriteHalf,
}

impl RelayedStream {
    /// Takes over a connection to a relay that has connected to the peer. `early` was received
    /// on it before.
    pub fn new(stream: TcpStream, early: &[u8]) -> Self {
        let (from_relay, to_relay) = stream.into_split();
        let mut frames = FramedRead::new(from_relay, codec());
        frames.read_buffer_mut().extend_from_slice(early);
        RelayedStream {
            frames,
            unread: Bytes::new(),
            has_ended: false,
            to_relay,
        }
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
                Some(Ok(frame)) if frame.is_empty() => self.has_ended = true,
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

/// Passes bytes between an entry, from which `early` was received, and a peer, until one of them
/// ends its connection. The end of the peer's is passed on if `is_running` says that it runs then.
/// `on_sent` is called before bytes are passed to the peer.
pub async fn relay(
    entry: TcpStream,
    early: Bytes,
    peer: TcpStream,
    is_running: impl Future<Output = bool>,
    on_sent: impl FnMut(),
) {
    let (from_entry, to_entry) = entry.into_split();
    let (from_peer, to_peer) = peer.into_split();
    // The connections close when either direction has ended.
    tokio::select! {
        _ended = pass_to_peer(early, from_entry, to_peer, on_sent) => {}
        _ended = pass_to_entry(from_peer, to_entry, is_running) => {}
    }
}

async fn pass_to_peer(
    early: Bytes,
    mut from_entry: OwnedReadHalf,
    mut to_peer: OwnedWriteHalf,
    mut on_sent: impl FnMut(),
) -> io::Result<()> {
    to_peer.write_all(&early).await?;
    let mut buf = vec![0; MAX_FRAME];
    loop {
        let len = from_entry.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        on_sent();
        to_peer.write_all(&buf[..len]).await?;
    }
}

async fn pass_to_entry(
    mut from_peer: OwnedReadHalf,
    mut to_entry: OwnedWriteHalf,
    is_running: impl Future<Output = bool>,
) -> io::Result<()> {
    let mut frame = vec![0; LENGTH_BYTES + MAX_FRAME];
    loop {
        let len = from_peer.read(&mut frame[LENGTH_BYTES..]).await?;
        if len == 0 {
            break;
        }
        frame[..LENGTH_BYTES].copy_from_slice(&(len as u16).to_be_bytes());
        to_entry.write_all(&frame[..LENGTH_BYTES + len]).await?;
    }
    if is_running.await {
        to_entry.write_all(&[0; LENGTH_BYTES]).await?;
        tokio::time::sleep(CLOSE_TIMEOUT).await;
    }
    Ok(())
}
