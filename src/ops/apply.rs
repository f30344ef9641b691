//! Applies files as a whole.

use std::path::PathBuf;
use std::time::Duration;

use hollowsail_config::Faults;
use hollowsail_entry::apply::{ApplyRequest, ApplyResult};
use hollowsail_local::localize::read_file;

use crate::ops::operator::Operator;
use crate::{Context, Exit};

/// Time for the store, besides the wait for "in force everywhere".
const STORE_TIME: Duration = Duration::from_secs(30);

/// What to apply.
pub struct Apply {
    pub operator: Operator,
    pub paths: Vec<PathBuf>,
    pub base: u64,
    pub apply_id: String,
    /// The same apply was sent before.
    pub resent: bool,
    pub wait_ms: u64,
}

/// Sends the files and says how it ended.
pub async fn run(cx: &mut Context<'_>, apply: Apply) -> Exit {
    let mut files = Vec::new();
    for path in &apply.paths {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(err) => {
                cx.complain(format_args!("error: {err}"));
                return Exit::Unusable;
            }
        }
    }
    let request = ApplyRequest {
        files,
        base: apply.base,
        apply_id: apply.apply_id,
        resent: apply.resent,
        wait_ms: apply.wait_ms,
    };
    let wait = Duration::from_millis(apply.wait_ms) + STORE_TIME;
    match apply
        .operator
        .post("/v1/configuration", &request, wait)
        .await
    {
        Ok(result) => report(cx, &request.apply_id, result),
        Err(err) => {
            cx.complain(format_args!(
                "error: {err}\nIt may have been accepted: apply again with --base {} --id {}",
                request.base, request.apply_id
            ));
            Exit::Unusable
        }
    }
}

/// Says how an apply ended, and what to do next.
pub fn report(cx: &mut Context<'_>, apply_id: &str, result: ApplyResult) -> Exit {
    match result {
        ApplyResult::Accepted { revision, missing } if missing.is_empty() => {
            cx.say(format_args!("revision {revision} is in force everywhere"));
            Exit::Success
        }
        ApplyResult::Accepted { revision, missing } => {
            cx.say(format_args!("revision {revision} is accepted and final"));
            cx.complain(format_args!(
                "not yet reported by: {}; see `hollowsail status`",
                missing.join(", ")
            ));
            Exit::Failure
        }
        ApplyResult::Faulty { faults } => {
            cx.complain(Faults(faults));
            Exit::Failure
        }
        ApplyResult::Conflict {
            differs_in,
            message,
            ..
        } => {
            cx.complain(format_args!("conflict: {message}"));
            for file in differs_in {
                cx.complain(format_args!("  differs: {file}"));
            }
            Exit::Failure
        }
        ApplyResult::Unknown { message } => {
            cx.complain(format_args!("unknown: {message} (--id {apply_id})"));
            Exit::Failure
        }
        ApplyResult::Unavailable { message } => {
            cx.complain(format_args!("unavailable: {message}"));
            Exit::Failure
        }
    }
}
