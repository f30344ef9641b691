//! One stage of a job, as passed to its attempts.

use hollowsail_config::Stage;
use hollowsail_routing::StagePlan;

use crate::job::{Job, Sink};
use crate::kinds::ErrorKind;
use crate::worker::Worker;

/// One stage of one request, ready to run.
pub struct StageTask<'a> {
    pub worker: &'a Worker,
    pub job: &'a Job,
    /// Index of the stage in the pipeline.
    pub stage_index: usize,
    pub stage: &'a Stage,
    pub plan: StagePlan,
    /// The organisation exceeded its share when the request was admitted: it queues behind
    /// others.
    pub over_share: bool,
    pub sink: Option<&'a Sink>,
}

impl StageTask<'_> {
    /// Name of the stage's service, by which it is found in other revisions.
    pub fn service_name(&self) -> &str {
        let deployment = &self.job.configuration.deployment;
        &deployment.service(self.stage.service).name
    }
}

/// Error kind and message of a failed request or stage.
pub type Failure = (ErrorKind, String);
