//! Finding out what a fleet's targets can serve.
//!
//! Callers in a closed loop, as many as the targets have slots, with the
//! scenario's mix: what they complete in a second is the capacity. Deadlines
//! do not bind here, since only the targets' speed is wanted.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_config::ServiceKind;

use crate::arrivals::{self, Arrival};
use crate::load::{on_thread, Callers, ThreadCallers};
use crate::run::{start_fleet, BenchError, RunPlan};
use crate::scenario::Scenario;

/// Not counted: caches and connections are cold.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Counted.
const MEASURED: Duration = Duration::from_millis(4000);
/// Callers for each slot of the scenario's engines.
const CALLERS_PER_SLOT: f64 = 1.0;
/// Threads that callers run on.
const THREADS: usize = 4;
/// Rate of the plan that callers draw from; only its order matters.
const DRAW_RATE: f64 = 5000.0;

/// Requests a second that complete when the fleet is kept full.
pub async fn find(scenario: &Scenario, plan: &RunPlan) -> Result<f64, BenchError> {
    let fleet = start_fleet(scenario, plan).await?;
    let deployment = fleet.deployment.clone();
    let callers = Callers::new(deployment.clone(), fleet.callers());
    let slots: u32 = deployment
        .services
        .iter()
        .filter(|service| service.kind == ServiceKind::Engine)
        .map(|service| service.concurrency * service.targets.len() as u32)
        .sum();
    let quiet = Scenario {
        faults: Vec::new(),
        duplicates: 0.0,
        ..scenario.clone()
    };
    let planned = arrivals::plan(&quiet, &deployment, DRAW_RATE, 60.0, plan.seed);
    let count = (f64::from(slots) * CALLERS_PER_SLOT) as usize;
    let keep_full = KeepFull {
        planned,
        next: AtomicUsize::new(0),
        completed: AtomicUsize::new(0),
        begun: Instant::now(),
    };
    let keep_full = Arc::new(keep_full);
    let threads = (0..THREADS).map(|_| {
        let (callers, keep_full) = (callers.clone(), keep_full.clone());
        on_thread(move || {
            let callers = callers.on_this_thread();
            async move {
                join_all((0..count / THREADS).map(|_| keep_full.call(&callers))).await;
            }
        })
    });
    join_all(threads).await;
    let completed = keep_full.completed.load(Ordering::Relaxed);
    fleet.shut_down().await;
    Ok(completed as f64 / MEASURED.as_secs_f64())
}

/// What closed-loop callers share.
struct KeepFull {
    planned: Vec<Arrival>,
    next: AtomicUsize,
    completed: AtomicUsize,
    begun: Instant,
}

impl KeepFull {
    /// One caller: a request as soon as the one before has ended.
    async fn call(&self, callers: &ThreadCallers) {
        let counted_from = self.begun + WARM_UP;
        let end = counted_from + MEASURED;
        while Instant::now() < end {
            let at = self.next.fetch_add(1, Ordering::Relaxed) % self.planned.len();
            callers.send(self.planned[at].clone(), Instant::now()).await;
            let now = Instant::now();
            if now > counted_from && now < end {
                self.completed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
