//! Switching faults on and off while a run goes on.

use std::time::{Duration, Instant};

use hollowsail_local::LocalFleet;
use hollowsail_standins::{StoreFaults, TargetFaults};

use crate::load::Callers;
use crate::scenario::{FaultKind, FaultPlan};

/// How long the balancer goes on sending to an entry that is gone.
const BALANCER_LAG: Duration = Duration::from_millis(1000);

/// One switch in time.
struct Switch {
    at: Duration,
    on: bool,
    kind: FaultKind,
}

/// Carries out all faults of a run, in order of time.
pub async fn inject(
    fleet: &mut LocalFleet,
    callers: &Callers,
    plans: &[FaultPlan],
    start: Instant,
    end: Instant,
) {
    let mut switches: Vec<Switch> = plans
        .iter()
        .flat_map(|plan| {
            let at = |ms| Duration::from_millis(ms);
            let switch = |at, on| Switch {
                at,
                on,
                kind: plan.kind.clone(),
            };
            [
                switch(at(plan.at_ms), true),
                switch(at(plan.at_ms + plan.for_ms), false),
            ]
        })
        .collect();
    switches.sort_by_key(|switch| switch.at);
    for switch in switches {
        let due = start + switch.at;
        if due >= end {
            break;
        }
        tokio::time::sleep_until(due.into()).await;
        carry_out(fleet, callers, &switch).await;
    }
}

async fn carry_out(fleet: &mut LocalFleet, callers: &Callers, switch: &Switch) {
    match &switch.kind {
        FaultKind::Burst { .. } | FaultKind::Flood { .. } => {}
        FaultKind::StoreDown => fleet.store.set_faults(StoreFaults {
            down: switch.on,
            ..StoreFaults::default()
        }),
        FaultKind::StoreLosesAnswers { share } => fleet.store.set_faults(StoreFaults {
            lose_answers: if switch.on { *share } else { 0.0 },
            ..StoreFaults::default()
        }),
        FaultKind::EntryKilled { place } => {
            entry_killed(fleet, callers, *place, switch.on).await;
        }
        FaultKind::RollingRestart if switch.on => rolling_restart(fleet, callers).await,
        FaultKind::RollingRestart => {}
        FaultKind::HallLost { hall } => hall_lost(fleet, callers, hall, switch.on).await,
        of_targets => set_target_faults(fleet, of_targets, switch.on),
    }
}

/// Faults of targets by the beginning of their names.
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
            faults.leaving = true;
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

async fn entry_killed(fleet: &mut LocalFleet, callers: &Callers, place: usize, on: bool) {
    if on {
        if let Some(entry) = fleet.take_entry(place) {
            let address = entry.callers;
            entry.kill().await;
            balancer_notices(callers, address);
        }
    } else {
        add_entry(fleet, callers).await;
    }
}

async fn add_entry(fleet: &mut LocalFleet, callers: &Callers) {
    if let Ok(place) = fleet.start_entry().await {
        fleet.wait_for_members().await;
        callers.add_entry(fleet.entry(place).callers);
    }
}

/// The balancer drops an entry after its lag; tickets go with it.
fn balancer_notices(callers: &Callers, address: std::net::SocketAddr) {
    let callers = callers.clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(BALANCER_LAG).await;
        callers.drop_entry(address);
    });
}

async fn rolling_restart(fleet: &mut LocalFleet, callers: &Callers) {
    for place in 0..fleet.entries.len() {
        add_entry(fleet, callers).await;
        if let Some(entry) = fleet.take_entry(place) {
            balancer_notices(callers, entry.callers);
            entry.stop().await;
        }
    }
}

async fn hall_lost(fleet: &mut LocalFleet, callers: &Callers, hall: &str, on: bool) {
    let hang = TargetFaults {
        hang: on,
        ..TargetFaults::default()
    };
    let Some(key) = fleet.deployment.find_hall(hall) else {
        return;
    };
    for target in fleet.deployment.targets.iter().filter(|t| t.hall == key) {
        fleet.targets.set_faults(&target.name, hang.clone());
    }
    let places: Vec<usize> = (0..fleet.entries.len())
        .filter(|&place| {
            fleet.entries[place]
                .as_ref()
                .is_some_and(|entry| entry.entry.settings.hall == hall)
        })
        .collect();
    for place in places.into_iter().filter(|_| on) {
        entry_killed(fleet, callers, place, true).await;
    }
}
