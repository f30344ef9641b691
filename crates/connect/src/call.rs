//! Calls whose answers are short enough to be buffered.

use std::rc::Rc;

use bytes::Bytes;
use http::{response, Request};
use http_body_util::Full;

use crate::pool::{Pool, Reuse, SendError};
use crate::BodyError;

/// An answer with its buffered body.
#[derive(Debug)]
pub struct CompleteAnswer {
    pub head: response::Parts,
    /// `None` when it is longer than the caller's limit; an error when it broke off.
    pub body: Result<Option<Bytes>, BodyError>,
}

impl Pool {
    /// Sends a request on any connection and buffers an answer of up to `max_len` bytes.
    /// Has no timeout; dropping the future closes the connection.
    pub async fn call(
        self: &Rc<Self>,
        req: Request<Full<Bytes>>,
        max_len: usize,
    ) -> Result<CompleteAnswer, SendError> {
        let exchange = self.send(req, Reuse::Any).await?;
        let (head, body) = exchange.into_body(true);
        let body = body.collect(max_len).await;
        Ok(CompleteAnswer { head, body })
    }
}
