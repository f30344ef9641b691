//! Time that goes on while the host is suspended.
//!
//! The steady clock ([`Instant`]) stands still while a host is suspended, and so do
//! timers. Callers, targets and other hosts wait on: a deadline that was two seconds away
//! is long over when the host wakes after ten. A [`Moment`] counts that time, too. It is
//! read from the kernel's boot clock, which steps no more than the steady one does.
//!
//! Timers want an [`Instant`]: [`Moment::timer`]. One that was set before a suspension
//! fires as much later, so what it guards looks at a moment again when it goes on.

use std::cmp::Ordering;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// How much the clocks may differ by themselves: they are read one after the other.
const JITTER: Duration = Duration::from_millis(5);

/// How long this host has been suspended since it was booted.
pub fn suspended() -> Duration {
    let steady = read(ClockId::Monotonic);
    let boot = read(ClockId::Boottime);
    let suspended = suspension(steady, boot);
    #[cfg(feature = "pretend")]
    let suspended = suspended + pretended::time();
    suspended
}

/// Suspensions that a test pretends, for the whole process.
#[cfg(feature = "pretend")]
pub mod pretended {
    use std::sync::atomic::{AtomicU64, Ordering};
    use std::time::Duration;

    static MILLIS: AtomicU64 = AtomicU64::new(0);

    /// The host was suspended for so long just now.
    pub fn suspend(time: Duration) {
        MILLIS.fetch_add(time.as_millis() as u64, Ordering::SeqCst);
    }

    pub(super) fn time() -> Duration {
        Duration::from_millis(MILLIS.load(Ordering::SeqCst))
    }
}

/// The time for which a host was suspended by what its two clocks say.
pub fn suspension(steady: Duration, boot: Duration) -> Duration {
    let behind = boot.saturating_sub(steady);
    match behind < JITTER {
        true => Duration::ZERO,
        false => behind,
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// A moment on a clock that goes on while the host is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    steady: Instant,
    /// How long the host had been suspended by then.
    suspended: Duration,
}

impl Moment {
    /// The present one.
    pub fn now() -> Self {
        Moment::at(Instant::now(), suspended())
    }

    /// The one at which the steady clock stood at `steady` on a host that had been
    /// suspended for so long.
    pub fn at(steady: Instant, suspended: Duration) -> Self {
        Moment { steady, suspended }
    }

    /// Time since then.
    pub fn elapsed(&self) -> Duration {
        Moment::now().saturating_since(*self)
    }

    /// Time from an earlier moment to this one; zero when that is later.
    pub fn saturating_since(&self, earlier: Moment) -> Duration {
        match self.steady.checked_duration_since(earlier.steady) {
            Some(steady) => (steady + self.suspended).saturating_sub(earlier.suspended),
            None => {
                let steady = earlier.steady.saturating_duration_since(self.steady);
                self.suspended.saturating_sub(earlier.suspended + steady)
            }
        }
    }

    /// When a timer has to fire that is set now for this moment.
    pub fn timer(&self) -> Instant {
        let now = Moment::now();
        now.steady + self.saturating_since(now)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, time: Duration) -> Moment {
        Moment::at(self.steady + time, self.suspended)
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
