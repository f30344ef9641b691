//! The body of a request: streamed to a peer, or read and parsed here.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_web::error::PayloadError;
use actix_web::web::{Bytes, Payload};
use futures_util::{Stream, StreamExt};
use serde::Deserialize;
use serde_json::Value;
use tokio::time::timeout;

use crate::answer::{AnswerBody, Refusal};
use crate::job::Job;
use crate::kinds::ErrorKind;
use crate::validate::ValidatedRequest;
use crate::worker::Worker;

/// Body of a pipeline request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    input: Value,
    session: Option<String>,
}

type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// A request body shared by several relay attempts: an attempt that fails before it
/// reads anything leaves the body complete for the next.
#[derive(Clone)]
pub struct SharedBody(Rc<RefCell<BodyStream>>);

impl SharedBody {
    pub fn new(body: Payload) -> Self {
        SharedBody(Rc::new(RefCell::new(Box::pin(body))))
    }

    /// A body that was already read.
    pub fn from_bytes(bytes: Vec<u8>) -> Self {
        let stream = futures_util::stream::iter([Ok(Bytes::from(bytes))]);
        SharedBody(Rc::new(RefCell::new(Box::pin(stream))))
    }
}

impl Stream for SharedBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.borrow_mut().as_mut().poll_next(cx)
    }
}

/// Reads and parses the body within the deadline; returns the job and the raw bytes.
pub async fn read_job(
    worker: &Worker,
    validated: &ValidatedRequest,
    body: SharedBody,
) -> Result<(Job, Vec<u8>), Refusal> {
    let refuse = |kind, message: String| AnswerBody::refusal(&validated.request, kind, message);
    let limit = worker.entry.settings.limits.max_body_bytes;
    let bytes = timeout(validated.remaining(), read_body(body, limit))
        .await
        .unwrap_or_else(|_| {
            let message = "the request body was not received within the deadline".to_string();
            Err((ErrorKind::DeadlineExceeded, message))
        })
        .map_err(|(kind, message)| refuse(kind, message))?;
    let parsed: RequestBody = serde_json::from_slice(&bytes).map_err(|err| {
        let message = format!("the request body is not valid: {err}");
        refuse(ErrorKind::BadRequest, message)
    })?;
    let job = Job {
        request: validated.request.clone(),
        run: worker.entry.new_run_id(),
        org: validated.org_name().to_string(),
        configuration: validated.configuration.clone(),
        pipeline: validated.pipeline,
        accepted: validated.accepted,
        deadline: validated.deadline,
        session: parsed.session,
        input: parsed.input,
    };
    Ok((job, bytes))
}

async fn read_body(mut body: SharedBody, limit: usize) -> Result<Vec<u8>, (ErrorKind, String)> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.next().await {
        let chunk = chunk.map_err(|err| {
            let message = format!("the request body was interrupted: {err}");
            (ErrorKind::BadRequest, message)
        })?;
        if bytes.len() + chunk.len() > limit {
            let message = format!("the request body has more than {limit} bytes");
            return Err((ErrorKind::BodyTooLarge, message));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
