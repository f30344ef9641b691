//! Judging a request before its first stage, from the snapshot and from what
//! this entry has in flight for each organisation.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use hollowsail_config::{Deployment, OrganisationKey, PipelineKey, Service};
use hollowsail_routing::{admit, Holding, ServiceLoad, StageDemand, Verdict};

use crate::kinds::ErrorKind;
use crate::view::View;
use crate::worker::Worker;

/// Requests in flight at this entry, by organisation.
#[derive(Debug, Default)]
pub struct Holdings(Mutex<HashMap<String, Held>>);

#[derive(Debug, Clone, Copy)]
struct Held {
    count: u32,
    weight: u32,
}

/// One admitted request; its organisation holds it until this is dropped.
#[derive(Debug)]
pub struct Admitted {
    holdings: Arc<Holdings>,
    org: String,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let mut all = self.holdings.0.lock().expect("no panic while held");
        if let Some(held) = all.get_mut(&self.org) {
            held.count -= 1;
            if held.count == 0 {
                all.remove(&self.org);
            }
        }
    }
}

impl Holdings {
    fn of(&self, org: &str, weight: u32) -> Holding {
        let all = self.0.lock().expect("no panic while held");
        let others: u32 = all
            .iter()
            .filter(|(name, _)| *name != org)
            .map(|(_, held)| held.weight)
            .sum();
        Holding {
            own: all.get(org).map_or(0, |held| held.count),
            all: all.values().map(|held| held.count).sum(),
            share: f64::from(weight) / f64::from(weight + others),
        }
    }

    fn take(self: &Arc<Self>, org: &str, weight: u32) -> Admitted {
        let mut all = self.0.lock().expect("no panic while held");
        let held = all
            .entry(org.to_string())
            .or_insert(Held { count: 0, weight });
        held.count += 1;
        held.weight = weight;
        Admitted {
            holdings: self.clone(),
            org: org.into(),
        }
    }
}

/// Admits a request, or says why not.
pub fn judge(
    worker: &Worker,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
    remaining_ms: u64,
) -> Result<Admitted, (ErrorKind, String)> {
    let switches = worker.entry.switches;
    let organisation = deployment.organisation(org);
    let (name, weight) = (&organisation.name, organisation.weight);
    let holding = worker.entry.holdings.of(name, weight);
    let view = worker.entry.view();
    let stages = match switches.early_refusal {
        true => demands(&view, deployment, org, pipeline),
        false => Vec::new(),
    };
    let caution = 1.0 - deployment.policy.attainment_weight;
    let shares = Some(holding).filter(|_| switches.fair_shares);
    match admit(remaining_ms, &stages, shares, caution) {
        Verdict::Admit => Ok(worker.entry.holdings.take(name, weight)),
        Verdict::CannotFinish(needed) => {
            let message = format!("{remaining_ms} ms are left and about {needed} ms are needed");
            Err((ErrorKind::CannotFinish, message))
        }
        Verdict::OverShare => {
            let message = format!("{name} holds more than its share of what is contended");
            Err((ErrorKind::Overloaded, message))
        }
    }
}

/// What each stage of a pipeline meets. Empty when the newest configuration is
/// another one than the request's: its keys would not fit.
fn demands(
    view: &View,
    deployment: &Deployment,
    org: OrganisationKey,
    pipeline: PipelineKey,
) -> Vec<StageDemand> {
    let same = view
        .deployment()
        .is_some_and(|newest| std::ptr::eq(newest, deployment));
    if !same {
        return Vec::new();
    }
    deployment
        .pipeline(pipeline)
        .stages
        .iter()
        .zip(view.expectations(pipeline, 0))
        .map(|(stage, expected)| StageDemand {
            expected: *expected,
            load: load_of(view, deployment, org, deployment.service(stage.service)),
        })
        .collect()
}

fn load_of(
    view: &View,
    deployment: &Deployment,
    org: OrganisationKey,
    service: &Service,
) -> ServiceLoad {
    let entries = view.entries() as f64;
    let mut load = ServiceLoad {
        slots: 0.0,
        held: 0.0,
    };
    for &key in &service.targets {
        let state = view.target(key);
        let usable = state.takes_work && !state.ejected;
        if !usable || !deployment.permits(org, deployment.target(key).hall) {
            continue;
        }
        let own = f64::from(state.in_flight.load(Ordering::Relaxed));
        load.slots += f64::from(service.concurrency);
        // Where targets report nothing, the other entries are taken to send as
        // much as this one.
        load.held += match service.reports_load {
            true => own.max(state.aged_load),
            false => own * entries,
        };
    }
    load
}
