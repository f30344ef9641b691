//! Check of the repeats of work: what all targets of a service get more than once, in every window,
//! against what the settings allow.

use std::time::{Duration, Instant};

use hollowsail_platform_emulator::entry::ALLOWED_REPEATS;
use hollowsail_platform_emulator::{ServiceModel, WorstWindow};

use super::callers::Attempt;
use super::plan::SoakPlan;
use super::processes::Observations;
use super::report::{Failure, FailureKind};

/// A request or a piece that a service got once more.
#[derive(Debug, Clone)]
pub struct Repeat {
    pub service: String,
    /// Since the start of the platform.
    pub at: Duration,
}

/// Result of the check.
pub struct RepeatReport {
    pub failures: Vec<Failure>,
    pub summary: String,
    /// Largest part of the allowance of any service that is used.
    pub used: f64,
}

pub fn evaluate(
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> RepeatReport {
    let services = plan.site.services.iter();
    let worst: Vec<(&str, WorstWindow)> = services
        .filter_map(|service| {
            let worst = worst_window(service, plan, observations, attempts)?;
            Some((service.name.as_str(), worst))
        })
        .collect();
    let describe = |(service, worst): &(&str, WorstWindow)| {
        let WorstWindow {
            from,
            repeats,
            requests,
            allowed,
        } = worst;
        format!(
            "{service} {repeats} of {allowed:.0} allowed, beside {requests} requests, from {} ms on",
            from.as_millis()
        )
    };
    let exceeded = worst.iter().filter(|(_, worst)| worst.is_exceeded());
    let windows: Vec<String> = worst.iter().map(describe).collect();
    let used = worst
        .iter()
        .map(|(_, worst)| worst.repeats as f64 / worst.allowed);
    RepeatReport {
        used: used.fold(0.0, f64::max),
        failures: exceeded
            .map(|worst| Failure::new(FailureKind::Repeats, describe(worst)))
            .collect(),
        summary: format!("repeats in the worst window: {}", windows.join("; ")),
    }
}

fn worst_window(
    service: &ServiceModel,
    plan: &SoakPlan,
    observations: &Observations,
    attempts: &[Attempt],
) -> Option<WorstWindow> {
    let started = observations.platform_started?;
    let since_start = |at: Instant| at.saturating_duration_since(started);
    let repeats = observations.repeats.iter();
    let mut repeats: Vec<Duration> = repeats
        .filter(|repeat| repeat.service == service.name)
        .map(|repeat| repeat.at)
        .collect();
    repeats.sort();
    let is_for_service = |attempt: &&Attempt| {
        let mut routes = plan.site.routes.iter();
        let route = routes.find(|route| route.path == attempt.route.path);
        route.is_some_and(|route| route.service == service.name)
    };
    let requests = attempts.iter().filter(is_for_service);
    let mut requests: Vec<Duration> = requests.map(|attempt| since_start(attempt.sent)).collect();
    requests.sort();
    ALLOWED_REPEATS.worst_window(&repeats, &requests)
}
