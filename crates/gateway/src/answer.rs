//! Answers of our own, and the type of every answer's body.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::heads;
use http::{header, HeaderValue, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use snafu::Snafu;

/// Why an answer ends before its end; the caller's connection breaks.
#[derive(Debug, Snafu)]
pub enum BodyFault {
    /// The target's connection broke.
    #[snafu(display("the target's answer broke off: {source}"))]
    Target {
        source: hollowsail_connect::BodyError,
    },
    /// The request's time is over.
    #[snafu(display("the request's time is over"))]
    TimeOver,
}

/// Body of any answer.
pub type AnswerStream = Pin<Box<dyn Body<Data = Bytes, Error = BodyFault>>>;

/// A body that is all there.
pub fn whole(bytes: Bytes) -> AnswerStream {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Why a request gets an answer of our own, and what it says.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    pub kind: ErrorKind,
    /// Replaces the kind's own time to come back.
    pub retry_after: Option<Duration>,
    /// For the log and the caller; no payload.
    pub detail: String,
}

impl Refusal {
    /// A refusal with the kind's own time to come back.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal {
            kind,
            retry_after: None,
            detail: detail.into(),
        }
    }

    /// Names another time to come back.
    pub fn come_back_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.answer().status).expect("the table holds valid statuses")
    }

    /// The answer itself.
    pub fn into_response(self, request_id: Option<&str>) -> Response<AnswerStream> {
        let row = self.kind.answer();
        let status = self.status();
        let text = format!("{}: {}; {}\n", row.name, self.detail, row.advice);
        let mut response = Response::new(whole(text.into()));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(request_id) = request_id {
            heads::set_request_id(headers, request_id);
        }
        let own = row.retry_after_ms.map(Duration::from_millis);
        let promises_not_run = status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(after) = self.retry_after.or(own).filter(|_| promises_not_run) {
            headers.insert(header::RETRY_AFTER, heads::retry_after_value(after));
        }
        response
    }
}
