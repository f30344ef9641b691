//! Finding out what a fleet's targets can serve.
//!
//! Callers in a closed loop, as many as the targets have slots, with the
//! scenario's mix: what they complete in a second is the capacity. Deadlines
//! do not bind here, since only the targets' speed is wanted.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::arrivals;
use crate::load::Callers;
use crate::run::{start_fleet, BenchError, RunPlan};
use crate::scenario::Scenario;

/// Not counted: caches and connections are cold.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Counted.
const MEASURED: Duration = Duration::from_millis(4000);
/// Callers for each slot of the scenario's engines.
const CALLERS_PER_SLOT: f64 = 1.0;
/// Rate of the plan that callers draw from; only its order matters.
const DRAW_RATE: f64 = 5000.0;

/// Requests a second that complete when the fleet is kept full.
pub async fn find(scenario: &Scenario, plan: &RunPlan) -> Result<f64, BenchError> {
    let fleet = start_fleet(scenario, plan).await?;
    let deployment = Rc::new(fleet.deployment.clone());
    let callers = Callers::new(deployment.clone(), fleet.callers());
    let slots: u32 = deployment
        .services
        .iter()
        .filter(|service| service.kind == hollowsail_config::ServiceKind::Engine)
        .map(|service| service.concurrency * service.targets.len() as u32)
        .sum();
    let quiet = Scenario {
        faults: Vec::new(),
        duplicates: 0.0,
        ..scenario.clone()
    };
    let planned = arrivals::plan(&quiet, &deployment, DRAW_RATE, 60.0, plan.seed);
    let next = Rc::new(Cell::new(0));
    let begun = Instant::now();
    let end = begun + WARM_UP + MEASURED;
    let completed = Rc::new(Cell::new(0u32));
    let count = (f64::from(slots) * CALLERS_PER_SLOT) as usize;
    let planned = Rc::new(planned);
    let loops = (0..count).map(|_| {
        let (callers, planned) = (callers.clone(), planned.clone());
        let (next, completed) = (next.clone(), completed.clone());
        actix_rt::spawn(async move {
            while Instant::now() < end {
                let at = next.get();
                next.set(at + 1);
                callers
                    .send(planned[at % planned.len()].clone(), Instant::now())
                    .await;
                let now = Instant::now();
                if now > begun + WARM_UP && now < end {
                    completed.set(completed.get() + 1);
                }
            }
        })
    });
    futures_util::future::join_all(loops).await;
    fleet.shut_down().await;
    Ok(f64::from(completed.get()) / MEASURED.as_secs_f64())
}
