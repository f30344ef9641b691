//! Client of targets: one call, answered in JSON or as a token stream.
//!
//! Every call carries a dispatch id that the target echoes; an answer with a
//! different id is rejected. A JSON answer is complete if its declared length
//! matches, a stream if its end event has the expected number of tokens.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use awc::Client;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::Snafu;

use crate::http;

/// Dispatch id, in requests and answers.
pub const DISPATCH_HEADER: &str = "hollowsail-dispatch";
/// Time until the deadline, in milliseconds.
pub const REMAINING_HEADER: &str = "hollowsail-remaining-ms";
/// Organisation on whose behalf the call runs.
pub const ORGANISATION_HEADER: &str = "hollowsail-organisation";
/// Sent by a draining target, which takes no new work.
pub const DRAINING_HEADER: &str = "hollowsail-leaving";
/// Requests at the target, possibly out of date.
pub const LOAD_HEADER: &str = "hollowsail-load";
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A request to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// `request/stage/attempt`; echoed by the target.
    pub dispatch: String,
    pub stage: String,
    pub model: Option<String>,
    pub adapter: Option<String>,
    pub priority: u8,
    /// Identifies a prompt prefix that requests of one session share.
    pub session: Option<String>,
    /// 0 for services that do not generate.
    pub max_tokens: u32,
    /// Position of the first token to send; above 0 when resuming a broken stream.
    pub from_token: u32,
    pub input: Value,
}

/// A complete answer that is not streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    pub dispatch: String,
    /// Length in bytes of `output` as JSON text.
    pub length: usize,
    pub output: Value,
}

/// One event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TokenEvent {
    Token {
        dispatch: String,
        /// Position of this token in the complete answer.
        offset: u32,
        text: String,
    },
    End {
        dispatch: String,
        /// Tokens in the complete answer.
        tokens: u32,
    },
}

impl TokenEvent {
    fn dispatch(&self) -> &str {
        match self {
            TokenEvent::Token { dispatch, .. } | TokenEvent::End { dispatch, .. } => dispatch,
        }
    }
}

/// How far a failed call got; `hollowsail-routing` decides what that implies
/// about the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was written to a socket.
    NotSent,
    /// The target answered with this refusal.
    Refusal(u16),
    /// The request may have reached the target, which sent no valid answer.
    MaybeSent,
}

/// A call without a valid answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct CallError {
    pub progress: SendProgress,
    /// The target reported that it is draining.
    pub draining: bool,
    pub reason: String,
}

impl CallError {
    fn new(progress: SendProgress, reason: impl ToString) -> Self {
        CallError {
            progress,
            draining: false,
            reason: reason.to_string(),
        }
    }

    fn broken(reason: impl ToString) -> Self {
        CallError::new(SendProgress::MaybeSent, reason)
    }
}

/// The target's reports on itself in an answer's headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetReports {
    pub draining: bool,
    pub load: Option<u32>,
}

type Reply = awc::ClientResponse;

/// Calls a target and reads its complete answer; checks dispatch id and length.
pub async fn call(
    client: &Client,
    address: SocketAddr,
    org: &str,
    call: &Call,
    remaining: Duration,
) -> Result<(Value, TargetReports), CallError> {
    let (mut reply, reports) = send(client, address, org, call, remaining).await?;
    let body = reply
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|err| CallError::broken(format!("the answer was cut off: {err}")))?;
    let answer: Answer = serde_json::from_slice(&body)
        .map_err(|err| CallError::broken(format!("the answer is not valid: {err}")))?;
    check_answer(call, answer).map(|output| (output, reports))
}

fn check_answer(call: &Call, answer: Answer) -> Result<Value, CallError> {
    if answer.dispatch != call.dispatch {
        return Err(CallError::broken("the answer belongs to another call"));
    }
    let length = answer.output.to_string().len();
    if length != answer.length {
        return Err(CallError::broken(format!(
            "the answer declares {} bytes but contains {length}",
            answer.length
        )));
    }
    Ok(answer.output)
}

/// Calls an engine and returns its stream of tokens.
pub async fn open_stream(
    client: &Client,
    address: SocketAddr,
    org: &str,
    call: &Call,
    remaining: Duration,
) -> Result<(TokenStream, TargetReports), CallError> {
    let (reply, reports) = send(client, address, org, call, remaining).await?;
    let stream = TokenStream {
        events: Box::pin(reply.eventsource()),
        dispatch: call.dispatch.clone(),
        next_offset: call.from_token,
    };
    Ok((stream, reports))
}

async fn send(
    client: &Client,
    address: SocketAddr,
    org: &str,
    call: &Call,
    remaining: Duration,
) -> Result<(Reply, TargetReports), CallError> {
    let sent = client
        .post(format!("http://{address}/call"))
        .timeout(remaining)
        .insert_header((DISPATCH_HEADER, call.dispatch.as_str()))
        .insert_header((REMAINING_HEADER, remaining.as_millis().to_string()))
        .insert_header((ORGANISATION_HEADER, org))
        .send_json(call)
        .await;
    let reply = match sent {
        Ok(reply) => reply,
        Err(err) if http::nothing_sent(&err) => {
            return Err(CallError::new(SendProgress::NotSent, err))
        }
        Err(err) => return Err(CallError::broken(err)),
    };
    let reports = read_reports(&reply);
    if reply.status() == 200 {
        return Ok((reply, reports));
    }
    let status = reply.status().as_u16();
    let progress = if (400..600).contains(&status) {
        SendProgress::Refusal(status)
    } else {
        SendProgress::MaybeSent
    };
    Err(CallError {
        progress,
        draining: reports.draining,
        reason: format!("the target answered with status {status}"),
    })
}

fn read_reports<S>(reply: &awc::ClientResponse<S>) -> TargetReports {
    TargetReports {
        draining: reply.headers().contains_key(DRAINING_HEADER),
        load: reply
            .headers()
            .get(LOAD_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok()),
    }
}

type Events =
    Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<awc::error::PayloadError>>>>>;

/// An open stream of tokens; checks the dispatch id and offset of each event.
pub struct TokenStream {
    events: Events,
    dispatch: String,
    next_offset: u32,
}

/// The next step of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    Token(String),
    /// The end event arrived, after all tokens.
    End,
}

impl TokenStream {
    /// Waits for the next token or the end event.
    pub async fn next(&mut self) -> Result<StreamStep, CallError> {
        loop {
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(err)) => {
                    return Err(CallError::broken(format!("the stream was cut off: {err}")))
                }
                None => return Err(CallError::broken("the stream ended without its end event")),
            };
            let event: TokenEvent = serde_json::from_str(&event.data)
                .map_err(|err| CallError::broken(format!("a stream event is not valid: {err}")))?;
            if event.dispatch() != self.dispatch {
                return Err(CallError::broken("a stream event belongs to another call"));
            }
            if let Some(step) = self.accept(event)? {
                return Ok(step);
            }
        }
    }

    /// Checks an event; a repeated token is skipped, a gap is an error.
    fn accept(&mut self, event: TokenEvent) -> Result<Option<StreamStep>, CallError> {
        match event {
            TokenEvent::Token { offset, .. } if offset < self.next_offset => Ok(None),
            TokenEvent::Token { offset, text, .. } if offset == self.next_offset => {
                self.next_offset += 1;
                Ok(Some(StreamStep::Token(text)))
            }
            TokenEvent::Token { offset, .. } => Err(CallError::broken(format!(
                "token {} is missing before {offset}",
                self.next_offset
            ))),
            TokenEvent::End { tokens, .. } if tokens == self.next_offset => {
                Ok(Some(StreamStep::End))
            }
            TokenEvent::End { tokens, .. } => Err(CallError::broken(format!(
                "the stream ended after {} of {tokens} tokens",
                self.next_offset
            ))),
        }
    }
}
