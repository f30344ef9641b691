//! Client of the platform's host list: live and leaving hosts, with a lag.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http;

/// Longest wait for the list.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest list in bytes.
const MAX_LIST_BYTES: usize = 1_000_000;

/// What the list says of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    Live,
    Leaving,
}

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Target or entry name.
    pub name: String,
    /// Changes when the host is replaced or restarted.
    pub incarnation: u64,
    pub status: HostStatus,
}

/// The list could not be read; the last one stays in use.
#[derive(Debug, Snafu)]
#[snafu(display("the host list could not be read: {reason}; keeping the last one"))]
pub struct HostListError {
    pub reason: String,
}

/// Client bound to one thread.
#[derive(Clone)]
pub struct HostListClient {
    client: Client,
    address: SocketAddr,
}

impl HostListClient {
    pub fn new(address: SocketAddr) -> Self {
        HostListClient {
            client: http::pooled_client(),
            address,
        }
    }

    /// Reads the whole list.
    pub async fn read(&self) -> Result<Vec<HostRecord>, HostListError> {
        let failed = |reason: String| HostListError { reason };
        let mut res = self
            .client
            .get(format!("http://{}/hosts", self.address))
            .timeout(CALL_TIMEOUT)
            .send()
            .await
            .map_err(|err| failed(err.to_string()))?;
        if !res.status().is_success() {
            return Err(failed(format!("status {}", res.status())));
        }
        let body = res
            .body()
            .limit(MAX_LIST_BYTES)
            .await
            .map_err(|err| failed(err.to_string()))?;
        serde_json::from_slice(&body).map_err(|err| failed(err.to_string()))
    }
}
