//! Health of targets and latency of stages, from the outcomes of attempts.
//!
//! Keeps a [`TargetHealth`] per target and a [`LatencyWindow`] per stage,
//! updated from the reports of traffic threads and carried over by name when
//! the revision changes, and builds the parts of the view that routing and
//! deadlines read.

use hollowsail_observe::text::Field;
use std::collections::HashMap;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use hollowsail_config::{Deployment, PipelineKey, TargetKey};
use hollowsail_fleet::HostView;
use hollowsail_routing::health::eject_worst;
use hollowsail_routing::{
    HealthRules, LatencyWindow, Millis, Observation, RetryBudget, StageExpectation, TargetHealth,
};

use crate::attempt_report::AttemptReport;
use crate::configuration::Configuration;
use crate::control::Control;
use crate::events;
use crate::gate::Gate;
use crate::view::{ServiceView, TargetView};

const FAST_QUANTILE: f64 = 0.05;
const TYPICAL_QUANTILE: f64 = 0.5;
const SLOW_QUANTILE: f64 = 0.95;
/// Without measurements, the slow time is this multiple of the configured time.
const DEFAULT_SLOW_FACTOR: u64 = 4;

/// State of one target, carried over between revisions.
#[derive(Debug, Clone, Default)]
struct TargetState {
    health: TargetHealth,
    in_flight: Arc<AtomicU32>,
    /// Load that the target last reported, and the time of the report.
    reported_load: Option<(f64, Millis)>,
}

/// State of all targets and stages of the configuration in force.
#[derive(Debug, Default)]
pub struct HealthState {
    configuration: Option<Arc<Configuration>>,
    targets: Vec<TargetState>,
    services: Vec<ServiceView>,
    stages: Vec<Vec<LatencyWindow>>,
    rules: HealthRules,
}

impl HealthState {
    /// Switches to a new revision; state is carried over by name.
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

    /// Gates are carried over because requests may be waiting at them.
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

    /// Records an attempt; reports with the keys of another revision are ignored.
    fn record(&mut self, now: Millis, report: &AttemptReport) {
        if self.configuration.as_ref().map(|c| c.revision()) != Some(report.revision) {
            return;
        }
        let typical_ms = self.typical_ms(report.pipeline, report.stage);
        if let Some(state) = self.targets.get_mut(report.target.index()) {
            state.health.observe(report.observation, typical_ms);
            if let Some(load) = report.target_reports.load {
                state.reported_load = Some((f64::from(load), now));
            }
        }
        let window = self
            .stages
            .get_mut(report.pipeline.index())
            .and_then(|stages| stages.get_mut(report.stage));
        // A timed-out attempt counts with the time it waited, so that the
        // attempt time limit follows when the whole service slows down.
        if let (Some(window), Observation::Answered(ms) | Observation::TimedOut(ms)) =
            (window, report.observation)
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

    /// Ejects unhealthy targets; returns those newly ejected.
    fn eject_unhealthy(&mut self, now: Millis) -> Vec<TargetKey> {
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
            for index in eject_worst(now, &self.rules, &mut healths) {
                ejected.push(service.targets[index]);
            }
            for (key, health) in service.targets.iter().zip(healths) {
                self.targets[key.index()].health = health;
            }
        }
        ejected
    }

    /// The view's targets, in the order of the deployment's arena.
    pub fn target_views(&self, now: Millis, hosts: &HostView) -> Vec<TargetView> {
        let Some(deployment) = self.deployment() else {
            return Vec::new();
        };
        let half_lives = self.report_half_lives(deployment);
        deployment
            .targets
            .iter()
            .zip(&self.targets)
            .map(|(target, state)| {
                let half_life = half_lives[target.service.index()];
                let weight = |reported_at| 0.5f64.powf((now - reported_at) as f64 / half_life);
                TargetView {
                    in_flight: state.in_flight.clone(),
                    slowness: state.health.slowness(),
                    ejected: state.health.is_ejected(now),
                    takes_work: hosts.takes_work(&target.name),
                    reported_load: state.reported_load.map_or(0.0, |(load, _)| load),
                    report_weight: state
                        .reported_load
                        .map_or(0.0, |(_, reported_at)| weight(reported_at)),
                }
            })
            .collect()
    }

    /// Half-life in milliseconds of a reported load, by service: the longest
    /// typical time of its stages, after which the reported requests have ended.
    fn report_half_lives(&self, deployment: &Deployment) -> Vec<f64> {
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

    /// The view's services, in the order of the deployment's arena.
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
    window.quantile(TYPICAL_QUANTILE).unwrap_or(expected_ms)
}

fn expectation(expected_ms: u64, window: &LatencyWindow) -> StageExpectation {
    StageExpectation {
        fast_ms: window.quantile(FAST_QUANTILE).unwrap_or(0),
        typical_ms: typical(expected_ms, window),
        slow_ms: window
            .quantile(SLOW_QUANTILE)
            .unwrap_or(DEFAULT_SLOW_FACTOR * expected_ms),
    }
}

impl Control {
    pub(crate) fn record_attempt(&mut self, report: &AttemptReport) {
        let now = self.now();
        self.health.record(now, report);
        let current = self.configuration.as_ref().map(|c| c.revision());
        if report.target_reports.draining && current == Some(report.revision) {
            let name = self
                .configuration
                .as_ref()
                .map(|c| c.deployment.target(report.target).name.clone());
            self.mark_draining(&name.unwrap_or_default(), "target");
        }
    }

    /// Wakes the next waiter of each gate: a slot may have become free because a
    /// call of another entry ended.
    pub(crate) fn wake_waiters(&self) {
        self.health
            .services
            .iter()
            .for_each(|service| service.gate.wake_one());
    }

    pub(crate) fn eject_unhealthy_targets(&mut self) {
        let now = self.now();
        let ejected = self.health.eject_unhealthy(now);
        let Some(configuration) = &self.configuration else {
            return;
        };
        for key in ejected {
            let target = configuration.deployment.target(key);
            self.entry.log(
                events::TARGET_EJECTED,
                format_args!("target={}", Field(&target.name)),
            );
        }
    }
}
