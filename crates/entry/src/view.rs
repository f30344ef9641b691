//! The snapshot that the control thread publishes and traffic reads.
//!
//! A traffic thread loads one [`View`] per decision and never waits for the
//! control thread. Counters of requests in flight are shared atomics: they
//! change with every dispatch, faster than snapshots are made.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use hollowsail_config::{Deployment, PipelineKey, TargetKey};
use hollowsail_fleet::{member, Incarnation, Member, Standing, Stopping};
use hollowsail_routing::{RetryBudget, StageExpectation};

use crate::configuration::Configuration;
use crate::gate::Gate;

/// One target, in the order of the deployment's arena.
#[derive(Debug, Clone)]
pub struct TargetView {
    /// Calls of this entry in flight there.
    pub in_flight: Arc<AtomicU32>,
    /// Recent times over typical ones; 1 is as usual.
    pub slowness: f64,
    pub ejected: bool,
    /// Not leaving and not gone.
    pub takes_work: bool,
    /// Load the target last reported; 0 when it reports none.
    pub reported: f64,
    /// How much that report still says, 1 to 0.
    pub report_weight: f64,
}

/// One service, in the order of the deployment's arena.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// Extra attempts that this entry may make.
    pub retries: Arc<Mutex<RetryBudget>>,
    /// Requests that wait here for a slot.
    pub gate: Arc<Gate>,
}

/// Everything a traffic decision may look at.
#[derive(Debug, Clone)]
pub struct View {
    pub configuration: Option<Arc<Configuration>>,
    pub targets: Vec<TargetView>,
    pub services: Vec<ServiceView>,
    /// Expected times by pipeline and stage.
    pub stages: Vec<Vec<StageExpectation>>,
    pub own: Member,
    pub members: Vec<Member>,
    /// Peers have told this entry what they know.
    pub joined: bool,
    pub standing: Standing,
}

impl View {
    pub fn target(&self, key: TargetKey) -> &TargetView {
        &self.targets[key.index()]
    }

    /// A service by name, since keys of other revisions do not fit.
    pub fn service_named(&self, name: &str) -> Option<&ServiceView> {
        let services = &self.deployment()?.services;
        let at = services.iter().position(|service| service.name == name)?;
        self.services.get(at)
    }

    /// Requests that a target holds, as far as this entry can tell: its own,
    /// and those of the others as the target reported them or, the less that
    /// report still says, as if every entry sent as much as this one.
    pub fn held_by(&self, key: TargetKey) -> f64 {
        let state = self.target(key);
        let own = f64::from(state.in_flight.load(Ordering::Relaxed));
        let reported = (state.reported - own).max(0.0);
        let assumed = own * (self.entries() - 1) as f64;
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

    /// The member that answers for the tickets of `issuer`.
    pub fn answering(&self, issuer: Incarnation) -> Option<&Member> {
        member::answering(issuer, |wanted| {
            self.members
                .iter()
                .chain([&self.own])
                .find(|member| member.incarnation == wanted)
        })
    }

    /// Entries that share the targets with this one, itself included.
    pub fn entries(&self) -> usize {
        1 + self.members.iter().filter(|m| m.is_present()).count()
    }

    pub fn is_stopping(&self) -> bool {
        self.own.stopping != Stopping::No
    }
}

/// Counts one call in flight for as long as it lives.
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
