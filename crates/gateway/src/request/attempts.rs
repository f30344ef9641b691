//! The attempts of a request so far, and the refusal that follows from them.
//!
//! A request is reported as not run only if that holds for every attempt.

use std::collections::HashSet;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::repeats::{SendPermit, Work};
use hollowsail_routing::{stage_status, Progress, StageStatus};
use hollowsail_targets::Target;
use rand::Rng;

use super::admit::Admitted;
use super::attempt::Failure;
use super::stream_version::ResumedAt;
use crate::answer::Refusal;

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Destination {
    pub service: ServiceKey,
    /// Software version that began the stream; only its targets may serve the request.
    pub version: Option<String>,
}

impl Destination {
    /// Chooses the service for all attempts of the request, unless it resumes a stream.
    pub fn choose(admitted: &Admitted, resumed_at: Option<&ResumedAt>) -> Self {
        let service = resumed_at.map(|resumed_at| resumed_at.service);
        Destination {
            service: service.unwrap_or_else(|| choose_service(admitted)),
            version: resumed_at.map(|resumed_at| resumed_at.version.clone()),
        }
    }
}

/// The attempts of one request so far.
pub struct Attempts {
    pub service: ServiceKey,
    /// Software version that began the stream; only its targets may serve the request.
    pub version: Option<String>,
    /// Targets whose attempts failed.
    pub tried: HashSet<Incarnation>,
    /// All sends of the request to the service.
    pub work: Work,
    /// Permits the next send: the first, or a repeat that was granted.
    permit: Option<SendPermit>,
    /// How far each failed attempt got.
    progress: Vec<Progress>,
    /// Number of failed attempts that may have reached a target.
    pub reached: u32,
    /// Number of failed attempts that reached no target.
    pub unreached: u32,
    /// Number of targets that crashed while running the request.
    pub crashed: u32,
    /// Id of the last attempt's target, for the log.
    pub last_target: String,
    /// Time of the last attempt; the request's arrival if there was none.
    pub last_sent: BootInstant,
    last_error: String,
    retry_after: Option<Duration>,
}

impl Attempts {
    /// No attempts yet; `permit` is for the first send.
    pub fn new(admitted: &Admitted, destination: Destination, permit: SendPermit) -> Self {
        let Destination { service, version } = destination;
        Attempts {
            service,
            version,
            tried: HashSet::new(),
            work: permit.work().clone(),
            permit: Some(permit),
            progress: Vec::new(),
            reached: 0,
            unreached: 0,
            crashed: 0,
            last_target: String::new(),
            last_sent: admitted.arrived,
            last_error: "the request was sent to no target".to_string(),
            retry_after: None,
        }
    }

    pub fn record_failure(&mut self, target: &Target, failure: Failure) {
        // A target without a free connection may have one after its backoff.
        if failure.unconnected.is_none() {
            self.tried.insert(target.incarnation().clone());
        }
        match failure.progress {
            Progress::NothingSent => self.unreached += 1,
            _ => self.reached += 1,
        }
        self.progress.push(failure.progress);
        self.permit = failure.permit;
        self.last_error = failure.reason;
        self.retry_after = failure.retry_after.or(self.retry_after);
    }

    /// The refusal when no target answers. `kind_if_not_run` applies only if no attempt can have run.
    pub fn refusal(&self, kind_if_not_run: ErrorKind) -> Refusal {
        let status = stage_status(self.progress.iter().copied());
        let kind = match status {
            StageStatus::NotRun => kind_if_not_run,
            StageStatus::Unknown | StageStatus::Ran => ErrorKind::TargetFailed,
        };
        let refusal = Refusal::new(kind, self.last_error.clone());
        match self.retry_after {
            Some(after) => refusal.with_retry_after(after),
            None => refusal,
        }
    }

    /// The refusal when this entry refuses the request itself.
    pub fn refusal_for(&self, refusal: Refusal) -> Refusal {
        match stage_status(self.progress.iter().copied()) {
            StageStatus::NotRun => refusal,
            StageStatus::Unknown | StageStatus::Ran => self.refusal(refusal.kind),
        }
    }

    /// The refusal when the deadline has passed.
    pub fn deadline_refusal(&self) -> Refusal {
        let mut refusal = self.refusal(ErrorKind::CannotFinish);
        if refusal.kind == ErrorKind::TargetFailed {
            refusal.kind = ErrorKind::DeadlineExceeded;
        }
        refusal
    }

    /// Takes the permit for the next send, if there is one.
    pub fn take_permit(&mut self) -> Option<SendPermit> {
        self.permit.take()
    }

    /// Keeps a permit for the next send.
    pub fn keep_permit(&mut self, permit: Option<SendPermit>) {
        self.permit = permit;
    }

    /// True if the request may be sent now.
    pub fn has_permit(&self) -> bool {
        self.permit.is_some()
    }

    /// True until an attempt has failed.
    pub fn is_first(&self) -> bool {
        self.progress.is_empty()
    }

    /// Number of failed attempts.
    pub fn count(&self) -> u32 {
        self.reached + self.unreached
    }
}

/// Draws a service by the weights of the route.
fn choose_service(admitted: &Admitted) -> ServiceKey {
    let services = &admitted.route().services;
    let weights = services.iter().map(|(_, weight)| u64::from(*weight));
    let total: u64 = weights.sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for (service, weight) in services {
        let weight = u64::from(*weight);
        if draw < weight {
            return *service;
        }
        draw -= weight;
    }
    services
        .first()
        .map_or(ServiceKey(u16::MAX), |(service, _)| *service)
}
