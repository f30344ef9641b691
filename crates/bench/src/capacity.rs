//! Measures the capacity of a fleet's targets, in requests per second.
//!
//! Closed-loop callers, one per engine slot, send requests of the scenario's mix; the rate at
//! which these complete is the capacity, whether or not they meet their deadlines.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_config::ServiceKind;

use crate::arrivals::{self, Arrival};
use crate::load::{on_thread, Callers, ThreadCallers};
use crate::run::{start_fleet, BenchError, RunPlan};
use crate::scenario::Scenario;

/// Time at the start that is not measured, until caches and connections are warm.
const WARM_UP: Duration = Duration::from_millis(1500);
const MEASURED: Duration = Duration::from_millis(4000);
/// Callers per engine slot.
const CALLERS_PER_SLOT: f64 = 1.0;
/// Threads that callers run on.
const THREADS: usize = 4;
/// Rate of the arrival plan in requests per second; callers use only its order.
const DRAW_RATE: f64 = 5000.0;

/// Measures the requests per second that a fully loaded fleet completes.
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
    let without_faults = Scenario {
        faults: Vec::new(),
        duplicates: 0.0,
        ..scenario.clone()
    };
    let planned = arrivals::plan(&without_faults, &deployment, DRAW_RATE, 60.0, plan.seed);
    let count = (f64::from(slots) * CALLERS_PER_SLOT) as usize;
    let closed_loop = ClosedLoop {
        planned,
        next: AtomicUsize::new(0),
        completed: AtomicUsize::new(0),
        started: Instant::now(),
    };
    let closed_loop = Arc::new(closed_loop);
    let threads = (0..THREADS).map(|_| {
        let (callers, closed_loop) = (callers.clone(), closed_loop.clone());
        on_thread(move || {
            let callers = callers.on_this_thread();
            async move {
                join_all((0..count / THREADS).map(|_| closed_loop.run_caller(&callers))).await;
            }
        })
    });
    join_all(threads).await;
    let completed = closed_loop.completed.load(Ordering::Relaxed);
    fleet.shut_down().await;
    Ok(completed as f64 / MEASURED.as_secs_f64())
}

/// State shared by the closed-loop callers.
struct ClosedLoop {
    planned: Vec<Arrival>,
    next: AtomicUsize,
    completed: AtomicUsize,
    started: Instant,
}

impl ClosedLoop {
    /// Runs one caller, which sends a request as soon as the previous one has ended.
    async fn run_caller(&self, callers: &ThreadCallers) {
        let measured_from = self.started + WARM_UP;
        let end = measured_from + MEASURED;
        while Instant::now() < end {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % self.planned.len();
            callers
                .send(self.planned[index].clone(), Instant::now())
                .await;
            let now = Instant::now();
            if now > measured_from && now < end {
                self.completed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
