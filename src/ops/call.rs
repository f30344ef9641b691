//! Calls a pipeline and prints the answer.

use std::net::SocketAddr;

use hollowsail_entry::AnswerBody;
use hollowsail_local::caller::Request;
use hollowsail_local::{Caller, Once};
use hollowsail_routing::{Outcome, StageStatus};
use serde_json::Value;

use crate::{Context, Exit};

/// Longer outputs are truncated when printed.
const MAX_PRINTED_CHARS: usize = 400;

/// Arguments of `hollowsail call`.
pub struct Call {
    /// Address of an entry's callers' listener.
    pub entry: SocketAddr,
    pub pipeline: String,
    pub key: String,
    pub input: String,
    pub deadline_ms: Option<u64>,
    /// Get a ticket first, so that the request runs at most once.
    pub once: bool,
}

/// Calls the pipeline and prints the answer.
pub async fn run(cx: &mut Context<'_>, call: &Call) -> Exit {
    let caller = Caller::default();
    let mut request = Request::new(&call.pipeline, &call.key, Value::from(call.input.as_str()));
    request.deadline_ms = call.deadline_ms;
    if call.once {
        match caller.tickets(call.entry, &call.key, 1).await {
            Ok(mut tickets) => request.once = tickets.pop().map_or(Once::No, Once::Ticket),
            Err(err) => {
                cx.print_error(format_args!(
                    "error: no ticket: {err}; check --entry and --key"
                ));
                return Exit::CannotRun;
            }
        }
    }
    match caller.call(call.entry, &request).await {
        Ok(response) => {
            print(cx, &call.pipeline, &response.body);
            exit_of(&response.body)
        }
        Err(err) => {
            cx.print_error(format_args!("error: {err}; check --entry"));
            Exit::CannotRun
        }
    }
}

fn exit_of(answer: &AnswerBody) -> Exit {
    match answer.outcome {
        Outcome::Whole => Exit::Success,
        Outcome::NotRun | Outcome::Unknown => Exit::Failure,
    }
}

/// Prints an answer in human-readable form.
pub fn print(cx: &mut Context<'_>, pipeline: &str, answer: &AnswerBody) {
    let outcome = match answer.outcome {
        Outcome::Whole => "whole",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    };
    cx.print(format_args!("{pipeline}: {outcome}"));
    if let (Some(kind), Some(message)) = (answer.kind, &answer.message) {
        cx.print(format_args!("  {}: {message}", kind.answer().name));
    }
    for stage in &answer.stages {
        let status = match stage.status {
            StageStatus::Ran => "ran",
            StageStatus::NotRun => "not run",
            StageStatus::Unknown => "unknown",
        };
        cx.print(format_args!(
            "  {:<10} {status}, {} attempt(s), {} ms",
            stage.stage, stage.attempts, stage.ms
        ));
    }
    if let Some(output) = &answer.output {
        cx.print(format_args!("  output: {}", truncate(&output.to_string())));
    }
}

fn truncate(text: &str) -> String {
    if text.chars().count() <= MAX_PRINTED_CHARS {
        return text.to_string();
    }
    let prefix: String = text.chars().take(MAX_PRINTED_CHARS).collect();
    format!("{prefix}... ({} bytes)", text.len())
}
