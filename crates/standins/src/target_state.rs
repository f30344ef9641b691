//! State, counters and load report of one target.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollowsail_config::ServiceKind;
use tokio::sync::Semaphore;

use crate::engine::PrefixCache;
use crate::execution_log::ExecutionLog;
use crate::faults::TargetFaults;
use crate::profile::Profile;

/// Maximum age of a reported load.
const LOAD_LAG: Duration = Duration::from_millis(300);

pub(crate) struct TargetState {
    pub(crate) name: String,
    pub(crate) hall: String,
    pub(crate) kind: ServiceKind,
    pub(crate) reports_load: bool,
    pub(crate) concurrency: u32,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) running: Arc<AtomicU32>,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) faults: Mutex<TargetFaults>,
    pub(crate) load: Mutex<LaggingLoad>,
    /// Slot time of the whole service in microseconds.
    pub(crate) slot_time_us: Arc<AtomicU64>,
    pub(crate) profile: Profile,
    pub(crate) log: ExecutionLog,
}

/// A load sample that is refreshed every [`LOAD_LAG`].
#[derive(Default)]
pub(crate) struct LaggingLoad {
    sample: Option<(Instant, u32)>,
}

impl LaggingLoad {
    fn sample_or_refresh(&mut self, now: u32) -> u32 {
        match self.sample {
            Some((sampled_at, load)) if sampled_at.elapsed() < LOAD_LAG => load,
            _ => {
                self.sample = Some((Instant::now(), now));
                now
            }
        }
    }
}

impl TargetState {
    /// Load that the target reports: a lagging sample, or a fixed value set by a fault.
    pub(crate) fn reported_load(&self, faults: &TargetFaults) -> u32 {
        let now = self.in_flight.load(Ordering::Relaxed);
        let lagging = self
            .load
            .lock()
            .expect("no panic while held")
            .sample_or_refresh(now);
        faults.frozen_load.unwrap_or(lagging)
    }

    pub(crate) fn faults(&self) -> TargetFaults {
        self.faults.lock().expect("no panic while held").clone()
    }
}

/// Adds its lifetime to the slot time of a service.
pub(crate) struct BusyTimer {
    pub(crate) started: Instant,
    /// Slot time of the service in microseconds.
    pub(crate) slot_time_us: Arc<AtomicU64>,
}

impl Drop for BusyTimer {
    fn drop(&mut self) {
        let micros = self.started.elapsed().as_micros() as u64;
        self.slot_time_us.fetch_add(micros, Ordering::Relaxed);
    }
}

/// Counts a call until it is dropped.
pub(crate) struct CountGuard(pub(crate) Arc<AtomicU32>);

impl CountGuard {
    pub(crate) fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        CountGuard(counter.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
