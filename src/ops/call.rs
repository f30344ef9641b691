//! Calls a pipeline, as a caller would, and prints the answer.

use std::net::SocketAddr;

use hollowsail_entry::AnswerBody;
use hollowsail_local::caller::Request;
use hollowsail_local::{Caller, Once};
use hollowsail_routing::{Outcome, StageStatus};
use serde_json::Value;

use crate::{Context, Exit};

/// Longest output that is printed whole.
const SHOWN_OUTPUT: usize = 400;

/// What to call.
pub struct Call {
    /// Callers' listener of an entry.
    pub entry: SocketAddr,
    pub pipeline: String,
    pub key: String,
    pub input: String,
    pub deadline_ms: Option<u64>,
    /// Get a ticket first and present it.
    pub once: bool,
}

/// Calls and prints.
pub async fn run(cx: &mut Context<'_>, call: &Call) -> Exit {
    let caller = Caller::default();
    let mut request = Request::new(&call.pipeline, &call.key, Value::from(call.input.as_str()));
    request.deadline_ms = call.deadline_ms;
    if call.once {
        match caller.tickets(call.entry, &call.key, 1).await {
            Ok(mut tickets) => request.once = tickets.pop().map_or(Once::No, Once::Ticket),
            Err(err) => {
                cx.complain(format_args!(
                    "error: no ticket: {err}; check --entry and --key"
                ));
                return Exit::Unusable;
            }
        }
    }
    match caller.call(call.entry, &request).await {
        Ok(answered) => {
            print(cx, &call.pipeline, &answered.body);
            exit_of(&answered.body)
        }
        Err(err) => {
            cx.complain(format_args!("error: {err}; check --entry"));
            Exit::Unusable
        }
    }
}

fn exit_of(answer: &AnswerBody) -> Exit {
    match answer.outcome {
        Outcome::Whole => Exit::Success,
        Outcome::NotRun | Outcome::Unknown => Exit::Failure,
    }
}

/// Writes an answer for people.
pub fn print(cx: &mut Context<'_>, pipeline: &str, answer: &AnswerBody) {
    let outcome = match answer.outcome {
        Outcome::Whole => "whole",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    };
    cx.say(format_args!("{pipeline}: {outcome}"));
    if let (Some(kind), Some(message)) = (answer.kind, &answer.message) {
        cx.say(format_args!("  {}: {message}", kind.answer().name));
    }
    for stage in &answer.stages {
        let status = match stage.status {
            StageStatus::Ran => "ran",
            StageStatus::NotRun => "not run",
            StageStatus::Unknown => "unknown",
        };
        cx.say(format_args!(
            "  {:<10} {status}, {} attempt(s), {} ms",
            stage.stage, stage.attempts, stage.ms
        ));
    }
    if let Some(output) = &answer.output {
        cx.say(format_args!("  output: {}", shorten(&output.to_string())));
    }
}

fn shorten(text: &str) -> String {
    if text.chars().count() <= SHOWN_OUTPUT {
        return text.to_string();
    }
    let shown: String = text.chars().take(SHOWN_OUTPUT).collect();
    format!("{shown}... ({} bytes)", text.len())
}
