//! Chooses the target of an attempt and waits until it has a free slot.
//!
//! Every attempt chooses from the newest view, by the names of the organisation
//! and the service, so that a configuration that removes a hall takes effect at the
//! next dispatch. A target gets no more requests at a time than the service's
//! concurrency; when all are full the request waits at the service's [`Gate`], most
//! urgent first.

use hollowsail_observe::text::{Field, Quoted};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_config::{Deployment, Service, ServiceKind, TargetKey};
use hollowsail_fleet::rendezvous;
use hollowsail_routing::{Candidate, Choice, Rank, Reason};
use rand::Rng;

use crate::events;
use crate::gate::Gate;
use crate::kinds::ErrorKind;
use crate::task::{Failure, StageTask};
use crate::view::{InFlight, View};

/// The target chosen for an attempt; occupies a slot of it until dropped.
pub struct Route {
    pub key: TargetKey,
    pub name: String,
    pub address: SocketAddr,
    /// Revision that `key` belongs to.
    pub revision: u64,
    /// Number of other candidates.
    pub others: usize,
    in_flight: Option<InFlight>,
    gate: Arc<Gate>,
}

impl Drop for Route {
    fn drop(&mut self) {
        // Frees the slot before the waiter is woken.
        self.in_flight = None;
        self.gate.wake_one();
    }
}

/// Result of [`find`].
pub enum RouteOutcome {
    Route(Route),
    /// No target may serve this stage.
    NoTarget,
    /// No slot became free in time.
    NoTime,
}

/// Finds a target, and waits for a free slot as long as a typical request could
/// still finish within `left`. `resume` is the target of an interrupted stream.
pub async fn find(
    task: &StageTask<'_>,
    attempt: usize,
    tried: &[TargetKey],
    resume: Option<TargetKey>,
    left: Duration,
) -> RouteOutcome {
    let rank = rank_of(task, left);
    let mut woken = false;
    loop {
        let view = task.worker.entry.view();
        let Some(search) = Search::new(&view, task, tried) else {
            return RouteOutcome::NoTarget;
        };
        let may_choose = woken || !search.gate.has_ahead_of(&rank);
        if let Some(choice) = may_choose.then(|| search.choose(task, resume)).flatten() {
            log_route(task, attempt, &search, choice);
            search.gate.wake_one();
            return RouteOutcome::Route(search.into_route(choice));
        }
        let gate = search.gate.clone();
        let wait = rank.latest_start.saturating_sub(task.worker.entry.now());
        if wait == 0 {
            return RouteOutcome::NoTime;
        }
        woken = gate.wait(rank, Duration::from_millis(wait)).await;
        if !woken {
            return RouteOutcome::NoTime;
        }
    }
}

/// Position of the request at the gate, by the latest time at which a typical
/// request has to start the stage.
fn rank_of(task: &StageTask<'_>, left: Duration) -> Rank {
    let entry = &task.worker.entry;
    let view = entry.view();
    let typical_ms = view
        .expectations(task.job.pipeline, task.stage_index)
        .first()
        .map_or(0, |expected| expected.typical_ms);
    let latest_start_ms = (left.as_millis() as u64).saturating_sub(typical_ms);
    entry.new_rank(
        task.over_share,
        task.job.pipeline().priority,
        latest_start_ms,
    )
}

/// The candidates for a stage in one view.
struct Search<'a> {
    view: &'a View,
    deployment: &'a Deployment,
    gate: Arc<Gate>,
    service: &'a Service,
    candidates: Vec<Candidate>,
}

impl<'a> Search<'a> {
    /// Returns `None` when no target may serve the stage.
    fn new(view: &'a View, task: &StageTask<'_>, tried: &[TargetKey]) -> Option<Self> {
        let deployment = view.deployment()?;
        let org = deployment.find_organisation(&task.job.org)?;
        let name = task.service_name();
        let service = deployment.services.iter().find(|s| s.name == name)?;
        let gate = view.service_named(name)?.gate.clone();
        let switches = task.worker.entry.switches;
        let prefix = prefix_of(task, service).filter(|_| switches.affinity);
        let candidates: Vec<Candidate> = service
            .targets
            .iter()
            .filter(|&&key| deployment.permits(org, deployment.target(key).hall))
            .filter(|&&key| view.target(key).takes_work && !tried.contains(&key))
            .map(|&key| {
                let state = view.target(key);
                let name = &deployment.target(key).name;
                Candidate {
                    target: key,
                    load: view.estimated_load(key),
                    reported_load: state.reported_load,
                    slowness: state.slowness,
                    ejected: state.ejected && switches.ejection,
                    affinity: prefix
                        .as_deref()
                        .map(|prefix| rendezvous::score(prefix, name)),
                }
            })
            .collect();
        let search = Search {
            view,
            deployment,
            gate,
            service,
            candidates,
        };
        (!search.candidates.is_empty()).then_some(search)
    }

    /// Chooses a candidate with a free slot, by the policy of the switches.
    fn choose(&self, task: &StageTask<'_>, resume: Option<TargetKey>) -> Option<Choice> {
        let entry = &task.worker.entry;
        self.resume_choice(resume).or_else(|| {
            let free: Vec<Candidate> = match entry.switches.target_limits {
                true => self.with_free_slot(),
                false => self.candidates.clone(),
            };
            let draw = rand::rng().random();
            entry.switches.choose(&free, draw, entry.next_turn())
        })
    }

    /// Candidates with a free slot. Ejected targets are included only when all are
    /// ejected, or they would get the requests that the healthy ones have no slot for.
    fn with_free_slot(&self) -> Vec<Candidate> {
        let slots = f64::from(self.service.concurrency);
        let all_ejected = self.candidates.iter().all(|c| c.ejected);
        self.candidates
            .iter()
            .filter(|candidate| candidate.load < slots)
            .filter(|candidate| all_ejected || !candidate.ejected)
            .copied()
            .collect()
    }

    /// The target of an interrupted stream, if it is still a candidate and not ejected.
    fn resume_choice(&self, resume: Option<TargetKey>) -> Option<Choice> {
        let target = resume?;
        self.candidates
            .iter()
            .any(|candidate| candidate.target == target && !candidate.ejected)
            .then_some(Choice {
                target,
                reason: Reason::Resumed,
            })
    }

    fn into_route(self, choice: Choice) -> Route {
        let target = self.deployment.target(choice.target);
        Route {
            key: choice.target,
            name: target.name.clone(),
            address: target.address,
            revision: self.view.revision(),
            others: self.candidates.len() - 1,
            in_flight: Some(InFlight::new(&self.view.target(choice.target).in_flight)),
            gate: self.gate,
        }
    }
}

/// Identifies the prefix that an engine may have cached for this request's session.
fn prefix_of(task: &StageTask<'_>, service: &Service) -> Option<String> {
    task.job
        .session
        .as_deref()
        .filter(|_| service.kind == ServiceKind::Engine)
        .map(|session| format!("{}/{session}", task.job.org))
}

fn log_route(task: &StageTask<'_>, attempt: usize, search: &Search<'_>, choice: Choice) {
    let job = task.job;
    task.worker.entry.log(
        events::ROUTE,
        format_args!(
            "request={} run={} stage={} attempt={attempt} target={} why={} candidates={} \
             remaining_ms={}",
            Field(&job.request),
            job.run,
            Field(&task.stage.name),
            Field(&search.deployment.target(choice.target).name),
            choice.reason.name(),
            search.candidates.len(),
            job.remaining_ms()
        ),
    );
}

/// Failure of a stage that no target may serve.
pub fn no_target(task: &StageTask<'_>, attempt: usize) -> Failure {
    log_no_route(task, attempt, "no permitted target takes work");
    let message = format!(
        "no target in a hall permitted to {} takes work for stage {}",
        task.job.org, task.stage.name
    );
    (ErrorKind::NoTarget, message)
}

/// Failure of a stage that got no slot in time.
pub fn no_slot_in_time(task: &StageTask<'_>) -> Failure {
    log_no_route(task, 0, "no slot became free in time");
    let message = format!(
        "no slot for stage {} became free early enough to finish within the deadline",
        task.stage.name
    );
    (ErrorKind::CannotFinish, message)
}

fn log_no_route(task: &StageTask<'_>, attempt: usize, why: &str) {
    task.worker.entry.log(
        events::NO_ROUTE,
        format_args!(
            "request={} run={} stage={} attempt={attempt} why={}",
            Field(&task.job.request),
            task.job.run,
            Field(&task.stage.name),
            Quoted(&why)
        ),
    );
}
