//! A request that was accepted, and the events that its caller sees while it
//! runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hollowsail_config::{Pipeline, PipelineKey};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::configuration::Configuration;

/// One request, accepted and ready to run.
#[derive(Debug, Clone)]
pub struct Job {
    /// The caller's id, for answers and logs.
    pub request: String,
    /// Unique in the fleet, for dispatch ids.
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

/// What a streaming caller sees before the final answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Progress {
    Token {
        offset: u32,
        text: String,
    },
    /// Tokens so far belong to an attempt that was given up; start anew.
    Restart,
}

/// Where a streaming caller's events go.
pub type Sink = mpsc::Sender<Progress>;
