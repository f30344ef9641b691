//! Client of the platform's host list: live and draining hosts, with a delay.
//!
//! Requests carry the tag of the last list read; an unchanged list is not sent
//! again.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::header::{ETAG, IF_NONE_MATCH};
use awc::http::StatusCode;
use awc::Client;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::http;

/// Longest wait for the list.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest list in bytes.
const MAX_LIST_BYTES: usize = 1_000_000;

/// Status of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    Live,
    Leaving,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Target or entry name.
    pub name: String,
    /// Changes when the host is replaced or restarted.
    pub incarnation: u64,
    pub status: HostStatus,
}

/// A host list and its tag.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostList {
    /// The platform's tag of this version; `None` if it sent none.
    pub tag: Option<String>,
    pub hosts: Vec<HostRecord>,
}

/// The list could not be read; the previous one stays in use.
#[derive(Debug, Snafu)]
#[snafu(display("the host list could not be read: {reason}; keeping the previous one"))]
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

    /// Reads the list; `None` if it still has the tag `known`.
    pub async fn read(&self, known: Option<&str>) -> Result<Option<HostList>, HostListError> {
        let failed = |reason: String| HostListError { reason };
        let mut req = self
            .client
            .get(format!("http://{}/hosts", self.address))
            .timeout(CALL_TIMEOUT);
        if let Some(tag) = known {
            req = req.insert_header((IF_NONE_MATCH, tag));
        }
        let mut res = req.send().await.map_err(|err| failed(err.to_string()))?;
        if res.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        if !res.status().is_success() {
            return Err(failed(format!("status {}", res.status())));
        }
        let body = res
            .body()
            .limit(MAX_LIST_BYTES)
            .await
            .map_err(|err| failed(err.to_string()))?;
        let hosts = serde_json::from_slice(&body).map_err(|err| failed(err.to_string()))?;
        let tag = res
            .headers()
            .get(ETAG)
            .and_then(|tag| tag.to_str().ok())
            .map(String::from);
        Ok(Some(HostList { tag, hosts }))
    }
}
