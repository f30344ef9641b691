//! Calls to an entry's operators' listener.

use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use serde::Serialize;
use snafu::Snafu;

const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Address and key for an entry's operators' listener.
#[derive(Debug, Clone)]
pub struct Operator {
    /// `IP:PORT` of the operators' listener.
    pub address: String,
    pub key: String,
}

/// Why a call to the operators' listener failed.
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
        "malformed response from {address}: {reason}; use the entry's version of hollowsail"
    ))]
    Malformed { address: String, reason: String },
}

impl Operator {
    /// Posts a message; a body that parses as `T` is returned whatever the status.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        message: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, OperatorError> {
        let result = Client::default()
            .post(format!("http://{}{path}", self.address))
            .bearer_auth(&self.key)
            .timeout(timeout)
            .send_json(message)
            .await;
        self.parse_response(result).await
    }

    /// Gets a resource; the status is handled as in [`Operator::post`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, OperatorError> {
        let result = Client::default()
            .get(format!("http://{}{path}", self.address))
            .bearer_auth(&self.key)
            .timeout(timeout)
            .send()
            .await;
        self.parse_response(result).await
    }

    async fn parse_response<T: DeserializeOwned>(
        &self,
        result: Result<awc::ClientResponse, awc::error::SendRequestError>,
    ) -> Result<T, OperatorError> {
        let unreachable = |reason: String| OperatorError::Unreachable {
            address: self.address.clone(),
            reason,
        };
        let mut res = result.map_err(|err| unreachable(err.to_string()))?;
        let status = res.status().as_u16();
        let body = res
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        match serde_json::from_slice(&body) {
            Ok(answer) => Ok(answer),
            Err(_) if status >= 400 => Err(OperatorError::Refused {
                address: self.address.clone(),
                status,
                body: String::from_utf8_lossy(&body).trim().to_string(),
            }),
            Err(err) => Err(OperatorError::Malformed {
                address: self.address.clone(),
                reason: err.to_string(),
            }),
        }
    }
}
