//! An accepted request, and the events that a streaming caller gets while it runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollowsail_config::{Pipeline, PipelineKey};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::configuration::Configuration;

/// An accepted request, ready to run.
#[derive(Debug, Clone)]
pub struct Job {
    /// The caller's request id, for answers and logs.
    pub request: String,
    /// Run id, unique in the fleet, for dispatch ids.
    pub run: String,
    pub org: String,
    pub configuration: Arc<Configuration>,
    pub pipeline: PipelineKey,
    pub accepted: Instant,
    pub deadline: Duration,
    pub session: Option<String>,
    pub input: Value,
}

impl Job {
    pub fn pipeline(&self) -> &Pipeline {
        self.configuration.deployment.pipeline(self.pipeline)
    }

    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.accepted.elapsed())
    }

    pub fn remaining_ms(&self) -> u64 {
        self.remaining().as_millis() as u64
    }
}

/// Event of a streaming caller before the final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    Token {
        offset: u32,
        text: String,
    },
    /// The tokens so far belong to an abandoned attempt; the text starts again.
    Restart,
}

/// Channel of a streaming caller's events.
pub type Sink = mpsc::Sender<Progress>;
