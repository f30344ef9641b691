//! Finding the target of an attempt, and waiting until it has a free slot.
//!
//! Targets are chosen anew from the newest snapshot for every attempt, by the
//! names of organisation and service, so a configuration that took a hall away
//! while the request was under way is obeyed at the next dispatch. A target
//! gets no more requests than it serves at a time; when all are full the
//! request waits at this entry's [`Gate`], most urgent first.

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

/// A target that was chosen for an attempt; it holds a slot until dropped.
pub struct Route {
    pub key: TargetKey,
    pub name: String,
    pub address: SocketAddr,
    /// Revision that `key` belongs to.
    pub revision: u64,
    /// Other targets that could take over.
    pub others: usize,
    in_flight: Option<InFlight>,
    gate: Arc<Gate>,
}

impl Drop for Route {
    fn drop(&mut self) {
        // The slot is free before anybody is told so.
        self.in_flight = None;
        self.gate.wake_one();
    }
}

/// How a search ended.
pub enum Found {
    Route(Route),
    /// No target may serve this stage.
    Nobody,
    /// No slot was free while there was time.
    NoTime,
}

/// Finds a target; waits for a slot no longer than the request can.
///
/// `resume` is a target that holds the first part of a broken stream.
pub async fn find(
    task: &StageTask<'_>,
    attempt: usize,
    tried: &[TargetKey],
    resume: Option<TargetKey>,
    left: Duration,
) -> Found {
    let rank = rank_of(task, left);
    let mut woken = false;
    loop {
        let view = task.worker.entry.view();
        let Some(search) = Search::new(&view, task, tried) else {
            return Found::Nobody;
        };
        let may_look = woken || !search.gate.has_ahead_of(&rank);
        if let Some(choice) = may_look.then(|| search.choose(task, resume)).flatten() {
            log_route(task, attempt, &search, choice);
            search.gate.wake_one();
            return Found::Route(search.into_route(choice));
        }
        let gate = search.gate.clone();
        let wait = rank.latest_start.saturating_sub(task.worker.entry.now());
        if wait == 0 {
            return Found::NoTime;
        }
        woken = gate.wait(rank, Duration::from_millis(wait)).await;
        if !woken {
            return Found::NoTime;
        }
    }
}

/// The moment by which this stage has to start, for a typical request.
fn rank_of(task: &StageTask<'_>, left: Duration) -> Rank {
    let entry = &task.worker.entry;
    let view = entry.view();
    let typical = view
        .expectations(task.job.pipeline, task.at)
        .first()
        .map_or(0, |expected| expected.typical_ms);
    let latest = (left.as_millis() as u64).saturating_sub(typical);
    entry.new_rank(task.over_share, task.job.pipeline().priority, latest)
}

/// Candidates of one stage in one view.
struct Search<'a> {
    view: &'a View,
    deployment: &'a Deployment,
    gate: Arc<Gate>,
    service: &'a Service,
    candidates: Vec<Candidate>,
}

impl<'a> Search<'a> {
    /// `None` when no target may serve the stage.
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
                    load: view.held_by(key),
                    reported: state.reported,
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

    /// A candidate with a free slot, in the way that is switched on.
    fn choose(&self, task: &StageTask<'_>, resume: Option<TargetKey>) -> Option<Choice> {
        let entry = &task.worker.entry;
        self.resumed(resume).or_else(|| {
            let free: Vec<Candidate> = match entry.switches.target_limits {
                true => self.with_free_slot(),
                false => self.candidates.clone(),
            };
            let draw = rand::rng().random();
            entry.switches.choose(&free, draw, entry.next_turn())
        })
    }

    /// Ejected targets count as free only when all are ejected: otherwise
    /// requests would run to them whenever the healthy ones are full.
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

    /// A broken stream goes on where it broke, if that target may still be used.
    fn resumed(&self, resume: Option<TargetKey>) -> Option<Choice> {
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

/// What an engine may hold in its cache for this request.
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
            "request={} run={} stage={} attempt={attempt} target={} why={} candidates={} remaining_ms={}",
            job.request,
            job.run,
            task.stage.name,
            search.deployment.target(choice.target).name,
            choice.reason.name(),
            search.candidates.len(),
            job.remaining_ms()
        ),
    );
}

/// The failure of a stage that no target may serve.
pub fn nobody(task: &StageTask<'_>, attempt: usize) -> Failure {
    log_no_route(task, attempt, "no target may serve it");
    let message = format!(
        "no target in a hall permitted to {} may serve stage {} now",
        task.job.org, task.stage.name
    );
    (ErrorKind::NoTarget, message)
}

/// The failure of a stage that got no slot in time.
pub fn no_time(task: &StageTask<'_>) -> Failure {
    log_no_route(task, 0, "no slot in time");
    let message = format!(
        "no slot for stage {} was free while a typical request would still have made it",
        task.stage.name
    );
    (ErrorKind::CannotFinish, message)
}

fn log_no_route(task: &StageTask<'_>, attempt: usize, why: &str) {
    task.worker.entry.log(
        events::NO_ROUTE,
        format_args!(
            "request={} run={} stage={} attempt={attempt} why=\"{why}\"",
            task.job.request, task.job.run, task.stage.name
        ),
    );
}
