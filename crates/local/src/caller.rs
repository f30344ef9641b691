//! A client of an entry's callers' listener.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use hollowsail_clients::http;
use hollowsail_entry::tickets::Tickets;
use hollowsail_entry::{headers, AnswerBody};
use serde_json::{json, Value};
use snafu::Snafu;

/// Wait beyond the deadline, in which a "deadline exceeded" answer may arrive.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// Why no complete answer arrived.
#[derive(Debug, Snafu)]
pub enum CallerError {
    #[snafu(display("cannot connect: {reason}; nothing was sent"))]
    NotSent { reason: String },
    #[snafu(display("incomplete answer: {reason}"))]
    Broken { reason: String },
}

/// How a request is limited to one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Once {
    No,
    Ticket(String),
    /// The caller's own id, and the time of its first send in Unix milliseconds.
    Id(String, u64),
}

/// A request to a pipeline.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub pipeline: &'a str,
    pub key: &'a str,
    pub id: Option<&'a str>,
    pub deadline_ms: Option<u64>,
    pub once: Once,
    pub input: Value,
    pub session: Option<&'a str>,
}

impl<'a> Request<'a> {
    pub fn new(pipeline: &'a str, key: &'a str, input: Value) -> Self {
        Request {
            pipeline,
            key,
            id: None,
            deadline_ms: None,
            once: Once::No,
            input,
            session: None,
        }
    }
}

/// An answer with its HTTP status.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    pub status: u16,
    pub body: AnswerBody,
    /// Text of the token events since the last restart event.
    pub streamed: String,
}

/// A pooled HTTP client, bound to one thread.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Default for Caller {
    fn default() -> Self {
        Caller {
            client: http::pooled_client(),
        }
    }
}

impl Caller {
    /// Sends a request and reads its answer as one JSON body.
    pub async fn call(
        &self,
        entry: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Response, CallerError> {
        let mut res = self.send(entry, request, false).await?;
        let status = res.status().as_u16();
        let body = res.body().limit(16 * 1024 * 1024);
        let body = with_timeout(request, body).await?;
        let body = serde_json::from_slice(&body).map_err(broken_error)?;
        Ok(Response {
            status,
            body,
            streamed: String::new(),
        })
    }

    /// Sends a request and reads its answer as server-sent events.
    pub async fn stream(
        &self,
        entry: SocketAddr,
        request: &Request<'_>,
    ) -> Result<Response, CallerError> {
        let mut res = self.send(entry, request, true).await?;
        let status = res.status().as_u16();
        let content_type = res.headers().get("content-type");
        if content_type.is_none_or(|content_type| content_type != "text/event-stream") {
            let body = with_timeout(request, res.body()).await?;
            return Ok(Response {
                status,
                body: serde_json::from_slice(&body).map_err(broken_error)?,
                streamed: String::new(),
            });
        }
        let mut events = res.eventsource();
        let mut streamed = String::new();
        while let Some(event) = events.next().await {
            let event = event.map_err(broken_error)?;
            match event.event.as_str() {
                "token" => {
                    let token: Value = serde_json::from_str(&event.data).map_err(broken_error)?;
                    streamed.push_str(token["text"].as_str().unwrap_or(""));
                }
                "restart" => streamed.clear(),
                _ => {
                    return Ok(Response {
                        status,
                        body: serde_json::from_str(&event.data).map_err(broken_error)?,
                        streamed,
                    })
                }
            }
        }
        Err(broken_error("the event stream ended without an answer"))
    }

    /// Requests `count` tickets for the key's organisation.
    pub async fn tickets(
        &self,
        entry: SocketAddr,
        key: &str,
        count: usize,
    ) -> Result<Vec<String>, CallerError> {
        let mut res = self
            .client
            .post(format!("http://{entry}/v1/tickets?count={count}"))
            .bearer_auth(key)
            .timeout(DEADLINE_GRACE)
            .send()
            .await
            .map_err(send_error)?;
        let body = res.body().await.map_err(broken_error)?;
        let tickets: Tickets = serde_json::from_slice(&body).map_err(broken_error)?;
        Ok(tickets.tickets)
    }

    async fn send(
        &self,
        entry: SocketAddr,
        request: &Request<'_>,
        events: bool,
    ) -> Result<awc::ClientResponse, CallerError> {
        let url = format!("http://{entry}/v1/pipelines/{}", request.pipeline);
        let mut req = self
            .client
            .post(url)
            .bearer_auth(request.key)
            .timeout(response_timeout(request));
        if let Some(id) = request.id {
            req = req.insert_header((headers::REQUEST, id));
        }
        if let Some(ms) = request.deadline_ms {
            req = req.insert_header((headers::DEADLINE, ms.to_string()));
        }
        if events {
            req = req.insert_header(("accept", "text/event-stream"));
        }
        req = match &request.once {
            Once::No => req,
            Once::Ticket(ticket) => req.insert_header((headers::TICKET, ticket.as_str())),
            Once::Id(id, sent_ms) => req
                .insert_header((headers::IDEMPOTENCY_KEY, id.as_str()))
                .insert_header((headers::IDEMPOTENCY_TIME, sent_ms.to_string())),
        };
        let mut body = json!({ "input": request.input });
        if let Some(session) = request.session {
            body["session"] = json!(session);
        }
        req.send_json(&body).await.map_err(send_error)
    }
}

fn response_timeout(request: &Request<'_>) -> Duration {
    let deadline = Duration::from_millis(request.deadline_ms.unwrap_or(120_000));
    deadline + DEADLINE_GRACE
}

async fn with_timeout<T, E: ToString>(
    request: &Request<'_>,
    body: impl std::future::Future<Output = Result<T, E>>,
) -> Result<T, CallerError> {
    match tokio::time::timeout(response_timeout(request), body).await {
        Ok(read) => read.map_err(|err| broken_error(err.to_string())),
        Err(_) => Err(broken_error("timed out while reading the body")),
    }
}

fn send_error(err: awc::error::SendRequestError) -> CallerError {
    let reason = err.to_string();
    if http::nothing_sent(&err) {
        CallerError::NotSent { reason }
    } else {
        CallerError::Broken { reason }
    }
}

fn broken_error(err: impl ToString) -> CallerError {
    CallerError::Broken {
        reason: err.to_string(),
    }
}
