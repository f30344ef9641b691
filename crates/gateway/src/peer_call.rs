//! One request to a peer with a body in MessagePack, and its response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_connect::{CompleteAnswer, Dialer, Pool, PoolRules};
use http::response::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::Snafu;

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

impl QueryError {
    /// True if the peer's build doesn't know the request.
    pub fn is_unsupported(&self) -> bool {
        matches!(self, QueryError::Status { status } if *status == StatusCode::NOT_FOUND)
    }
}

/// A request to a peer with a body in MessagePack.
#[expect(
    clippy::expect_used,
    reason = "paths are constants, and messages plain structs, which always encode"
)]
pub fn request(path: &str, body: &impl Serialize) -> Request<Full<Bytes>> {
    let body = rmp_serde::to_vec(body).expect("messages to peers always encode");
    Request::post(path)
        .header(http::header::HOST, "peer")
        .body(Full::new(Bytes::from(body)))
        .expect("the path is valid")
}

/// A pool for one query.
pub fn single_use_pool(addr: SocketAddr, dialer: Dialer, dial_timeout: Duration) -> Rc<Pool> {
    let rules = PoolRules {
        dial_timeout,
        max_idle: 0,
        idle_timeout: Duration::ZERO,
    };
    Pool::with_dialer(addr, rules, dialer)
}

/// Sends a request to the peer behind a pool and decodes its response. `timeout` covers the
/// whole exchange.
pub async fn query<A: DeserializeOwned>(
    pool: &Rc<Pool>,
    path: &str,
    payload: &impl Serialize,
    timeout: Duration,
) -> Result<A, QueryError> {
    let answered = query_with_headers(pool, path, payload, timeout).await;
    answered.map(|(answer, _)| answer)
}

/// The same with the headers of the response.
pub async fn query_with_headers<A: DeserializeOwned>(
    pool: &Rc<Pool>,
    path: &str,
    payload: &impl Serialize,
    timeout: Duration,
) -> Result<(A, HeaderMap), QueryError> {
    let req = request(path, payload);
    tokio::time::timeout(timeout, pool.call(req, MAX_RESPONSE_BYTES))
        .await
        .map_err(|_| QueryError::TimedOut)?
        .map_err(|source| QueryError::Send { source })
        .and_then(decode)
}

fn decode<A: DeserializeOwned>(response: CompleteAnswer) -> Result<(A, HeaderMap), QueryError> {
    let whole = response
        .body
        .map_err(|source| QueryError::Truncated { source })?;
    let Parts {
        status, headers, ..
    } = response.head;
    let body = whole.filter(|_| status == StatusCode::OK);
    let body = body.ok_or(QueryError::Status { status })?;
    let answer = rmp_serde::from_slice(&body).map_err(|source| QueryError::Malformed { source })?;
    Ok((answer, headers))
}
