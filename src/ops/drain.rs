//! Marks a target as draining.

use std::time::Duration;

use hollowsail_entry::operators::DrainRequest;
use serde_json::Value;

use crate::ops::operator::{Operator, OperatorError};
use crate::{Context, Exit};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the drain to one entry, which notifies the others.
pub async fn run(cx: &mut Context<'_>, operator: &Operator, host: &str) -> Exit {
    let request = DrainRequest { host: host.into() };
    let answer: Result<Value, OperatorError> =
        operator.post("/v1/drain", &request, RESPONSE_TIMEOUT).await;
    match answer {
        Ok(_) => {
            cx.print(format_args!("{host} gets no new work"));
            Exit::Success
        }
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            Exit::Failure
        }
    }
}
