//! Reports of traffic threads to the control thread.

use actix::Message;
use hollowsail_clients::target::TargetReports;
use hollowsail_config::{PipelineKey, TargetKey};
use hollowsail_routing::Observation;

/// Outcome of one attempt, sent by a traffic thread.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct AttemptReport {
    /// Revision that the keys belong to.
    pub revision: u64,
    pub target: TargetKey,
    pub pipeline: PipelineKey,
    pub stage: usize,
    pub observation: Observation,
    pub target_reports: TargetReports,
}
