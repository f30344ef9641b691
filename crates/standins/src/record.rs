//! What targets really executed: the oracle for every promise.

use std::sync::{Arc, Mutex};

/// One call that a target began to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    pub target: String,
    pub hall: String,
    pub org: String,
    /// `request~run/stage/attempt` as received.
    pub dispatch: String,
    /// True once the target computed its answer to the end.
    pub finished: bool,
}

impl Execution {
    /// The caller's request id, without the run that the entry adds.
    pub fn request(&self) -> &str {
        self.dispatch.split(['~', '/']).next().unwrap_or("")
    }

    /// The stage part of the dispatch id.
    pub fn stage(&self) -> &str {
        self.dispatch.split('/').nth(1).unwrap_or("")
    }
}

/// Executions of all targets, in order of their beginning.
#[derive(Debug, Clone, Default)]
pub struct ExecutionLog(Arc<Mutex<Vec<Execution>>>);

impl ExecutionLog {
    /// Notes that a call begins; returns its place for [`ExecutionLog::finish`].
    pub fn begin(&self, execution: Execution) -> usize {
        let mut all = self.0.lock().expect("no panic while held");
        all.push(execution);
        all.len() - 1
    }

    /// Notes that the call at `place` was computed to the end.
    pub fn finish(&self, place: usize) {
        self.0.lock().expect("no panic while held")[place].finished = true;
    }

    /// A copy of everything so far.
    pub fn all(&self) -> Vec<Execution> {
        self.0.lock().expect("no panic while held").clone()
    }

    /// How often a stage of a request was begun.
    pub fn count(&self, request: &str, stage: &str) -> usize {
        self.0
            .lock()
            .expect("no panic while held")
            .iter()
            .filter(|e| e.request() == request && e.stage() == stage)
            .count()
    }
}
