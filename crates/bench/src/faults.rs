//! Injects the faults of a scenario: switches each on and off on schedule during a run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_entry::apply::ApplyResult;
use hollowsail_local::LocalFleet;
use hollowsail_standins::{StoreFaults, TargetFaults};
use serde::Serialize;

use crate::history::RevisionSampler;
use crate::load::Callers;
use crate::scenario::{FaultKind, FaultPlan};

/// How long the load balancer still sends to an entry that has stopped.
const BALANCER_LAG: Duration = Duration::from_millis(1000);

/// A scheduled switch of a fault.
struct Switch {
    at: Duration,
    on: bool,
    kind: FaultKind,
}

/// Outcomes of concurrent applies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ApplyCounts {
    pub sent: usize,
    pub accepted: usize,
    pub conflicts: usize,
    /// Neither accepted nor in conflict, for example because the store did not answer.
    pub unanswered: usize,
}

impl ApplyCounts {
    /// Adds two counts.
    pub fn plus(self, other: ApplyCounts) -> ApplyCounts {
        ApplyCounts {
            sent: self.sent + other.sent,
            accepted: self.accepted + other.accepted,
            conflicts: self.conflicts + other.conflicts,
            unanswered: self.unanswered + other.unanswered,
        }
    }

    fn count(&mut self, result: &ApplyResult) {
        self.sent += 1;
        match result {
            ApplyResult::Accepted { .. } => self.accepted += 1,
            ApplyResult::Conflict { .. } => self.conflicts += 1,
            _ => self.unanswered += 1,
        }
    }
}

/// The parts of a run that faults act on.
pub struct Injection<'a> {
    pub fleet: &'a mut LocalFleet,
    pub callers: &'a Callers,
    pub sampler: &'a RevisionSampler,
    pub applies: ApplyCounts,
}

impl Injection<'_> {
    /// Injects all faults of a run in order of time, until `end`.
    pub async fn run(&mut self, plans: &[FaultPlan], start: Instant, end: Instant) {
        for switch in switches(plans) {
            let due = start + switch.at;
            if due >= end {
                break;
            }
            tokio::time::sleep_until(due.into()).await;
            self.apply_switch(&switch).await;
        }
    }

    async fn apply_switch(&mut self, switch: &Switch) {
        match &switch.kind {
            FaultKind::Burst { .. } | FaultKind::Flood { .. } => {}
            FaultKind::StoreDown => self.fleet.store.set_faults(StoreFaults {
                down: switch.on,
                ..StoreFaults::default()
            }),
            FaultKind::StoreLosesAnswers { share } => self.fleet.store.set_faults(StoreFaults {
                lose_answers: if switch.on { *share } else { 0.0 },
                ..StoreFaults::default()
            }),
            FaultKind::EntryKilled { entry } if switch.on => self.kill_entry(*entry).await,
            FaultKind::EntryKilled { .. } => self.add_entry().await,
            FaultKind::RollingRestart if switch.on => self.restart_all().await,
            FaultKind::RollingRestart => {}
            FaultKind::RacingApplies { .. } if switch.on => self.race_applies().await,
            FaultKind::RacingApplies { .. } => {}
            FaultKind::HallLost { hall } => self.lose_hall(hall, switch.on).await,
            target_fault => set_target_faults(self.fleet, target_fault, switch.on),
        }
    }

    async fn kill_entry(&mut self, index: usize) {
        if let Some(entry) = self.fleet.take_entry(index) {
            let address = entry.callers;
            entry.kill().await;
            remove_from_balancer(self.callers, address);
        }
    }

    async fn add_entry(&mut self) {
        if let Ok(index) = self.fleet.start_entry().await {
            self.sampler.watch(&self.fleet.entry(index).entry);
            self.fleet.wait_for_members().await;
            self.callers.add_entry(self.fleet.entry(index).callers);
        }
    }

    async fn restart_all(&mut self) {
        for index in 0..self.fleet.entries.len() {
            self.add_entry().await;
            if let Some(entry) = self.fleet.take_entry(index) {
                remove_from_balancer(self.callers, entry.callers);
                entry.stop().await;
            }
        }
    }

    /// Sends two concurrent applies on the same base to the first and the last running entry.
    async fn race_applies(&mut self) {
        let indexes: Vec<usize> = (0..self.fleet.entries.len())
            .filter(|&index| self.fleet.entries[index].is_some())
            .collect();
        let (Some(&first), Some(&last)) = (indexes.first(), indexes.last()) else {
            return;
        };
        let base = self.fleet.entry(first).entry.view().revision();
        let changed = |operator: &str| {
            let mut files = self.fleet.files.clone();
            files[0].text += &format!("; applied by {operator} on {base}\n");
            files
        };
        let ids = [format!("one-{base}"), format!("two-{base}")];
        let (one, two) = tokio::join!(
            self.fleet
                .apply_without_waiting(first, changed("one"), base, &ids[0]),
            self.fleet
                .apply_without_waiting(last, changed("two"), base, &ids[1]),
        );
        self.applies.count(&one);
        self.applies.count(&two);
    }

    async fn lose_hall(&mut self, hall: &str, on: bool) {
        let hang = TargetFaults {
            hang: on,
            ..TargetFaults::default()
        };
        let Some(key) = self.fleet.deployment.find_hall(hall) else {
            return;
        };
        for target in self
            .fleet
            .deployment
            .targets
            .iter()
            .filter(|t| t.hall == key)
        {
            self.fleet.targets.set_faults(&target.name, hang.clone());
        }
        let indexes: Vec<usize> = (0..self.fleet.entries.len())
            .filter(|&index| {
                self.fleet.entries[index]
                    .as_ref()
                    .is_some_and(|entry| entry.entry.settings.hall == hall)
            })
            .collect();
        for index in indexes.into_iter().filter(|_| on) {
            self.kill_entry(index).await;
        }
    }
}

/// Lists the switches of all faults in order of time; concurrent applies repeat.
fn switches(plans: &[FaultPlan]) -> Vec<Switch> {
    let mut switches: Vec<Switch> = plans
        .iter()
        .flat_map(|plan| {
            let on = match plan.kind {
                FaultKind::RacingApplies { every_ms } => (0..plan.for_ms)
                    .step_by(every_ms as usize)
                    .map(|ms| plan.at_ms + ms)
                    .collect(),
                _ => vec![plan.at_ms],
            };
            let switch = |ms, on| Switch {
                at: Duration::from_millis(ms),
                on,
                kind: plan.kind.clone(),
            };
            let off = switch(plan.at_ms + plan.for_ms, false);
            on.into_iter()
                .map(move |ms| switch(ms, true))
                .chain([off])
                .collect::<Vec<_>>()
        })
        .collect();
    switches.sort_by_key(|switch| switch.at);
    switches
}

/// Removes an entry and its tickets from the load balancer after its lag.
fn remove_from_balancer(callers: &Callers, address: SocketAddr) {
    let callers = callers.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(BALANCER_LAG).await;
        callers.drop_entry(address);
    });
}

/// Sets or clears a fault of the targets whose names have its prefix.
fn set_target_faults(fleet: &LocalFleet, kind: &FaultKind, on: bool) {
    let Some((prefix, faults)) = target_faults(kind) else {
        return;
    };
    let faults = if on { faults } else { TargetFaults::default() };
    for target in &fleet.deployment.targets {
        if target.name.starts_with(prefix) {
            fleet.targets.set_faults(&target.name, faults.clone());
        }
    }
}

fn target_faults(kind: &FaultKind) -> Option<(&str, TargetFaults)> {
    let mut faults = TargetFaults::default();
    let targets = match kind {
        FaultKind::Slow { targets, factor } => {
            faults.slow_factor = *factor;
            targets
        }
        FaultKind::Hang { targets } => {
            faults.hang = true;
            targets
        }
        FaultKind::Errors { targets } => {
            faults.refuse = Some(500);
            targets
        }
        FaultKind::Leaving { targets } => {
            faults.draining = true;
            targets
        }
        FaultKind::Cut { targets } => {
            faults.cut_answer = true;
            faults.cut_stream_after = Some(3);
            targets
        }
        FaultKind::FrozenLoad { targets } => {
            faults.frozen_load = Some(0);
            targets
        }
        _ => return None,
    };
    Some((targets, faults))
}
