//! The byte stream of a connection.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::liveness::Liveness;

/// A connection to a peer, whose traffic may be observed.
pub struct Transport {
    stream: TcpStream,
    observer: Option<Rc<Liveness>>,
}

impl Transport {
    /// A connection that nobody observes.
    pub fn new(stream: TcpStream) -> Self {
        Transport {
            stream,
            observer: None,
        }
    }

    /// A connection whose traffic `observer` sees.
    pub fn observed(stream: TcpStream, observer: Rc<Liveness>) -> Self {
        Transport {
            stream,
            observer: Some(observer),
        }
    }

    /// Waits until there is something to read, or the connection has ended.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.stream.readable().await
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.observer
                .iter()
                .for_each(|peers| peers.record_received());
        }
        polled
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.observer.iter().for_each(|peers| peers.record_sent());
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.observer.iter().for_each(|peers| peers.record_sent());
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
