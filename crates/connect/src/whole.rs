//! Calls whose answers are short enough to be read whole.

use std::rc::Rc;

use bytes::Bytes;
use http::{response, Request};
use http_body_util::Full;

use crate::pool::{Pool, Reuse, SendError};
use crate::BodyError;

/// An answer, read to its end.
#[derive(Debug)]
pub struct WholeAnswer {
    pub head: response::Parts,
    /// `None` when it is longer than the caller reads; an error when it broke
    /// off.
    pub body: Result<Option<Bytes>, BodyError>,
}

impl Pool {
    /// Sends a request on any connection and reads up to `most` bytes of its
    /// answer. The caller bounds the time; dropping the future closes the
    /// connection.
    pub async fn call(
        self: &Rc<Self>,
        req: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<WholeAnswer, SendError> {
        let exchange = self.send(req, Reuse::Any).await?;
        let (head, body) = exchange.into_body(true);
        let body = body.collect(most).await;
        Ok(WholeAnswer { head, body })
    }
}
