//! Metrics of an entry, exposed in the Prometheus format on the operators' listener.
//!
//! Labels are names of entries, services, pipelines and error kinds, never payload.

use hollowsail_routing::{Outcome, StageStatus};
use metrics::{counter, gauge, histogram};

use crate::kinds::ErrorKind;

pub use hollowsail_observe::recorder::{install, render};

/// Counts an answered request; `ms` is the time since it was accepted.
pub fn count_request(
    entry: &str,
    pipeline: &str,
    outcome: Outcome,
    kind: Option<ErrorKind>,
    ms: u64,
) {
    let kind = kind.map_or("none", |kind| kind.answer().name);
    let outcome = match outcome {
        Outcome::Whole => "whole",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    counter!("hollowsail_requests_total", "entry" => entry.to_string(),
        "pipeline" => pipeline.to_string(), "outcome" => outcome, "kind" => kind)
    .increment(1);
    histogram!("hollowsail_request_seconds", "entry" => entry.to_string(),
        "pipeline" => pipeline.to_string())
    .record(ms as f64 / 1000.0);
}

/// Counts an attempt at a stage that took `ms`.
pub fn count_attempt(entry: &str, service: &str, status: StageStatus, ms: u64) {
    let status = match status {
        StageStatus::Ran => "ran",
        StageStatus::NotRun => "not_run",
        StageStatus::Unknown => "unknown",
    };
    counter!("hollowsail_attempts_total", "entry" => entry.to_string(),
        "service" => service.to_string(), "status" => status)
    .increment(1);
    counter!("hollowsail_stage_milliseconds_total", "entry" => entry.to_string(),
        "service" => service.to_string())
    .increment(ms);
}

/// Counts an attempt report that was dropped because the mailbox was full.
pub fn count_dropped_report(entry: &str) {
    counter!("hollowsail_dropped_facts_total", "entry" => entry.to_string()).increment(1);
}

/// Sets the gauges of the control thread.
pub fn set_control_gauges(entry: &str, revision: u64, members: usize, ledger: usize) {
    gauge!("hollowsail_revision", "entry" => entry.to_string()).set(revision as f64);
    gauge!("hollowsail_members", "entry" => entry.to_string()).set(members as f64);
    gauge!("hollowsail_ledger_records", "entry" => entry.to_string()).set(ledger as f64);
}
