//! Judging a request before its first stage, from the snapshot and from what
//! this entry has in flight for each organisation.

use hollowsail_config::{Deployment, OrganisationKey, PipelineKey, Service};
use hollowsail_routing::{admit, Rank, ServiceLoad, StageDemand, Verdict};

use crate::holdings::Admitted;
use crate::kinds::ErrorKind;
use crate::view::View;
use crate::worker::Worker;

/// Admits a request, or says why not.
pub fn judge(
    worker: &Worker,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    remaining_ms: u64,
) -> Result<Admitted, (ErrorKind, String)> {
    let organisation = deployment.organisation(org);
    let (name, weight) = (&organisation.name, organisation.weight);
    let holding = worker.entry.holdings.of(name, weight);
    let over_share = worker.entry.switches.fair_shares && holding.is_over();
    if worker.entry.switches.early_refusal {
        let view = worker.entry.view();
        let priority = deployment.pipeline(pipeline).priority;
        let rank = |latest| worker.entry.new_rank(over_share, priority, latest);
        let stages = demands(&view, deployment, org, pipeline, remaining_ms, rank);
        let caution = 1.0 - deployment.policy.attainment_weight;
        if let Verdict::CannotFinish(needed) = admit(remaining_ms, &stages, caution) {
            let message = format!("{remaining_ms} ms are left and about {needed} ms are needed");
            return Err((ErrorKind::CannotFinish, message));
        }
    }
    Ok(worker.entry.holdings.take(name, weight, over_share))
}

/// What each stage of a pipeline meets. Empty when the newest configuration is
/// another one than the request's: its keys would not fit.
fn demands(
    view: &View,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    remaining_ms: u64,
    rank: impl Fn(u64) -> Rank,
) -> Vec<StageDemand> {
    let same = view
        .deployment()
        .is_some_and(|newest| std::ptr::eq(newest, deployment));
    if !same {
        return Vec::new();
    }
    let expected = view.expectations(pipeline, 0);
    let stages = &deployment.pipeline(pipeline).stages;
    stages
        .iter()
        .zip(expected)
        .enumerate()
        .map(|(at, (stage, expectation))| {
            let rest: u64 = expected[at..].iter().map(|e| e.typical_ms).sum();
            let rank = rank(remaining_ms.saturating_sub(rest));
            let gate = &view.services[stage.service.index()].gate;
            let mut load = load_of(view, deployment, org, deployment.service(stage.service));
            load.ahead += (gate.ahead_of(&rank) * view.entries()) as f64;
            StageDemand {
                expected: *expectation,
                load,
            }
        })
        .collect()
}

fn load_of(
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
            load.ahead += view.held_by(key);
        }
    }
    load
}
