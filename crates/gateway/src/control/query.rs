//! Request to a peer's control endpoint, and its response.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{CompleteAnswer, Pool};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::Snafu;

use crate::peers;

/// Limit on a response body, in bytes. A response may carry a configuration and the records
/// of a large fleet.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a query to a peer failed.
#[derive(Debug, Snafu)]
pub enum QueryError {
    #[snafu(display("{source}"))]
    Send {
        source: hollowsail_connect::SendError,
    },
    #[snafu(display("the response ended early: {source}"))]
    Truncated {
        source: hollowsail_connect::BodyError,
    },
    #[snafu(display("the peer did not answer in time"))]
    TimedOut,
    #[snafu(display("the peer answered with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed response: {source}; check that all entries run the same build"))]
    Malformed { source: rmp_serde::decode::Error },
}

/// Sends a request to the peer behind a pool and decodes its response. `timeout` covers the
/// whole exchange.
pub async fn query<A: DeserializeOwned>(
    pool: &Rc<Pool>,
    path: &str,
    payload: &impl Serialize,
    timeout: Duration,
) -> Result<A, QueryError> {
    let req = peers::request(path, payload);
    tokio::time::timeout(timeout, pool.call(req, MAX_RESPONSE_BYTES))
        .await
        .map_err(|_| QueryError::TimedOut)?
        .map_err(|source| QueryError::Send { source })
        .and_then(decode)
}

fn decode<A: DeserializeOwned>(response: CompleteAnswer) -> Result<A, QueryError> {
    let whole = response
        .body
        .map_err(|source| QueryError::Truncated { source })?;
    let status = response.head.status;
    let body = whole.filter(|_| status == StatusCode::OK);
    let body = body.ok_or(QueryError::Status { status })?;
    rmp_serde::from_slice(&body).map_err(|source| QueryError::Malformed { source })
}
