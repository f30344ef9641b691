//! The byte stream of a connection: to the peer itself, or through a relay.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::byte_counts::{ByteCounts, Counted};
use crate::ending::End;
use crate::liveness::Liveness;
use crate::reading::Reading;
use crate::received::Received;
use crate::relayed::{RelayedStream, Retired};

/// Number of bytes behind a complete answer that are read at once, to tell another answer from the rest of a
/// body.
const SURPLUS_BYTES: usize = 16;

/// How a connection reaches its peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Direct,
    Relay(RelayWay),
}

/// The relay of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayWay {
    /// The caller's key of the relay.
    pub relay: u64,
    /// The relay passes on the end of the connection only if the peer is known to run after it.
    pub confirms_end: bool,
}

/// A connection to a peer.
pub struct Transport {
    way: Way,
    stream: Stream,
    /// Observes the traffic.
    observer: Option<Rc<Liveness>>,
    /// How the direction from the peer ended, once it has.
    end: Option<End>,
    received: Received,
    reading: Reading,
    /// Bytes after an answer were read to check them; the connection carries no other one.
    is_spent: bool,
}

enum Stream {
    Direct(TcpStream),
    Counted(Counted<TcpStream>),
    Relayed(RelayedStream),
}

impl Transport {
    /// A direct connection that nobody observes.
    pub fn direct(stream: TcpStream) -> Self {
        Self::new(Way::Direct, Stream::Direct(stream))
    }

    /// A direct connection whose bytes are counted.
    pub fn counted(stream: TcpStream, counts: Arc<ByteCounts>) -> Self {
        Self::new(Way::Direct, Stream::Counted(Counted::new(stream, counts)))
    }

    /// The same connection, with an observer of its traffic.
    pub fn observed_by(self, observer: Rc<Liveness>) -> Self {
        Transport {
            observer: Some(observer),
            ..self
        }
    }

    /// A connection through a relay.
    pub fn relayed(stream: RelayedStream, way: RelayWay) -> Self {
        Self::new(Way::Relay(way), Stream::Relayed(stream))
    }

    fn new(way: Way, stream: Stream) -> Self {
        Transport {
            way,
            stream,
            observer: None,
            end: None,
            received: Received::default(),
            reading: Reading::default(),
            is_spent: false,
        }
    }

    /// What was received of an answer and isn't taken yet.
    pub(crate) fn received(&self) -> &Received {
        &self.received
    }

    /// The check of the answers on it.
    pub(crate) fn reading(&self) -> &Reading {
        &self.reading
    }

    pub(crate) fn way(&self) -> Way {
        self.way
    }

    /// How the direction from the peer ended, once a read has shown that.
    pub(crate) fn end(&self) -> Option<End> {
        self.end
    }

    /// How a connection ended by the result of a read. The end of a relay says nothing of the peer.
    fn end_of_read(&self, read: &io::Result<usize>) -> Option<End> {
        let is_relayed = matches!(self.stream, Stream::Relayed(_));
        match read {
            Ok(0) => Some(End::ByPeer),
            Ok(_) => None,
            Err(err) if err.kind() == io::ErrorKind::ConnectionReset && !is_relayed => {
                Some(End::ByPeer)
            }
            Err(_) => Some(End::Unknown),
        }
    }

    /// Whether the connection is to carry no further request.
    pub(crate) fn retired(&self) -> Retired {
        match &self.stream {
            Stream::Direct(_) | Stream::Counted(_) => Retired::default(),
            Stream::Relayed(stream) => stream.retired().clone(),
        }
    }

    /// Waits until there is something to read, or the connection has ended.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        match &self.stream {
            Stream::Direct(stream) => stream.readable().await,
            Stream::Counted(stream) => stream.get_ref().readable().await,
            Stream::Relayed(stream) => stream.readable().await,
        }
    }
}

impl Transport {
    /// Reads from the stream, and records how its direction ended.
    fn poll_stream(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        let polled = match &mut self.stream {
            Stream::Direct(stream) => Pin::new(stream).poll_read(cx, buf),
            Stream::Counted(stream) => Pin::new(stream).poll_read(cx, buf),
            Stream::Relayed(stream) => Pin::new(stream).poll_read(cx, buf),
        };
        let read = ready!(polled).map(|()| buf.filled().len() - before);
        if has_room {
            self.end = self.end.or(self.end_of_read(&read));
        }
        Poll::Ready(read)
    }

    /// Reads what has come behind an answer that is complete by its length, and checks it.
    fn check_surplus(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let mut buf = [0; SURPLUS_BYTES];
        let mut buf = ReadBuf::new(&mut buf);
        // An error or the end of the connection shows again.
        if let Poll::Ready(Ok(1..)) = self.poll_stream(cx, &mut buf) {
            self.is_spent = true;
            self.reading.check(buf.filled())?;
        }
        self.reading.check_surplus()
    }

    /// Checks what was received of an answer.
    fn check(&mut self, bytes: &[u8], cx: &mut Context<'_>) -> io::Result<()> {
        let mut checked = self.reading.check(bytes);
        if checked.is_ok() && self.reading.is_complete() {
            checked = self.check_surplus(cx);
        }
        if checked.is_err() {
            // The peer has read a request that it answers.
            self.end = self.end.or(Some(End::ByPeer));
        }
        checked
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_spent {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buf.filled().len();
        let count = ready!(self.poll_stream(cx, buf))?;
        if count == 0 {
            return Poll::Ready(Ok(()));
        }
        self.received.add(count)?;
        self.observer
            .iter()
            .for_each(|peers| peers.record_received());
        Poll::Ready(self.check(&buf.filled()[before..], cx))
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.iter().for_each(|peers| peers.record_sent());
        match &mut self.stream {
            Stream::Direct(stream) => Pin::new(stream).poll_write(cx, buf),
            Stream::Counted(stream) => Pin::new(stream).poll_write(cx, buf),
            Stream::Relayed(stream) => Pin::new(stream).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.observer.iter().for_each(|peers| peers.record_sent());
        match &mut self.stream {
            Stream::Direct(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
            Stream::Counted(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
            Stream::Relayed(stream) => Pin::new(stream).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match &self.stream {
            Stream::Direct(stream) => stream.is_write_vectored(),
            Stream::Counted(stream) => stream.is_write_vectored(),
            Stream::Relayed(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Stream::Direct(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Counted(stream) => Pin::new(stream).poll_flush(cx),
            Stream::Relayed(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.stream {
            Stream::Direct(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Counted(stream) => Pin::new(stream).poll_shutdown(cx),
            Stream::Relayed(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}
