//! Relays requests to other entries.
//!
//! A request is relayed when its organisation may not be served in this hall, or
//! when another entry is responsible for its ticket or idempotency key. The decision
//! is made from the headers; body and answer are streamed through. The number of
//! hops is bounded, so that differing views can't cause a loop.

use hollowsail_observe::text::{Field, Quoted};
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
use crate::kinds::ErrorKind;
use crate::origin::Origin;
use crate::validate::ValidatedRequest;
use crate::view::InFlight;
use crate::worker::Worker;

/// Headers copied from the caller's request.
const REQUEST_HEADERS: [HeaderName; 4] = [ACCEPT, AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE];
/// Headers copied from the peer's response, whose body is streamed in chunks of this entry's own.
const RESPONSE_HEADERS: [HeaderName; 2] = [CONTENT_TYPE, RETRY_AFTER];

/// Failure of a relay without a response.
#[derive(Debug)]
pub enum RelayError {
    /// Nothing was sent: another entry may be tried.
    NotSent,
    /// Sent without a response: the other entry may be running the request.
    Broken(String),
}

/// A request to relay, with the values of the headers between entries.
pub struct Relay<'a> {
    pub path: &'a str,
    pub request: &'a str,
    pub headers: &'a HeaderMap,
    pub body: SharedBody,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Number of hops including this one.
    pub hops: u8,
    /// True when the other entry owns the claim on the idempotency key.
    pub claim_owner: bool,
}

/// Sends a request to a peer and streams its response back.
pub async fn relay(
    worker: &Worker,
    peer: &Member,
    relay: &Relay<'_>,
) -> Result<HttpResponse, RelayError> {
    worker.entry.log(
        events::RELAYED,
        format_args!("request={} to={}", Field(&relay.request), Field(&peer.name)),
    );
    match build_request(worker, peer, relay)
        .send_stream(relay.body.clone())
        .await
    {
        Ok(res) => Ok(stream_response(worker, res)),
        Err(err) if nothing_sent(&err) => {
            worker.entry.log(
                events::RELAY_FAILED,
                format_args!(
                    "request={} to={} reason={}",
                    Field(&relay.request),
                    Field(&peer.name),
                    Quoted(&err)
                ),
            );
            Err(RelayError::NotSent)
        }
        Err(err) => Err(RelayError::Broken(err.to_string())),
    }
}

/// Builds the request to the peer, without its body.
fn build_request(worker: &Worker, peer: &Member, relay: &Relay<'_>) -> ClientRequest {
    let mut req = worker
        .single_use
        .post(format!("http://{}{}", peer.peer, relay.path))
        .timeout(relay.remaining)
        .insert_header((PEER_HEADER, peer_token(&worker.entry.settings.fleet_key)))
        .insert_header((headers::HOPS, relay.hops.to_string()))
        .insert_header((headers::REQUEST, relay.request))
        .insert_header((headers::DEADLINE, relay.remaining.as_millis().to_string()));
    for name in REQUEST_HEADERS {
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

fn stream_response<S>(worker: &Worker, res: ClientResponse<S>) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let mut builder = HttpResponseBuilder::new(res.status());
    for name in RESPONSE_HEADERS {
        if let Some(value) = res.headers().get(&name) {
            builder.insert_header((name, value.clone()));
        }
    }
    // A planned stop waits until the whole response has been streamed.
    let in_flight = InFlight::new(&worker.entry.in_flight);
    builder.streaming(res.map(move |chunk| {
        let _in_flight = &in_flight;
        chunk
    }))
}

/// Response when the other entry may be running the request.
pub fn interrupted_relay(request: &str, reason: &str) -> HttpResponse {
    let message = format!("the entry that serves the request did not answer: {reason}");
    AnswerBody::unknown(request, ErrorKind::RelayFailed, message).into_response()
}

/// Relays a validated request to a peer, under the peers' path.
pub async fn relay_to(
    worker: &Worker,
    req: &HttpRequest,
    validated: &ValidatedRequest,
    body: SharedBody,
    member: &Member,
    origin: Origin,
    claim_owner: bool,
) -> Result<HttpResponse, RelayError> {
    let path = format!("/peer{}", req.path().trim_start_matches("/peer"));
    let relay = Relay {
        path: &path,
        request: &validated.request,
        headers: req.headers(),
        body,
        remaining: validated.remaining(),
        hops: origin.hops + 1,
        claim_owner,
    };
    self::relay(worker, member, &relay).await
}
