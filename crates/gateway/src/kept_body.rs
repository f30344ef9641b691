//! The body of a target's answer, whose bytes count as kept until they are passed on.

use std::rc::Rc;

use bytes::Bytes;
use hollowsail_connect::{AnswerBody, BodyError, Framing};
use snafu::Snafu;

use crate::kept_bytes::AnswerAccount;

/// Why a body ended early.
#[derive(Debug, Snafu)]
pub enum KeptBodyError {
    /// The connection to the target failed.
    #[snafu(display("{source}"))]
    Target { source: BodyError },
    /// This host keeps too many bytes, and this answer is the largest of the worst source.
    #[snafu(display("the answer was ended for want of memory"))]
    GaveWay,
}

impl KeptBodyError {
    /// True when the answer breaks a rule, so that nobody can tell where its body ends.
    pub fn is_malformed(&self) -> bool {
        matches!(
            self,
            KeptBodyError::Target {
                source: BodyError::Malformed { .. }
            }
        )
    }
}

/// A body with its account.
pub struct KeptBody {
    body: AnswerBody,
    account: Rc<AnswerAccount>,
}

impl KeptBody {
    pub fn new(body: AnswerBody, account: Rc<AnswerAccount>) -> Self {
        KeptBody { body, account }
    }

    /// What marks the end of the body.
    pub fn framing(&self) -> Framing {
        self.body.framing()
    }

    /// Returns the next bytes; `None` after the last. After an error the answer is incomplete.
    pub async fn chunk(&mut self) -> Option<Result<Bytes, KeptBodyError>> {
        tokio::select! {
            biased;
            () = self.account.ended() => Some(Err(KeptBodyError::GaveWay)),
            chunk = self.body.chunk() => {
                chunk.map(|chunk| chunk.map_err(|source| KeptBodyError::Target { source }))
            }
        }
    }

    /// Sets how many of the bytes that were returned are kept.
    pub fn set_buffered(&self, bytes: usize) {
        self.account.set_buffered(bytes);
    }

    /// Buffers the rest of the body; `None` when it is longer than `max_len` bytes, by its own word or as
    /// soon as that shows.
    pub async fn collect(self, max_len: usize) -> Result<Option<Bytes>, KeptBodyError> {
        let KeptBody { body, account } = self;
        tokio::select! {
            biased;
            () = account.ended() => Err(KeptBodyError::GaveWay),
            read = body.collect_counted(max_len, |bytes| account.set_buffered(bytes)) => {
                read.map_err(|source| KeptBodyError::Target { source })
            }
        }
    }
}
