//! A monotonic clock that includes the time for which the host is suspended.
//!
//! [`Instant`] and timers stop during a suspension, but deadlines of callers, targets and
//! other hosts don't. A [`BootInstant`] includes that time, from the kernel's boot clock.
//! [`BootInstant::to_instant`] converts it for timers. A timer that was set before a suspension fires
//! late by its length, so the code behind it checks the deadline again.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// Difference of the two clocks that isn't a suspension: they are read one after the other.
const JITTER: Duration = Duration::from_millis(5);

/// Total time for which this host has been suspended since boot.
pub fn suspended() -> Duration {
    let monotonic = read(ClockId::Monotonic);
    let boot = read(ClockId::Boottime);
    let suspended = suspension(monotonic, boot);
    #[cfg(feature = "pretend")]
    let suspended = suspended + simulated::time();
    suspended
}

/// Suspensions simulated by tests, for the whole process.
#[cfg(feature = "pretend")]
pub mod simulated {
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::time::Duration;

    static MILLIS: AtomicU64 = AtomicU64::new(0);

    /// Simulates a suspension that ends now.
    pub fn suspend(time: Duration) {
        MILLIS.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
    }

    pub(super) fn time() -> Duration {
        Duration::from_millis(MILLIS.load(Ordering::SeqCst))
    }
}

/// Total suspension of a host by its monotonic and its boot clock; zero within their jitter.
pub fn suspension(monotonic: Duration, boot: Duration) -> Duration {
    let difference = boot.saturating_sub(monotonic);
    match difference < JITTER {
        true => Duration::ZERO,
        false => difference,
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// An instant on a monotonic clock that includes suspensions of the host.
#[derive(Debug, Clone, Copy)]
pub struct BootInstant {
    monotonic: Instant,
    /// Total suspension of the host up to then.
    suspended: Duration,
}

impl BootInstant {
    pub fn now() -> Self {
        BootInstant::new(Instant::now(), suspended())
    }

    /// Creates an instant from a monotonic one and the total suspension up to then.
    pub fn new(monotonic: Instant, suspended: Duration) -> Self {
        BootInstant {
            monotonic,
            suspended,
        }
    }

    pub fn elapsed(&self) -> Duration {
        BootInstant::now().saturating_since(*self)
    }

    /// Time from `earlier` to this instant; zero when `earlier` is later.
    pub fn saturating_since(&self, earlier: BootInstant) -> Duration {
        match self.monotonic.checked_duration_since(earlier.monotonic) {
            Some(monotonic) => (monotonic + self.suspended).saturating_sub(earlier.suspended),
            None => {
                let monotonic = earlier.monotonic.saturating_duration_since(self.monotonic);
                self.suspended.saturating_sub(earlier.suspended + monotonic)
            }
        }
    }

    /// The [`Instant`] for a timer that is set now, without further suspensions.
    pub fn to_instant(&self) -> Instant {
        let now = BootInstant::now();
        now.monotonic + self.saturating_since(now)
    }
}

impl Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant::new(self.monotonic + time, self.suspended)
    }
}

impl Sub<BootInstant> for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: BootInstant) -> Duration {
        self.saturating_since(earlier)
    }
}

impl PartialEq for BootInstant {
    fn eq(&self, other: &BootInstant) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for BootInstant {}

impl PartialOrd for BootInstant {
    fn partial_cmp(&self, other: &BootInstant) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for BootInstant {
    fn cmp(&self, other: &BootInstant) -> Ordering {
        let ahead = self.saturating_since(*other);
        ahead.cmp(&other.saturating_since(*self))
    }
}
