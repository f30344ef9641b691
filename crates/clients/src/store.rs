//! Client of the platform's key-value service.
//!
//! One POST per call, `rmp-serde` both ways. A call without an answer fails with
//! [`StoreError::OutcomeUnknown`]: a write may have taken effect, and the caller must
//! read the key back to determine that.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http;

/// Largest value the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// Body limit of one reply: a value and its envelope.
const MAX_REPLY_BYTES: usize = MAX_VALUE_BYTES + 4096;
/// Longest wait for an ordinary call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Condition of a write on the current value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    Absent,
    Version(u64),
    Anything,
}

/// A request to the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    Get {
        key: String,
    },
    /// Returns at once if the version differs from `seen`, else when it changes
    /// or after `wait_ms`. Version 0 means absent.
    Watch {
        key: String,
        seen: u64,
        wait_ms: u64,
    },
    /// Compare-and-swap. With `ttl_ms` the value expires.
    Put {
        key: String,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
        expect: Expect,
        ttl_ms: Option<u64>,
    },
}

/// A reply of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    Absent,
    Value {
        version: u64,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    Written {
        version: u64,
    },
    /// The write's condition failed; contains the current value.
    Conflict {
        version: u64,
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// Over the rate limit; nothing was done.
    Limited,
}

/// Why a call has no reply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    #[snafu(display("the store could not be reached; nothing was sent: {reason}"))]
    NotSent { reason: String },
    #[snafu(display("the store did not answer; the call may have taken effect: {reason}"))]
    OutcomeUnknown { reason: String },
    #[snafu(display("the store refused the call because of its rate limit; try again later"))]
    Limited,
}

/// Client bound to one thread.
#[derive(Clone)]
pub struct StoreClient {
    client: Client,
    address: SocketAddr,
}

impl StoreClient {
    pub fn new(address: SocketAddr) -> Self {
        StoreClient {
            client: http::pooled_client(),
            address,
        }
    }

    /// Reads a key: `(version, value)`, or `None` when absent.
    pub async fn get(&self, key: &str) -> Result<Option<(u64, Vec<u8>)>, StoreError> {
        let request = StoreRequest::Get { key: key.into() };
        self.call(&request, CALL_TIMEOUT).await.map(into_value)
    }

    /// Waits until the key's version differs from `seen`; `None` when absent.
    pub async fn watch(
        &self,
        key: &str,
        seen: u64,
        wait: Duration,
    ) -> Result<Option<(u64, Vec<u8>)>, StoreError> {
        let request = StoreRequest::Watch {
            key: key.into(),
            seen,
            wait_ms: wait.as_millis() as u64,
        };
        self.call(&request, wait + CALL_TIMEOUT)
            .await
            .map(into_value)
    }

    /// Writes a key; the reply is `Written` or `Conflict`.
    pub async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        ttl: Option<Duration>,
    ) -> Result<StoreReply, StoreError> {
        let request = StoreRequest::Put {
            key: key.into(),
            value,
            expect,
            ttl_ms: ttl.map(|ttl| ttl.as_millis() as u64),
        };
        self.call(&request, CALL_TIMEOUT).await
    }

    async fn call(
        &self,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, StoreError> {
        let body = rmp_serde::to_vec(request).map_err(|err| StoreError::NotSent {
            reason: err.to_string(),
        })?;
        let sent = self
            .client
            .post(format!("http://{}/kv", self.address))
            .timeout(timeout)
            .send_body(body)
            .await;
        let mut res = match sent {
            Ok(res) => res,
            Err(err) if http::nothing_sent(&err) => {
                return Err(StoreError::NotSent {
                    reason: err.to_string(),
                })
            }
            Err(err) => return outcome_unknown(err),
        };
        if !res.status().is_success() {
            return outcome_unknown(format!("status {}", res.status()));
        }
        let body = match res.body().limit(MAX_REPLY_BYTES).await {
            Ok(body) => body,
            Err(err) => return outcome_unknown(err),
        };
        match rmp_serde::from_slice(&body) {
            Ok(StoreReply::Limited) => Err(StoreError::Limited),
            Ok(reply) => Ok(reply),
            Err(err) => outcome_unknown(err),
        }
    }
}

fn outcome_unknown<T>(err: impl ToString) -> Result<T, StoreError> {
    Err(StoreError::OutcomeUnknown {
        reason: err.to_string(),
    })
}

fn into_value(reply: StoreReply) -> Option<(u64, Vec<u8>)> {
    match reply {
        StoreReply::Value { version, value } | StoreReply::Conflict { version, value } => {
            Some((version, value))
        }
        _ => None,
    }
}
