//! Detects a lagging event loop by how late its own timers fire.
//!
//! A host may slow down while its links stay up and its messages are still answered; late
//! timers are the first sign. A lagging process reports this, and isn't chosen as an owner
//! until its timers have been on time for `RECOVERY_MS`.

use crate::Millis;

/// Time from one timer to the next, in milliseconds.
pub const MEASURE_INTERVAL_MS: Millis = 50;
/// Weight of the newest timer in the average lag.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Average lag from which a process counts as lagging. Healthy processes are late by one or two
/// milliseconds, the owner of a busy queue on a slow host by dozens.
const LAGGING_MS: f64 = 16.0;
/// Cap for one timer: a single long task, as at a start, must not count as lagging.
const MAX_SAMPLE_MS: Millis = 40;
/// Average lag below which a process may recover.
const ON_TIME_MS: f64 = 4.0;
/// Time below [`ON_TIME_MS`] before a process counts as recovered. A process that has
/// handed its work over is on time at once, even on a slow host.
const RECOVERY_MS: Millis = 4_000;

/// A timer that fires this late shows that the process stood still, in milliseconds. Peers give up a message
/// that isn't answered in a little more.
const STALL_MS: Millis = 200;

/// Average timer lag of a process, and whether it counts as lagging.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventLoopLag {
    lag_ms: f64,
    is_lagging: bool,
    /// When its timers became on time.
    on_time_since: Option<Millis>,
    /// When the last timer fired, and the one before.
    fired: [Millis; 2],
    /// When the process last went on after it stood still.
    stalled_until: Option<Millis>,
}

impl EventLoopLag {
    /// Records a timer that fired `late` milliseconds late. Returns true when the process
    /// starts or stops lagging.
    pub fn record(&mut self, now: Millis, late: Millis) -> bool {
        self.fired = [now, self.fired[0]];
        if late >= STALL_MS {
            self.stalled_until = Some(now);
        }
        let late = late.min(MAX_SAMPLE_MS) as f64;
        self.lag_ms += SAMPLE_WEIGHT * (late - self.lag_ms);
        if self.lag_ms >= ON_TIME_MS {
            self.on_time_since = None;
        } else if self.on_time_since.is_none() {
            self.on_time_since = Some(now);
        }
        let was_lagging = self.is_lagging;
        self.is_lagging = match was_lagging {
            false => self.lag_ms >= LAGGING_MS,
            true => self
                .on_time_since
                .is_none_or(|since| now < since + RECOVERY_MS),
        };
        self.is_lagging != was_lagging
    }

    /// What reached the process's sockets before this time was read: the event loop has gone round
    /// since.
    pub fn all_read_until(&self) -> Millis {
        self.fired[1]
    }

    /// True if the process stood still at some time after `since`, so that it may have missed messages
    /// whose senders didn't wait for it. The first timer after it may still be due.
    pub fn has_stalled_since(&self, since: Millis, now: Millis) -> bool {
        let is_overdue = now >= self.fired[0] + MEASURE_INTERVAL_MS + STALL_MS;
        is_overdue || self.stalled_until.is_some_and(|until| until >= since)
    }

    /// True while the process is lagging.
    pub fn is_lagging(&self) -> bool {
        self.is_lagging
    }

    /// Average timer lag in milliseconds.
    pub fn lag_ms(&self) -> f64 {
        self.lag_ms
    }
}
