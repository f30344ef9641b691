//! One stage of one request as its attempts see it.

use hollowsail_config::Stage;
use hollowsail_routing::StagePlan;

use crate::job::{Job, Sink};
use crate::kinds::ErrorKind;
use crate::worker::Worker;

/// One stage of one request, ready to run.
pub struct StageTask<'a> {
    pub worker: &'a Worker,
    pub job: &'a Job,
    /// Position in the pipeline.
    pub at: usize,
    pub stage: &'a Stage,
    pub plan: StagePlan,
    /// The organisation held more than its share: it waits behind the others.
    pub over_share: bool,
    pub sink: Option<&'a Sink>,
}

impl StageTask<'_> {
    /// Name of the stage's service, which keys of other revisions are found by.
    pub fn service_name(&self) -> &str {
        let deployment = &self.job.configuration.deployment;
        &deployment.service(self.stage.service).name
    }
}

/// Why a stage has no output.
pub type Failure = (ErrorKind, String);
