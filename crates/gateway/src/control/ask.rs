//! A question of control to a peer, and its answer.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Pool, WholeAnswer};
use http::StatusCode;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::Snafu;

use crate::peers;

/// Longest answer read, in bytes: a configuration and the records of a large fleet.
const MOST_ANSWER_BYTES: usize = 8 << 20;

/// Why a peer told nothing.
#[derive(Debug, Snafu)]
pub enum AskError {
    #[snafu(display("{source}"))]
    Send {
        source: hollowsail_connect::SendError,
    },
    #[snafu(display("the answer broke off: {source}"))]
    CutOff {
        source: hollowsail_connect::BodyError,
    },
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("unreadable: {source}; do all entries run one build?"))]
    Malformed { source: rmp_serde::decode::Error },
}

/// Asks the peer behind a pool, which has some time for its whole answer.
pub async fn ask<A: DeserializeOwned>(
    pool: &Rc<Pool>,
    path: &str,
    question: &impl Serialize,
    within: Duration,
) -> Result<A, AskError> {
    let req = peers::request(path, question);
    tokio::time::timeout(within, pool.call(req, MOST_ANSWER_BYTES))
        .await
        .map_err(|_| AskError::Silent)?
        .map_err(|source| AskError::Send { source })
        .and_then(read)
}

fn read<A: DeserializeOwned>(answer: WholeAnswer) -> Result<A, AskError> {
    let whole = answer.body.map_err(|source| AskError::CutOff { source })?;
    let status = answer.head.status;
    let body = whole.filter(|_| status == StatusCode::OK);
    let body = body.ok_or(AskError::Status { status })?;
    rmp_serde::from_slice(&body).map_err(|source| AskError::Malformed { source })
}
