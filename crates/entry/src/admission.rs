//! Admission of a request before its first stage.
//!
//! Refuses a request that can't finish within its deadline, as estimated from
//! the current view, and determines whether its organisation exceeds its share
//! of the requests in flight at this entry.

use hollowsail_config::{Deployment, OrganisationKey, PipelineKey, Service};
use hollowsail_routing::{admit, Rank, ServiceLoad, StageDemand, Verdict};

use crate::in_flight_by_org::Admitted;
use crate::kinds::ErrorKind;
use crate::view::View;
use crate::worker::Worker;

/// Admits a request, or refuses it with [`ErrorKind::CannotFinish`].
pub fn admit_request(
    worker: &Worker,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    remaining_ms: u64,
) -> Result<Admitted, (ErrorKind, String)> {
    let organisation = deployment.organisation(org);
    let (name, weight) = (&organisation.name, organisation.weight);
    let usage = worker.entry.in_flight_by_org.usage_of(name, weight);
    let over_share = worker.entry.switches.fair_shares && usage.is_over_share();
    if worker.entry.switches.early_refusal {
        let view = worker.entry.view();
        let priority = deployment.pipeline(pipeline).priority;
        let rank = |latest| worker.entry.new_rank(over_share, priority, latest);
        let stages = stage_demands(&view, deployment, org, pipeline, remaining_ms, rank);
        let caution = 1.0 - deployment.policy.attainment_weight;
        if let Verdict::CannotFinish(needed) = admit(remaining_ms, &stages, caution) {
            let message = format!(
                "the deadline is in {remaining_ms} ms, but the stages need about {needed} ms"
            );
            return Err((ErrorKind::CannotFinish, message));
        }
    }
    Ok(worker
        .entry
        .in_flight_by_org
        .admit(name, weight, over_share))
}

/// Expected time and service load of each stage of a pipeline. Empty when the
/// request's configuration isn't the newest, as its keys wouldn't match.
fn stage_demands(
    view: &View,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    remaining_ms: u64,
    rank: impl Fn(u64) -> Rank,
) -> Vec<StageDemand> {
    let is_newest = view
        .deployment()
        .is_some_and(|newest| std::ptr::eq(newest, deployment));
    if !is_newest {
        return Vec::new();
    }
    let expected = view.expectations(pipeline, 0);
    let stages = &deployment.pipeline(pipeline).stages;
    stages
        .iter()
        .zip(expected)
        .enumerate()
        .map(|(index, (stage, expectation))| {
            let typical_rest_ms: u64 = expected[index..].iter().map(|e| e.typical_ms).sum();
            let rank = rank(remaining_ms.saturating_sub(typical_rest_ms));
            let gate = &view.services[stage.service.index()].gate;
            let mut load = service_load(view, deployment, org, deployment.service(stage.service));
            load.ahead += (gate.count_ahead_of(&rank) * view.entry_count()) as f64;
            StageDemand {
                expected: *expectation,
                load,
            }
        })
        .collect()
}

/// Slots and requests of the service's targets that the organisation may use.
fn service_load(
    view: &View,
    deployment: &Deployment,
    org: OrganisationKey,
    service: &Service,
) -> ServiceLoad {
    let mut load = ServiceLoad {
        slots: 0.0,
        ahead: 0.0,
    };
    for &key in &service.targets {
        let state = view.target(key);
        let usable = state.takes_work && !state.ejected;
        if usable && deployment.permits(org, deployment.target(key).hall) {
            load.slots += f64::from(service.concurrency);
            load.ahead += view.estimated_load(key);
        }
    }
    load
}
