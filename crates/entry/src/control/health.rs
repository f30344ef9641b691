//! What answers say of targets and stages.
//!
//! Facts come from traffic; this module keeps a [`TargetHealth`] per target
//! and a [`LatencyWindow`] per stage, carries them by name across revisions,
//! and makes the parts of the view that routing and deadlines read.

use std::collections::HashMap;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use hollowsail_config::{Deployment, PipelineKey, TargetKey};
use hollowsail_fleet::HostView;
use hollowsail_routing::health::eject_worst;
use hollowsail_routing::{
    HealthRules, LatencyWindow, Millis, Observation, RetryBudget, StageExpectation, TargetHealth,
};

use crate::configuration::Configuration;
use crate::control::Control;
use crate::events;
use crate::fact::Fact;
use crate::gate::Gate;
use crate::view::{ServiceView, TargetView};

/// Share of requests that the fast figure of a stage stands for.
const FAST: f64 = 0.05;
/// Share that the typical figure stands for.
const TYPICAL: f64 = 0.5;
/// Share that the slow figure stands for.
const SLOW: f64 = 0.95;
/// Until measured, "slow" is this multiple of the expected time.
const UNMEASURED_SLOW: u64 = 4;

/// One target's state across revisions.
#[derive(Debug, Clone, Default)]
struct TargetState {
    health: TargetHealth,
    in_flight: Arc<AtomicU32>,
    /// Load and when it was reported.
    reported: Option<(f64, Millis)>,
}

/// All targets and stages of the configuration in force.
#[derive(Debug, Default)]
pub struct HealthState {
    configuration: Option<Arc<Configuration>>,
    targets: Vec<TargetState>,
    services: Vec<ServiceView>,
    stages: Vec<Vec<LatencyWindow>>,
    rules: HealthRules,
}

impl HealthState {
    /// Moves to a new revision; what is known goes with the names.
    pub fn rebuild(&mut self, configuration: &Arc<Configuration>) {
        let mut known_targets = self.take_targets();
        let mut known_stages = self.take_stages();
        let mut known_gates = self.take_gates();
        let deployment = &configuration.deployment;
        let ratio = deployment.policy.retry_budget;
        self.services = deployment
            .services
            .iter()
            .map(|service| ServiceView {
                retries: Arc::new(Mutex::new(RetryBudget::new(ratio))),
                gate: known_gates.remove(&service.name).unwrap_or_default(),
            })
            .collect();
        self.targets = deployment
            .targets
            .iter()
            .map(|target| known_targets.remove(&target.name).unwrap_or_default())
            .collect();
        self.stages = deployment
            .pipelines
            .iter()
            .map(|pipeline| {
                pipeline
                    .stages
                    .iter()
                    .map(|stage| {
                        let name = (pipeline.name.clone(), stage.name.clone());
                        known_stages.remove(&name).unwrap_or_default()
                    })
                    .collect()
            })
            .collect();
        self.configuration = Some(configuration.clone());
    }

    fn deployment(&self) -> Option<&Deployment> {
        self.configuration.as_ref().map(|c| &c.deployment)
    }

    fn take_targets(&mut self) -> HashMap<String, TargetState> {
        let states = std::mem::take(&mut self.targets);
        let names = self.deployment().map_or(Vec::new(), |deployment| {
            deployment.targets.iter().map(|t| t.name.clone()).collect()
        });
        names.into_iter().zip(states).collect()
    }

    /// Requests may wait at a gate while the revision changes.
    fn take_gates(&mut self) -> HashMap<String, Arc<Gate>> {
        let views = std::mem::take(&mut self.services);
        let names = self.deployment().map_or(Vec::new(), |deployment| {
            deployment.services.iter().map(|s| s.name.clone()).collect()
        });
        let gates = views.into_iter().map(|view| view.gate);
        names.into_iter().zip(gates).collect()
    }

    fn take_stages(&mut self) -> HashMap<(String, String), LatencyWindow> {
        let windows = std::mem::take(&mut self.stages);
        let Some(deployment) = self.deployment() else {
            return HashMap::new();
        };
        deployment
            .pipelines
            .iter()
            .zip(windows)
            .flat_map(|(pipeline, windows)| {
                pipeline
                    .stages
                    .iter()
                    .zip(windows)
                    .map(|(stage, window)| ((pipeline.name.clone(), stage.name.clone()), window))
            })
            .collect()
    }

    /// Takes a fact; facts about another revision's keys are passed over.
    fn take(&mut self, now: Millis, fact: &Fact) {
        if self.configuration.as_ref().map(|c| c.revision()) != Some(fact.revision) {
            return;
        }
        let typical_ms = self.typical_ms(fact.pipeline, fact.stage);
        if let Some(state) = self.targets.get_mut(fact.target.index()) {
            state.health.observe(fact.observation, typical_ms);
            if let Some(load) = fact.notice.load {
                state.reported = Some((f64::from(load), now));
            }
        }
        let window = self
            .stages
            .get_mut(fact.pipeline.index())
            .and_then(|stages| stages.get_mut(fact.stage));
        // A timed-out attempt counts with the time it waited: when a service
        // slows down as a whole, what counts as hung has to follow.
        if let (Some(window), Observation::Answered(ms) | Observation::TimedOut(ms)) =
            (window, fact.observation)
        {
            window.record(now, ms);
        }
    }

    fn typical_ms(&self, pipeline: PipelineKey, stage: usize) -> Millis {
        let Some(deployment) = self.deployment() else {
            return 1;
        };
        let expected = deployment.pipeline(pipeline).stages[stage].expected_ms;
        typical(u64::from(expected), &self.stages[pipeline.index()][stage])
    }

    /// Ejects what deserves it; returns the targets newly out.
    fn eject(&mut self, now: Millis) -> Vec<TargetKey> {
        let Some(configuration) = self.configuration.clone() else {
            return Vec::new();
        };
        let mut ejected = Vec::new();
        for service in &configuration.deployment.services {
            let mut healths: Vec<TargetHealth> = service
                .targets
                .iter()
                .map(|key| self.targets[key.index()].health.clone())
                .collect();
            for at in eject_worst(now, &self.rules, &mut healths) {
                ejected.push(service.targets[at]);
            }
            for (key, health) in service.targets.iter().zip(healths) {
                self.targets[key.index()].health = health;
            }
        }
        ejected
    }

    /// The view's targets, in the order of the arena.
    pub fn target_views(&self, now: Millis, hosts: &HostView) -> Vec<TargetView> {
        let Some(deployment) = self.deployment() else {
            return Vec::new();
        };
        let half_lives = self.half_lives(deployment);
        deployment
            .targets
            .iter()
            .zip(&self.targets)
            .map(|(target, state)| {
                let half_life = half_lives[target.service.index()];
                let weight = |at| 0.5f64.powf((now - at) as f64 / half_life);
                TargetView {
                    in_flight: state.in_flight.clone(),
                    slowness: state.health.slowness(),
                    ejected: state.health.is_ejected(now),
                    takes_work: hosts.takes_work(&target.name),
                    reported: state.reported.map_or(0.0, |(load, _)| load),
                    report_weight: state.reported.map_or(0.0, |(_, at)| weight(at)),
                }
            })
            .collect()
    }

    /// A reported load says little once its requests have ended: it counts half
    /// after the longest typical time of the service's stages.
    fn half_lives(&self, deployment: &Deployment) -> Vec<f64> {
        let mut longest = vec![1; deployment.services.len()];
        for (pipeline, windows) in deployment.pipelines.iter().zip(&self.stages) {
            for (stage, window) in pipeline.stages.iter().zip(windows) {
                let typical = typical(u64::from(stage.expected_ms), window);
                let service = &mut longest[stage.service.index()];
                *service = typical.max(*service);
            }
        }
        longest.into_iter().map(|ms| ms as f64).collect()
    }

    /// The view's services, in the order of the arena.
    pub fn service_views(&self) -> Vec<ServiceView> {
        self.services.clone()
    }

    /// Expected times by pipeline and stage.
    pub fn expectations(&self) -> Vec<Vec<StageExpectation>> {
        let Some(deployment) = self.deployment() else {
            return Vec::new();
        };
        deployment
            .pipelines
            .iter()
            .zip(&self.stages)
            .map(|(pipeline, windows)| {
                pipeline
                    .stages
                    .iter()
                    .zip(windows)
                    .map(|(stage, window)| expectation(u64::from(stage.expected_ms), window))
                    .collect()
            })
            .collect()
    }
}

fn typical(expected_ms: u64, window: &LatencyWindow) -> Millis {
    window.quantile(TYPICAL).unwrap_or(expected_ms)
}

fn expectation(expected_ms: u64, window: &LatencyWindow) -> StageExpectation {
    StageExpectation {
        fast_ms: window.quantile(FAST).unwrap_or(0),
        typical_ms: typical(expected_ms, window),
        slow_ms: window
            .quantile(SLOW)
            .unwrap_or(UNMEASURED_SLOW * expected_ms),
    }
}

impl Control {
    pub(crate) fn take_fact(&mut self, fact: &Fact) {
        let now = self.now();
        self.health.take(now, fact);
        let current = self.configuration.as_ref().map(|c| c.revision());
        if fact.notice.leaving && current == Some(fact.revision) {
            let name = self
                .configuration
                .as_ref()
                .map(|c| c.deployment.target(fact.target).name.clone());
            self.learn_leaving(&name.unwrap_or_default(), "target");
        }
    }

    /// Other entries' calls end unseen: whoever is next looks again.
    pub(crate) fn wake_waiting(&self) {
        self.health
            .services
            .iter()
            .for_each(|service| service.gate.wake_one());
    }

    pub(crate) fn judge_health(&mut self) {
        let now = self.now();
        let ejected = self.health.eject(now);
        let Some(configuration) = &self.configuration else {
            return;
        };
        for key in ejected {
            let target = configuration.deployment.target(key);
            self.entry.log(
                events::TARGET_EJECTED,
                format_args!("target={}", target.name),
            );
        }
    }
}
