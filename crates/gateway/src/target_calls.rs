//! Requests to targets.
//!
//! Whoever asks a target for anything asks here, so that what its answers say of the
//! target itself is heard in one place ([`crate::target_words`]), before anybody sees the
//! answer.

use std::rc::Rc;

use bytes::Bytes;
use hollowsail_connect::{BodyError, Exchange, Reuse, SendError};
use hollowsail_platform::heads::{self, TargetHead};
use hollowsail_targets::Target;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::target_words;
use crate::traffic::Traffic;

/// The head of a target's answer, and the connection that its body comes on.
pub struct Answer {
    pub head: TargetHead,
    pub exchange: Exchange,
}

/// A target's answer, read to its end.
pub struct WholeAnswer {
    pub status: StatusCode,
    pub head: TargetHead,
    /// `None` when it is longer than the caller reads; an error when it broke off.
    pub body: Result<Option<Bytes>, BodyError>,
}

/// Sends a request and waits for the head of its answer. The caller bounds the time;
/// dropping the future closes the connection.
pub async fn send(
    cx: &Rc<Traffic>,
    target: &Target,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
) -> Result<Answer, SendError> {
    let request_id = heads::request_id(req.headers()).map(str::to_string);
    let asked = cx.clock.now();
    let exchange = target.pool.send(req, reuse).await?;
    let response = exchange.response();
    let head = TargetHead::read(response.status(), response.headers());
    // An answer to a request of before may come in this one's place: it is older.
    let is_ours = head.not_run || head.request_id == request_id;
    let asked = if is_ours { asked } else { 0 };
    target_words::take(cx, target, response.status(), &head, asked);
    Ok(Answer { head, exchange })
}

/// Sends a request on any connection and reads up to `most` bytes of its answer. The
/// caller bounds the time; dropping the future closes the connection.
pub async fn call(
    cx: &Rc<Traffic>,
    target: &Target,
    req: Request<Full<Bytes>>,
    most: usize,
) -> Result<WholeAnswer, SendError> {
    let Answer { head, exchange } = send(cx, target, req, Reuse::Any).await?;
    let (parts, body) = exchange.into_body(true);
    Ok(WholeAnswer {
        status: parts.status,
        head,
        body: body.collect(most).await,
    })
}
