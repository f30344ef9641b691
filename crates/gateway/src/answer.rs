//! Responses that the gateway creates itself, and the body type of every response.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::headers;
use http::{header, HeaderValue, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// Reason why a response body ends early; the caller's connection is closed.
#[derive(Debug, Snafu)]
pub enum BodyFault {
    /// The connection to the target failed.
    #[snafu(display("the target's response was interrupted: {source}"))]
    Target {
        source: crate::kept_body::KeptBodyError,
    },
    /// The target's connection ended before the stream did.
    #[snafu(display("the target's stream ended inside an event"))]
    InsideEvent,
    /// The target's connection ended, which marks the end of its stream, before any event.
    #[snafu(display("the target's connection ended before the first event"))]
    NoEvent,
    /// The target crashed, which ended its connection and thereby its response.
    #[snafu(display("the target crashed, which ended a response without a length"))]
    TargetCrashed,
    /// The target may have crashed: neither this host nor a peer reaches it.
    #[snafu(display(
        "a response without a length ended, and no host can tell whether its target crashed"
    ))]
    UnconfirmedEnd,
    /// The target sends more bytes than an event may have, without its end.
    #[snafu(display("the target's stream has an event without an end"))]
    EventTooLong,
    /// The deadline of the request passed.
    #[snafu(display("the request's deadline passed before the response was complete"))]
    DeadlineExceeded,
}

/// Body of a response.
pub type AnswerStream = Pin<Box<dyn Body<Data = Bytes, Error = BodyFault>>>;

/// A complete body.
pub fn full_body(bytes: Bytes) -> AnswerStream {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A request that the gateway answers itself with an error.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub kind: ErrorKind,
    /// Overrides the kind's own `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Shown to the caller and in the log; contains no payload.
    pub detail: String,
}

impl Refusal {
    /// A refusal with the kind's own `Retry-After`.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal {
            kind,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Sets `Retry-After`.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    #[expect(
        clippy::expect_used,
        reason = "the table of kinds has valid statuses, as a test of the catalogues shows"
    )]
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.answer().status)
            .expect("every error kind has a valid status")
    }

    /// The response, with a plain-text body. Only status 503 carries `Retry-After`.
    pub fn into_response(self, request_id: Option<&str>) -> Response<AnswerStream> {
        let row = self.kind.answer();
        let status = self.status();
        let text = format!("{}: {}; {}\n", row.name, self.detail, row.advice);
        let mut response = Response::new(full_body(text.into()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(request_id) = request_id {
            headers::set_request_id(headers, request_id);
        }
        let own = row.retry_after_ms.map(Duration::from_millis);
        let promises_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(after) = self.retry_after.or(own).filter(|_| promises_not_run) {
            headers.insert(header::RETRY_AFTER, headers::retry_after_value(after));
        }
        response
    }
}
