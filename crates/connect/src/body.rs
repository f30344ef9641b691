//! The body of an answer, which gives its connection back at its end.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::pool::Returning;
use crate::BodyError;

/// Reads an answer piece by piece. Dropped before its end, it closes the
/// connection, which tells the peer to stop.
pub struct AnswerBody {
    incoming: Incoming,
    returning: Option<Returning>,
}

impl AnswerBody {
    /// A body, and the connection that it came on, if that may be used again.
    pub(crate) fn new(incoming: Incoming, returning: Option<Returning>) -> Self {
        AnswerBody {
            incoming,
            returning,
        }
    }

    /// The next bytes; `None` after the last. An error means that the answer
    /// is not whole.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.incoming.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Some(Err(err)) => {
                    self.returning = None;
                    return Some(Err(err));
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

    /// Reads up to `most` bytes to the end; `None` when there are more.
    pub async fn collect(mut self, most: usize) -> Result<Option<Bytes>, BodyError> {
        let mut whole: Vec<u8> = Vec::new();
        while let Some(chunk) = self.chunk().await {
            let chunk = chunk?;
            if whole.len() + chunk.len() > most {
                return Ok(None);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(Some(whole.into()))
    }
}
