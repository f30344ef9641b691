//! Calls to an entry's operators' listener.

use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::Snafu;

/// Longest answer to an operator, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Where and as whom to call.
#[derive(Debug, Clone)]
pub struct Operator {
    /// `IP:PORT` of the operators' listener.
    pub address: String,
    pub key: String,
}

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    #[snafu(display(
        "cannot reach {address}: {reason}; check --operators and that the entry runs"
    ))]
    Unreachable { address: String, reason: String },
    #[snafu(display("{address} answered {status}: {body}"))]
    Refused {
        address: String,
        status: u16,
        body: String,
    },
    #[snafu(display(
        "{address} gave an answer this version cannot read: {reason}; use the same version"
    ))]
    Unreadable { address: String, reason: String },
}

impl Operator {
    /// Posts a message; any status with a readable answer is an answer.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        wait: Duration,
    ) -> Result<T, OperatorError> {
        let sent = Client::default()
            .post(format!("http://{}{path}", self.address))
            .bearer_auth(&self.key)
            .timeout(wait)
            .send_json(message)
            .await;
        self.read(sent).await
    }

    /// Gets a report.
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, OperatorError> {
        let sent = Client::default()
            .get(format!("http://{}{path}", self.address))
            .bearer_auth(&self.key)
            .timeout(wait)
            .send()
            .await;
        self.read(sent).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        sent: Result<awc::ClientResponse, awc::error::SendRequestError>,
    ) -> Result<T, OperatorError> {
        let unreachable = |reason: String| OperatorError::Unreachable {
            address: self.address.clone(),
            reason,
        };
        let mut res = sent.map_err(|err| unreachable(err.to_string()))?;
        let status = res.status().as_u16();
        let body = res
            .body()
            .limit(MAX_ANSWER)
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        match serde_json::from_slice(&body) {
            Ok(answer) => Ok(answer),
            Err(_) if status >= 400 => Err(OperatorError::Refused {
                address: self.address.clone(),
                status,
                body: String::from_utf8_lossy(&body).trim().to_string(),
            }),
            Err(err) => Err(OperatorError::Unreadable {
                address: self.address.clone(),
                reason: err.to_string(),
            }),
        }
    }
}
