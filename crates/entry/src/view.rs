//! The snapshot that the control thread publishes and traffic threads read.
//!
//! A traffic thread loads one [`View`] per decision and never waits for the
//! control thread. Counters of requests in flight are shared atomics, as they
//! change with every dispatch.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use hollowsail_config::{Deployment, PipelineKey, TargetKey};
use hollowsail_fleet::{member, Connectivity, Incarnation, Member, Stopping};
use hollowsail_routing::{RetryBudget, StageExpectation};

use crate::configuration::Configuration;
use crate::gate::Gate;

/// State of one target.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Calls of this entry in flight at the target.
    pub in_flight: Arc<AtomicU32>,
    /// Ratio of recent to typical latency; 1 is normal.
    pub slowness: f64,
    pub ejected: bool,
    /// Neither draining nor missing from the host list.
    pub takes_work: bool,
    /// Load that the target last reported; 0 when it reported none.
    pub reported_load: f64,
    /// Weight of that report, from 1 when new down to 0.
    pub report_weight: f64,
}

/// State of one service.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// Retry budget of this entry.
    pub retries: Arc<Mutex<RetryBudget>>,
    /// Requests of this entry that wait for a slot.
    pub gate: Arc<Gate>,
}

/// Input of routing decisions; immutable except for the shared counters.
#[derive(Debug, Clone)]
pub struct View {
    pub configuration: Option<Arc<Configuration>>,
    /// In the order of the deployment's arena.
    pub targets: Vec<TargetView>,
    /// In the order of the deployment's arena.
    pub services: Vec<ServiceView>,
    /// Expected times by pipeline and stage.
    pub stages: Vec<Vec<StageExpectation>>,
    pub own: Member,
    pub members: Vec<Member>,
    /// True after a peer has sent this entry the whole member list.
    pub joined: bool,
    pub connectivity: Connectivity,
}

impl View {
    pub fn target(&self, key: TargetKey) -> &TargetView {
        &self.targets[key.index()]
    }

    /// Finds a service by name, as keys of other revisions don't match.
    pub fn service_named(&self, name: &str) -> Option<&ServiceView> {
        let services = &self.deployment()?.services;
        let index = services.iter().position(|service| service.name == name)?;
        self.services.get(index)
    }

    /// Estimates the requests in flight at a target from all entries: this entry's,
    /// plus a weighted mean of the target's last report and the assumption that every
    /// other entry has as many as this one.
    pub fn estimated_load(&self, key: TargetKey) -> f64 {
        let state = self.target(key);
        let own = f64::from(state.in_flight.load(Ordering::Relaxed));
        let reported = (state.reported_load - own).max(0.0);
        let assumed = own * (self.entry_count() - 1) as f64;
        own + state.report_weight * reported + (1.0 - state.report_weight) * assumed
    }

    /// Expectations of a pipeline's stages from `stage` on.
    pub fn expectations(&self, pipeline: PipelineKey, stage: usize) -> &[StageExpectation] {
        self.stages
            .get(pipeline.index())
            .and_then(|stages| stages.get(stage..))
            .unwrap_or(&[])
    }

    pub fn deployment(&self) -> Option<&Deployment> {
        self.configuration
            .as_ref()
            .map(|configuration| &configuration.deployment)
    }

    pub fn revision(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.revision())
    }

    /// The member responsible for the tickets of `issuer`.
    pub fn responsible_member(&self, issuer: Incarnation) -> Option<&Member> {
        member::resolve_issuer(issuer, |incarnation| {
            self.members
                .iter()
                .chain([&self.own])
                .find(|member| member.incarnation == incarnation)
        })
    }

    /// Number of entries that share the targets, including this one.
    pub fn entry_count(&self) -> usize {
        1 + self.members.iter().filter(|m| m.is_present()).count()
    }

    pub fn is_stopping(&self) -> bool {
        self.own.stopping != Stopping::No
    }
}

/// Counts one request or call as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl InFlight {
    pub fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        InFlight(counter.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
