//! What is known of a request's sends, and what may be said of it by that.

use std::collections::HashSet;
use std::time::Duration;

use hollowsail_clock::Moment;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{stage_status, Progress, StageStatus};
use hollowsail_targets::Target;
use rand::Rng;

use super::admit::Admitted;
use super::attempt::Failure;
use crate::answer::Refusal;

/// The sends of one request, so far.
pub struct Sends {
    pub service: ServiceKey,
    /// Targets that failed it.
    pub tried: HashSet<Incarnation>,
    /// What each proves.
    progress: Vec<Progress>,
    /// Sends that may have reached a target.
    pub arrivals: u32,
    /// Sends that reached no target.
    pub unreached: u32,
    /// Targets that ended while they ran it.
    pub ended: u32,
    /// Target of the last send, for the log.
    pub last_target: String,
    /// When the last send was made; when nothing was sent, its request came.
    pub last_sent: Moment,
    last_why: String,
    retry_after: Option<Duration>,
}

impl Sends {
    /// Nothing sent yet; one service of the route is chosen for all sends.
    pub fn new(admitted: &Admitted) -> Self {
        Sends {
            service: choose_service(admitted),
            tried: HashSet::new(),
            progress: Vec::new(),
            arrivals: 0,
            unreached: 0,
            ended: 0,
            last_target: String::new(),
            last_sent: admitted.arrived,
            last_why: "nothing was sent".to_string(),
            retry_after: None,
        }
    }

    /// Takes a failed attempt.
    pub fn failed(&mut self, target: &Target, failure: Failure) {
        self.tried.insert(target.incarnation().clone());
        match failure.progress {
            Progress::NothingSent => self.unreached += 1,
            _ => self.arrivals += 1,
        }
        self.progress.push(failure.progress);
        self.last_why = failure.why;
        self.retry_after = failure.retry_after.or(self.retry_after);
    }

    /// What may be said of the request when no target answers it.
    pub fn refusal(&self, kind_if_not_run: ErrorKind) -> Refusal {
        let ran = stage_status(self.progress.iter().copied());
        let kind = match ran {
            StageStatus::NotRun => kind_if_not_run,
            StageStatus::Unknown | StageStatus::Ran => ErrorKind::TargetFailed,
        };
        let refusal = Refusal::new(kind, self.last_why.clone());
        match self.retry_after {
            Some(after) => refusal.come_back_after(after),
            None => refusal,
        }
    }

    /// The same when a refusal of our own ends it.
    pub fn refused(&self, refusal: Refusal) -> Refusal {
        match stage_status(self.progress.iter().copied()) {
            StageStatus::NotRun => refusal,
            StageStatus::Unknown | StageStatus::Ran => self.refusal(refusal.kind),
        }
    }

    /// The same when the request's time is over.
    pub fn out_of_time(&self) -> Refusal {
        let mut refusal = self.refusal(ErrorKind::CannotFinish);
        if refusal.kind == ErrorKind::TargetFailed {
            refusal.kind = ErrorKind::DeadlineExceeded;
        }
        refusal
    }

    /// True until a first send has failed.
    pub fn is_first(&self) -> bool {
        self.progress.is_empty()
    }

    /// Sends so far, whatever became of them.
    pub fn count(&self) -> u32 {
        self.arrivals + self.unreached
    }
}

/// The service of a request, by the weights of its route.
fn choose_service(admitted: &Admitted) -> ServiceKey {
    let services = &admitted.route().services;
    let total: u32 = services.iter().map(|(_, weight)| weight).sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for (service, weight) in services {
        if draw < *weight {
            return *service;
        }
        draw -= weight;
    }
    services
        .first()
        .map_or(ServiceKey(u16::MAX), |(service, _)| *service)
}
