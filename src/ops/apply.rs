//! Applies a deployment's files as one revision.

use std::path::PathBuf;
use std::time::Duration;

use hollowsail_config::Faults;
use hollowsail_entry::apply::{ApplyRequest, ApplyResult};
use hollowsail_local::localize::read_file;

use crate::ops::operator::Operator;
use crate::{Context, Exit};

/// Time for the store to respond, added to the wait until the revision is in force.
const STORE_TIMEOUT: Duration = Duration::from_secs(30);

/// Arguments of `hollowsail apply`.
pub struct Apply {
    pub operator: Operator,
    pub paths: Vec<PathBuf>,
    pub base: u64,
    pub apply_id: String,
    /// True when the same apply was sent before.
    pub resent: bool,
    pub wait_ms: u64,
}

/// Sends the files and prints the result.
pub async fn run(cx: &mut Context<'_>, apply: Apply) -> Exit {
    let mut files = Vec::new();
    for path in &apply.paths {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(err) => {
                cx.print_error(format_args!("error: {err}"));
                return Exit::CannotRun;
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
    let timeout = Duration::from_millis(apply.wait_ms) + STORE_TIMEOUT;
    match apply
        .operator
        .post("/v1/configuration", &request, timeout)
        .await
    {
        Ok(result) => print_result(cx, &request.apply_id, result),
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            cx.print_error(format_args!(
                "It may have been accepted: apply again with --base {} --id {}",
                request.base, request.apply_id
            ));
            Exit::CannotRun
        }
    }
}

/// Prints the result of an apply and what to do next.
pub fn print_result(cx: &mut Context<'_>, apply_id: &str, result: ApplyResult) -> Exit {
    match result {
        ApplyResult::Accepted { revision, missing } if missing.is_empty() => {
            cx.print(format_args!("revision {revision} is in force everywhere"));
            Exit::Success
        }
        ApplyResult::Accepted { revision, missing } => {
            cx.print(format_args!("revision {revision} is accepted and final"));
            cx.print_error(format_args!(
                "not yet reported by: {}; see `hollowsail status`",
                missing.join(", ")
            ));
            Exit::Failure
        }
        ApplyResult::Faulty { faults } => {
            cx.print_faults(&Faults(faults));
            Exit::Failure
        }
        ApplyResult::Conflict {
            differs_in,
            message,
            ..
        } => {
            cx.print_error(format_args!("conflict: {message}"));
            for file in differs_in {
                cx.print_error(format_args!("  differs: {file}"));
            }
            Exit::Failure
        }
        ApplyResult::Unknown { message } => {
            cx.print_error(format_args!("unknown: {message} (--id {apply_id})"));
            Exit::Failure
        }
        ApplyResult::Unavailable { message } => {
            cx.print_error(format_args!("unavailable: {message}"));
            Exit::Failure
        }
    }
}
