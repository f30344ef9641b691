//! Requests to targets.
//!
//! All requests to targets pass through here, so that a target's reports in an answer
//! ([`crate::target_reports`]) take effect before the answer is used. New work takes a permit for
//! each request or piece, so that none is sent again without one ([`crate::repeats`]).

use std::rc::Rc;

use bytes::Bytes;
use hollowsail_connect::{AnswerBody, BodyError, Connection, Exchange, Reuse, SendError};
use hollowsail_platform::headers::{self, TargetHeaders};
use hollowsail_routing::repeats::SendPermits;
use hollowsail_targets::Target;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::target_reports;
use crate::traffic::Traffic;

/// The headers of a target's answer, and the exchange that carries its body.
pub struct Answer {
    pub head: TargetHeaders,
    /// It names another request: a faulty target has answered that one twice.
    pub is_foreign: bool,
    exchange: Exchange,
}

impl Answer {
    /// Splits the answer into its headers and its body. The connection of a foreign answer isn't
    /// used again, since the answer to this request is still to come.
    pub fn into_body(self) -> (Parts, AnswerBody) {
        self.exchange.into_body(!self.is_foreign)
    }
}

/// A complete answer of a target.
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub head: TargetHeaders,
    /// See [`Answer::is_foreign`].
    pub is_foreign: bool,
    /// `None` when it is longer than the caller accepts; an error when it was interrupted.
    pub body: Result<Option<Bytes>, BodyError>,
}

/// Why new work got no answer.
pub struct Unanswered {
    pub error: SendError,
    /// Given back if the target got nothing.
    pub permits: Option<SendPermits>,
}

/// Sends new work and waits for the headers of its answer, on `connection` if the request waited
/// for one ([`crate::connections`]). Withdraws it if the target leaves before it is sent. The
/// caller bounds the time; dropping the future closes the connection.
pub async fn send(
    cx: &Rc<Traffic>,
    target: &Target,
    connection: Option<Connection>,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    permits: SendPermits,
) -> Result<Answer, Unanswered> {
    let is_wanted = || cx.is_in_use(target);
    let sent = send_if(cx, target, connection, req, reuse, is_wanted).await;
    sent.map_err(|error| Unanswered {
        permits: Some(permits).filter(|_| error.nothing_sent()),
        error,
    })
}

async fn send_if(
    cx: &Rc<Traffic>,
    target: &Target,
    connection: Option<Connection>,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    is_wanted: impl Fn() -> bool,
) -> Result<Answer, SendError> {
    let request_id = headers::request_id(req.headers()).map(str::to_string);
    let sent_at = cx.clock.now();
    let connection = match connection {
        Some(connection) => connection,
        None => target.pool.connect(reuse, None).await?,
    };
    let exchange = connection.send_if(req, reuse, is_wanted).await?;
    let response = exchange.response();
    let head = TargetHeaders::read(response.status(), response.headers());
    let named = head.request_id.as_ref().zip(request_id.as_ref());
    let is_foreign = named.is_some_and(|(answered, sent)| answered != sent);
    // An answer to an earlier request may arrive on the connection; its report is older.
    let is_ours = !is_foreign && (head.not_run || head.request_id == request_id);
    let sent_at = if is_ours { sent_at } else { 0 };
    target_reports::record_reports(cx, target, response.status(), &head, sent_at);
    Ok(Answer {
        head,
        is_foreign,
        exchange,
    })
}

/// Sends new work on any connection and reads up to `max_bytes` of its answer. The caller bounds
/// the time; dropping the future closes the connection.
pub async fn call(
    cx: &Rc<Traffic>,
    target: &Target,
    req: Request<Full<Bytes>>,
    max_bytes: usize,
    permits: SendPermits,
) -> Result<CompleteAnswer, Unanswered> {
    let answer = send(cx, target, None, req, Reuse::Any, permits).await?;
    Ok(read(answer, max_bytes).await)
}

/// The same for a request that ends earlier work, which a target that leaves gets, too.
pub async fn call_to_clean_up(
    cx: &Rc<Traffic>,
    target: &Target,
    req: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<CompleteAnswer, SendError> {
    let answer = send_if(cx, target, None, req, Reuse::Any, || true).await?;
    Ok(read(answer, max_bytes).await)
}

async fn read(answer: Answer, max_bytes: usize) -> CompleteAnswer {
    let (head, is_foreign) = (answer.head.clone(), answer.is_foreign);
    let (parts, body) = answer.into_body();
    CompleteAnswer {
        status: parts.status,
        head,
        is_foreign,
        body: body.collect(max_bytes).await,
    }
}
