//! Log of the calls that targets executed, the ground truth for tests.

use std::sync::{Arc, Mutex};

/// A call that a target started to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    pub target: String,
    pub hall: String,
    pub org: String,
    /// `request~run/stage/attempt` as received.
    pub dispatch: String,
    /// True once the answer was computed completely.
    pub finished: bool,
}

impl Execution {
    /// The caller's request id, without the run number added by the entry.
    pub fn request(&self) -> &str {
        self.dispatch.split(['~', '/']).next().unwrap_or("")
    }

    /// The stage part of the dispatch id.
    pub fn stage(&self) -> &str {
        self.dispatch.split('/').nth(1).unwrap_or("")
    }
}

/// Executions of all targets, in order of their start.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

impl ExecutionLog {
    /// Records the start of a call; returns its index for [`ExecutionLog::finish`].
    pub fn begin(&self, execution: Execution) -> usize {
        let mut all = self.0.lock().expect("no panic while held");
        all.push(execution);
        all.len() - 1
    }

    /// Records that the call at `index` was computed completely.
    pub fn finish(&self, index: usize) {
        self.0.lock().expect("no panic while held")[index].finished = true;
    }

    /// A copy of all executions so far.
    pub fn all(&self) -> Vec<Execution> {
        self.0.lock().expect("no panic while held").clone()
    }

    /// Number of started executions of a request's stage.
    pub fn count(&self, request: &str, stage: &str) -> usize {
        self.0
            .lock()
            .expect("no panic while held")
            .iter()
            .filter(|e| e.request() == request && e.stage() == stage)
            .count()
    }
}
