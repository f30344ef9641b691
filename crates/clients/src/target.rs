//! Client of targets: one call, answered in JSON or as a token stream.
//!
//! Every call carries a dispatch id that the target echoes. An answer with
//! another id belongs to another call and is never handed on. A JSON answer is
//! whole when its stated length matches; a stream when its end event comes
//! with the right number of tokens.

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

/// Carries the dispatch id both ways.
pub const DISPATCH_HEADER: &str = "hollowsail-dispatch";
/// Remaining time in milliseconds, relative.
pub const REMAINING_HEADER: &str = "hollowsail-remaining-ms";
/// Organisation on whose behalf the call runs.
pub const ORGANISATION_HEADER: &str = "hollowsail-organisation";
/// Set by a target that takes no new work.
pub const LEAVING_HEADER: &str = "hollowsail-leaving";
/// Requests a target holds, as it saw them a while ago.
pub const LOAD_HEADER: &str = "hollowsail-load";
/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What a target is asked to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// `request/stage/attempt`; echoed by the target.
    pub dispatch: String,
    pub stage: String,
    pub model: Option<String>,
    pub adapter: Option<String>,
    pub priority: u8,
    /// Names a prompt prefix that requests of one session share.
    pub session: Option<String>,
    /// 0 for services that do not generate.
    pub max_tokens: u32,
    /// First token wanted; larger than 0 resumes a broken stream.
    pub from_token: u32,
    pub input: Value,
}

/// A whole answer that is not streamed.
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
        /// Position of this token in the whole answer.
        offset: u32,
        text: String,
    },
    End {
        dispatch: String,
        /// Tokens of the whole answer.
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

/// How far a failed call got; what it proves about the target is decided by
/// `hollowsail-routing`'s table, not here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// No byte was handed to a socket.
    Nothing,
    /// The target answered with this refusal.
    Refusal(u16),
    /// Some byte may have arrived and no valid answer came back.
    Something,
}

/// A call that gave no valid answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct CallError {
    pub sent: Sent,
    /// The target said that it takes no new work.
    pub leaving: bool,
    pub reason: String,
}

impl CallError {
    fn new(sent: Sent, reason: impl ToString) -> Self {
        CallError {
            sent,
            leaving: false,
            reason: reason.to_string(),
        }
    }

    fn broken(reason: impl ToString) -> Self {
        CallError::new(Sent::Something, reason)
    }
}

/// What an answer's headers say of the target itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    pub leaving: bool,
    pub load: Option<u32>,
}

type Reply = awc::ClientResponse;

/// Calls a target and reads its whole answer.
pub async fn call(
    client: &Client,
    address: SocketAddr,
    org: &str,
    call: &Call,
    remaining: Duration,
) -> Result<(Value, TargetNotice), CallError> {
    let (mut reply, notice) = send(client, address, org, call, remaining).await?;
    let body = reply
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|err| CallError::broken(format!("the answer broke off: {err}")))?;
    let answer: Answer = serde_json::from_slice(&body)
        .map_err(|err| CallError::broken(format!("the answer is not valid: {err}")))?;
    check_answer(call, answer).map(|output| (output, notice))
}

fn check_answer(call: &Call, answer: Answer) -> Result<Value, CallError> {
    if answer.dispatch != call.dispatch {
        return Err(CallError::broken("the answer belongs to another call"));
    }
    let length = answer.output.to_string().len();
    if length != answer.length {
        return Err(CallError::broken(format!(
            "the answer states {} bytes and holds {length}",
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
) -> Result<(TokenStream, TargetNotice), CallError> {
    let (reply, notice) = send(client, address, org, call, remaining).await?;
    let stream = TokenStream {
        events: Box::pin(reply.eventsource()),
        dispatch: call.dispatch.clone(),
        next_offset: call.from_token,
    };
    Ok((stream, notice))
}

async fn send(
    client: &Client,
    address: SocketAddr,
    org: &str,
    call: &Call,
    remaining: Duration,
) -> Result<(Reply, TargetNotice), CallError> {
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
        Err(err) if http::nothing_sent(&err) => return Err(CallError::new(Sent::Nothing, err)),
        Err(err) => return Err(CallError::broken(err)),
    };
    let notice = read_notice(&reply);
    if reply.status() == 200 {
        return Ok((reply, notice));
    }
    let status = reply.status().as_u16();
    let sent = if (400..600).contains(&status) {
        Sent::Refusal(status)
    } else {
        Sent::Something
    };
    Err(CallError {
        sent,
        leaving: notice.leaving,
        reason: format!("the target answered with status {status}"),
    })
}

fn read_notice<S>(reply: &awc::ClientResponse<S>) -> TargetNotice {
    TargetNotice {
        leaving: reply.headers().contains_key(LEAVING_HEADER),
        load: reply
            .headers()
            .get(LOAD_HEADER)
            .and_then(|value| value.to_str().ok()?.parse().ok()),
    }
}

type Events =
    Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<awc::error::PayloadError>>>>>;

/// An open stream of tokens that checks each event as it comes.
pub struct TokenStream {
    events: Events,
    dispatch: String,
    next_offset: u32,
}

/// What the next event of a stream is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStep {
    Token(String),
    /// The end marker came and every token before it.
    Whole,
}

impl TokenStream {
    /// Waits for the next token or the end marker.
    pub async fn next(&mut self) -> Result<StreamStep, CallError> {
        loop {
            let event = match self.events.next().await {
                Some(Ok(event)) => event,
                Some(Err(err)) => return Err(CallError::broken(format!("stream broke: {err}"))),
                None => return Err(CallError::broken("the stream ended without its end marker")),
            };
            let event: TokenEvent = serde_json::from_str(&event.data)
                .map_err(|err| CallError::broken(format!("stream event is not valid: {err}")))?;
            if event.dispatch() != self.dispatch {
                return Err(CallError::broken("a stream event belongs to another call"));
            }
            if let Some(step) = self.take(event)? {
                return Ok(step);
            }
        }
    }

    /// Accepts an event; a repeated token is passed over, a gap is an error.
    fn take(&mut self, event: TokenEvent) -> Result<Option<StreamStep>, CallError> {
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
                Ok(Some(StreamStep::Whole))
            }
            TokenEvent::End { tokens, .. } => Err(CallError::broken(format!(
                "the stream ended after {} of {tokens} tokens",
                self.next_offset
            ))),
        }
    }
}
