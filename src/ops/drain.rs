//! Says that a target is leaving.

use std::time::Duration;

use hollowsail_entry::operators::DrainRequest;
use serde_json::Value;

use crate::ops::operator::{Operator, OperatorError};
use crate::{Context, Exit};

/// Longest wait for the answer.
const WAIT: Duration = Duration::from_secs(5);

/// Tells one entry; it tells the others.
pub async fn run(cx: &mut Context<'_>, operator: &Operator, host: &str) -> Exit {
    let request = DrainRequest { host: host.into() };
    let answer: Result<Value, OperatorError> = operator.post("/v1/drain", &request, WAIT).await;
    match answer {
        Ok(_) => {
            cx.say(format_args!("{host} gets no new work"));
            Exit::Success
        }
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            Exit::Failure
        }
    }
}
