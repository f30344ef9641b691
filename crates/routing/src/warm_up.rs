//! Paces requests to targets that are warming up (slow start).
//!
//! For some seconds after a start, and possibly again later, a target accepts only a given
//! rate from all entries together and fails well above it. The scheduler of its service
//! paces for all entries; without a reachable scheduler each sender keeps to a share of
//! the rate. Requests are evenly spaced: a count per second would allow two full counts
//! within one second at the target.

use crate::Millis;

/// Share of the rate granted by a recent owner of a scheduler. Two entries may both assume
/// ownership for some seconds; together with the requests that bypass the scheduler they stay
/// below 1.5 times the rate, which operators allow.
pub const SCHEDULER_SHARE: f64 = 0.6;
/// Share of the rate granted by a settled owner of a scheduler.
pub const SETTLED_SCHEDULER_SHARE: f64 = 0.75;
/// Share of the rate that all entries together send while their scheduler doesn't answer.
pub const BYPASS_SHARE: f64 = 0.1;
/// Share of the rate that all entries together send to targets without a scheduler.
pub const NO_SCHEDULER_SHARE: f64 = 0.8;

/// A target's warm-up phase.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// End of the warm-up.
    pub until: Millis,
    /// Accepted rate until then, in requests per second over all entries.
    pub per_s: f64,
}

impl WarmUp {
    /// Interval between two requests of a sender with a share of the rate.
    fn spacing_ms(&self, share: f64) -> f64 {
        (1_000.0 / (self.per_s * share).max(f64::MIN_POSITIVE)).ceil()
    }
}

/// Spaces the requests of one sender to a target that is warming up.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmUpGate {
    warm_up: Option<WarmUp>,
    opens_at: Millis,
}

impl WarmUpGate {
    /// Sets the current warm-up; `None` if there is none. At the start of one, the sender
    /// first waits for the fraction `phase` (0 to 1) of its interval, so that many senders
    /// with small shares don't start at once.
    pub fn update(&mut self, now: Millis, warm_up: Option<WarmUp>, share: f64, phase: f64) {
        if self.warm_up == warm_up {
            return;
        }
        self.warm_up = warm_up;
        if let Some(warm_up) = warm_up {
            let wait_ms = warm_up.spacing_ms(share) * phase;
            self.opens_at = self.opens_at.max(now.saturating_add(wait_ms as Millis));
        }
    }

    /// Earliest time of the next request; `now` if the gate is open.
    pub fn opens_at(&self, now: Millis) -> Millis {
        match self.warm_up {
            Some(warm_up) if now < warm_up.until => self.opens_at.clamp(now, warm_up.until),
            _ => now,
        }
    }

    pub fn is_open(&self, now: Millis) -> bool {
        self.opens_at(now) == now
    }

    /// Records a request of a sender with a share of the rate.
    pub fn record_sent(&mut self, now: Millis, share: f64) {
        let Some(warm_up) = self.warm_up.filter(|warm_up| now < warm_up.until) else {
            return;
        };
        self.opens_at = now.saturating_add(warm_up.spacing_ms(share) as Millis);
    }
}
