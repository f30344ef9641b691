//! The streamed body of an answer, which returns its connection to the pool at its end.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::Bytes;
use hollowsail_framing::Fault;
use hyper::body::{Body, Frame, Incoming};
use snafu::Snafu;

use crate::framing::Framing;
use crate::pool::Returning;
use crate::reading::Reading;
use crate::received::Received;

/// Why a body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed.
    #[snafu(display("{source}"))]
    Connection { source: hyper::Error },
    /// The answer breaks a rule, so that nobody can tell where its body ends.
    #[snafu(display("the answer has {fault}"))]
    Malformed { fault: Fault },
}

/// Reads an answer in chunks. Dropping it before the end closes the connection, which cancels
/// the work at the peer.
pub struct AnswerBody {
    incoming: Incoming,
    framing: Framing,
    received: Received,
    reading: Reading,
    returning: Option<Returning>,
}

impl AnswerBody {
    /// Creates a body; `returning` holds its connection if that may be reused.
    pub(crate) fn new(
        incoming: Incoming,
        framing: Framing,
        received: Received,
        reading: Reading,
        returning: Option<Returning>,
    ) -> Self {
        AnswerBody {
            incoming,
            framing,
            received,
            reading,
            returning,
        }
    }

    /// What marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the next bytes; `None` after the last. On an error the answer is incomplete.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.take(data.len());
                        return Some(Ok(data));
                    }
                }
                Some(Err(source)) => {
                    self.returning = None;
                    return Some(Err(match self.reading.fault() {
                        Some(fault) => BodyError::Malformed { fault },
                        None => BodyError::Connection { source },
                    }));
                }
                None => {
                    if let Some(returning) = self.returning.take() {
                        returning.finish();
                    }
                    return None;
                }
            }
        }
    }

    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        poll_fn(|cx| {
            let polled = Pin::new(&mut self.incoming).poll_frame(cx);
            if polled.is_pending() {
                self.received.take_all();
            }
            polled
        })
        .await
    }

    /// Buffers the rest of the body; `None` when it is longer than `max_len` bytes, by its own word or as
    /// soon as that shows.
    pub async fn collect(self, max_len: usize) -> Result<Option<Bytes>, BodyError> {
        self.collect_counted(max_len, |_| {}).await
    }

    /// The same; calls `on_buffered` with the size of the buffer after each chunk.
    pub async fn collect_counted(
        mut self,
        max_len: usize,
        on_buffered: impl Fn(usize),
    ) -> Result<Option<Bytes>, BodyError> {
        if self.incoming.size_hint().lower() > max_len as u64 {
            return Ok(None);
        }
        let mut buffer: Vec<u8> = Vec::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if buffer.len() + chunk.len() > max_len {
                return Ok(None);
            }
            buffer.extend_from_slice(&chunk);
            on_buffered(buffer.capacity());
        }
        Ok(Some(buffer.into()))
    }
}
