//! What one target holds, counts and reports.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hollowsail_config::ServiceKind;
use tokio::sync::Semaphore;

use crate::engine::PrefixCache;
use crate::faults::TargetFaults;
use crate::profile::Profile;
use crate::record::ExecutionLog;

/// How old a reported load may be.
const LOAD_LAG: Duration = Duration::from_millis(300);

/// One target's state.
pub(crate) struct TargetState {
    pub(crate) name: String,
    pub(crate) hall: String,
    pub(crate) kind: ServiceKind,
    pub(crate) reports_load: bool,
    pub(crate) concurrency: u32,
    pub(crate) slots: Arc<Semaphore>,
    pub(crate) held: Arc<AtomicU32>,
    pub(crate) running: Arc<AtomicU32>,
    pub(crate) cache: Mutex<PrefixCache>,
    pub(crate) faults: Mutex<TargetFaults>,
    pub(crate) load: Mutex<LaggingLoad>,
    /// Slot-time of the whole service in microseconds.
    pub(crate) busy: Arc<AtomicU64>,
    pub(crate) profile: Profile,
    pub(crate) log: ExecutionLog,
}

/// A load as it was some time ago.
#[derive(Default)]
pub(crate) struct LaggingLoad {
    seen: Option<(Instant, u32)>,
}

impl LaggingLoad {
    fn read(&mut self, now: u32) -> u32 {
        match self.seen {
            Some((at, load)) if at.elapsed() < LOAD_LAG => load,
            _ => {
                self.seen = Some((Instant::now(), now));
                now
            }
        }
    }
}

impl TargetState {
    /// What the target says of its load: late, or frozen by a fault.
    pub(crate) fn reported_load(&self, faults: &TargetFaults) -> u32 {
        let now = self.held.load(Ordering::Relaxed);
        let lagging = self.load.lock().expect("no panic while held").read(now);
        faults.frozen_load.unwrap_or(lagging)
    }

    pub(crate) fn faults(&self) -> TargetFaults {
        self.faults.lock().expect("no panic while held").clone()
    }
}

/// Adds the time it lives to a service's busy time.
pub(crate) struct Busy {
    pub(crate) since: Instant,
    /// Slot-time of the service in microseconds.
    pub(crate) total: Arc<AtomicU64>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        let micros = self.since.elapsed().as_micros() as u64;
        self.total.fetch_add(micros, Ordering::Relaxed);
    }
}

/// Counts a call for as long as it lives.
pub(crate) struct Counted(pub(crate) Arc<AtomicU32>);

impl Counted {
    pub(crate) fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Counted(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
