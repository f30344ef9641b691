//! A monotonic clock that includes the time for which the host is suspended.
//!
//! [`Instant`] and timers stop during a suspension, but deadlines of callers, targets and
//! other hosts don't. A [`Moment`] includes that time, from the kernel's boot clock.
//! [`Moment::timer`] converts it for timers. A timer that was set before a suspension fires
//! late by its length, so the code behind it checks the deadline again.

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
    let suspended = suspended + pretended::time();
    suspended
}

/// Suspensions simulated by tests, for the whole process.
#[cfg(feature = "pretend")]
pub mod pretended {
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
pub struct Moment {
    monotonic: Instant,
    /// Total suspension of the host up to then.
    suspended: Duration,
}

impl Moment {
    pub fn now() -> Self {
        Moment::new(Instant::now(), suspended())
    }

    /// Creates an instant from a monotonic one and the total suspension up to then.
    pub fn new(monotonic: Instant, suspended: Duration) -> Self {
        Moment {
            monotonic,
            suspended,
        }
    }

    pub fn elapsed(&self) -> Duration {
        Moment::now().saturating_since(*self)
    }

    /// Time from `earlier` to this instant; zero when `earlier` is later.
    pub fn saturating_since(&self, earlier: Moment) -> Duration {
        match self.monotonic.checked_duration_since(earlier.monotonic) {
            Some(monotonic) => (monotonic + self.suspended).saturating_sub(earlier.suspended),
            None => {
                let monotonic = earlier.monotonic.saturating_duration_since(self.monotonic);
                self.suspended.saturating_sub(earlier.suspended + monotonic)
            }
        }
    }

    /// The [`Instant`] for a timer that is set now, without further suspensions.
    pub fn timer(&self) -> Instant {
        let now = Moment::now();
        now.monotonic + self.saturating_since(now)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, time: Duration) -> Moment {
        Moment::new(self.monotonic + time, self.suspended)
    }
}

impl Sub<Moment> for Moment {
    type Output = Duration;

    fn sub(self, earlier: Moment) -> Duration {
        self.saturating_since(earlier)
    }
}

impl PartialEq for Moment {
    fn eq(&self, other: &Moment) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Moment {}

impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Moment) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Moment {
    fn cmp(&self, other: &Moment) -> Ordering {
        let ahead = self.saturating_since(*other);
        ahead.cmp(&other.saturating_since(*self))
    }
}
