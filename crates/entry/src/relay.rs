//! Passing a request on, unread, to the entry that may or must serve it.
//!
//! Two reasons: the caller's organisation may not be served in this hall, or
//! the ticket was issued elsewhere. The decision is made from headers alone;
//! body and answer stream through without being looked at. A request is passed on
//! a bounded number of times, so views that differ cannot make a loop.

use std::time::Duration;

use actix_web::error::PayloadError;
use actix_web::http::header::{
    HeaderMap, HeaderName, ACCEPT, AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER,
};
use actix_web::web::Bytes;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use awc::{ClientRequest, ClientResponse};
use futures_util::{Stream, StreamExt};
use hollowsail_clients::http::nothing_sent;
use hollowsail_fleet::Member;

use crate::answer::AnswerBody;
use crate::auth::{peer_token, PEER_HEADER};
use crate::body::SharedBody;
use crate::events;
use crate::headers;
use crate::judge::Judged;
use crate::kinds::ErrorKind;
use crate::sender::Sender;
use crate::view::InFlight;
use crate::worker::Worker;

/// Headers of a caller that go on with a relayed request.
const PASSED_ON: [HeaderName; 4] = [ACCEPT, AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE];
/// Headers of an answer that go back.
const PASSED_BACK: [HeaderName; 3] = [CONTENT_TYPE, CONTENT_LENGTH, RETRY_AFTER];

/// Why a relay gave no answer.
#[derive(Debug)]
pub enum RelayError {
    /// Nothing was handed to a socket: another entry may be tried.
    NotSent,
    /// The other entry may be running the request.
    Broken(String),
}

/// What is passed on besides the caller's own headers.
pub struct Relay<'a> {
    pub path: &'a str,
    pub request: &'a str,
    pub headers: &'a HeaderMap,
    pub body: SharedBody,
    /// Time left for the whole request.
    pub remaining: Duration,
    /// Times the request will have been passed on.
    pub hops: u8,
    /// True when the other entry owns the claim on the caller's id.
    pub claim_owner: bool,
}

/// Passes a request on to one peer.
pub async fn relay(
    worker: &Worker,
    peer: &Member,
    relay: &Relay<'_>,
) -> Result<HttpResponse, RelayError> {
    worker.entry.log(
        events::RELAYED,
        format_args!("request={} to={}", relay.request, peer.name),
    );
    match request_to(worker, peer, relay)
        .send_stream(relay.body.clone())
        .await
    {
        Ok(res) => Ok(pass_back(worker, res)),
        Err(err) if nothing_sent(&err) => {
            worker.entry.log(
                events::RELAY_FAILED,
                format_args!(
                    "request={} to={} reason=\"{err}\"",
                    relay.request, peer.name
                ),
            );
            Err(RelayError::NotSent)
        }
        Err(err) => Err(RelayError::Broken(err.to_string())),
    }
}

/// The head of the request to the peer.
fn request_to(worker: &Worker, peer: &Member, relay: &Relay<'_>) -> ClientRequest {
    let mut req = worker
        .single_use
        .post(format!("http://{}{}", peer.peer, relay.path))
        .timeout(relay.remaining)
        .insert_header((PEER_HEADER, peer_token(&worker.entry.settings.fleet_key)))
        .insert_header((headers::HOPS, relay.hops.to_string()))
        .insert_header((headers::REQUEST, relay.request))
        .insert_header((headers::DEADLINE, relay.remaining.as_millis().to_string()));
    for name in PASSED_ON {
        if let Some(value) = relay.headers.get(&name) {
            req = req.insert_header((name, value.clone()));
        }
    }
    for name in headers::ONCE {
        if let Some(value) = relay.headers.get(name) {
            req = req.insert_header((name, value.clone()));
        }
    }
    if relay.claim_owner {
        req = req.insert_header((headers::CLAIM_OWNER, "1"));
    }
    req
}

/// Passes the peer's answer back as it comes.
fn pass_back<S>(worker: &Worker, res: ClientResponse<S>) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let mut back = HttpResponseBuilder::new(res.status());
    for name in PASSED_BACK {
        if let Some(value) = res.headers().get(&name) {
            back.insert_header((name, value.clone()));
        }
    }
    // A planned stop waits until the answer has passed through.
    let in_flight = InFlight::new(&worker.entry.in_flight);
    back.streaming(res.map(move |piece| {
        let _held = &in_flight;
        piece
    }))
}

/// The other entry may be running the request: nothing is known of it.
pub fn relay_broken(request: &str, reason: &str) -> HttpResponse {
    let message = format!("the entry that has the request did not answer: {reason}");
    AnswerBody::unknown(request, ErrorKind::RelayFailed, message).into_response()
}

/// Passes a request on under the peers' path.
pub async fn pass_on(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    body: SharedBody,
    member: &Member,
    sender: Sender,
    claim_owner: bool,
) -> Result<HttpResponse, RelayError> {
    let path = format!("/peer{}", req.path().trim_start_matches("/peer"));
    let relay = Relay {
        path: &path,
        request: &judged.request,
        headers: req.headers(),
        body,
        remaining: judged.remaining(),
        hops: sender.hops + 1,
        claim_owner,
    };
    self::relay(worker, member, &relay).await
}
