//! Paces requests to targets that report a limit.
//!
//! A target under load reports how many requests per second it accepts from all entries
//! together. One owner (of a scheduler or a queue) sends all of them, or grants them to
//! others. Entries may disagree about the owner for some seconds after a membership
//! change, so a recent owner uses half the rate and a settled one nearly all of it:
//! together they stay below 1.5 times the limit, which operators allow.

use crate::warm_up;
use crate::Millis;

/// Share of an owner since at least [`SETTLED_AFTER_MS`]. The rest allows for requests that
/// bunch up on their way.
const SETTLED_SHARE: f64 = 0.95;
/// Share of a recent owner.
const RECENT_SHARE: f64 = 0.5;
/// Share of an entry without a member list, as when the store is unreachable at its start:
/// all such entries may assume ownership.
const UNLISTED_SHARE: f64 = 0.1;
/// Burst of a settled owner, in requests.
const SETTLED_BURST: f64 = 2.0;
/// Burst of any other sender, in requests.
const RECENT_BURST: f64 = 1.0;
/// Ownership age from which an owner is settled. Entries agree on owners much sooner; only
/// repeated suspicions of one entry take this long to resolve.
pub const SETTLED_AFTER_MS: Millis = 6_500;
/// Lowest rate sent to a target, in requests per second: without any requests, the end of
/// its limit would not be noticed.
const MIN_PER_S: f64 = 0.2;

/// One sender's share of the rate that a target accepts from all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Share of the reported limit.
    rate_share: f64,
    /// Requests that may be sent at once after an idle time.
    burst: f64,
    /// Share of the target's rate during warm-up.
    warm_up_share: f64,
    /// Share of the requests that may run at the target at once.
    running_share: f64,
}

impl LimitShare {
    /// Share of an owner of the target's scheduler or queue since `owned_ms`.
    pub fn owned_for(owned_ms: Millis) -> Self {
        match owned_ms >= SETTLED_AFTER_MS {
            true => LimitShare {
                rate_share: SETTLED_SHARE,
                burst: SETTLED_BURST,
                warm_up_share: warm_up::SETTLED_SCHEDULER_SHARE,
                running_share: 1.0,
            },
            false => LimitShare {
                rate_share: RECENT_SHARE,
                burst: RECENT_BURST,
                warm_up_share: warm_up::SCHEDULER_SHARE,
                running_share: RECENT_SHARE,
            },
        }
    }

    /// Share of an entry without a member list.
    pub fn unlisted() -> Self {
        LimitShare {
            rate_share: UNLISTED_SHARE,
            burst: RECENT_BURST,
            warm_up_share: UNLISTED_SHARE,
            running_share: UNLISTED_SHARE,
        }
    }

    /// Share of the rate of a target that is warming up.
    pub fn warm_up_share(&self) -> f64 {
        self.warm_up_share
    }

    /// The sender's part of `max_running` requests at a target, at least one. Requests that a
    /// previous owner sent may still run there.
    pub fn running(&self, max_running: u32) -> u32 {
        ((f64::from(max_running) * self.running_share) as u32).max(1)
    }

    /// The sender's rate under a limit of `per_s`, in requests per second.
    pub fn rate(&self, per_s: f64) -> f64 {
        per_s.max(MIN_PER_S) * self.rate_share
    }
}

impl Default for LimitShare {
    /// Share of a recent owner.
    fn default() -> Self {
        LimitShare::owned_for(0)
    }
}

/// Token bucket for the requests of one sender to one target, stored as the time at which it
/// is full again.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitGate {
    full_at_ms: f64,
}

impl LimitGate {
    /// Earliest time of the next request: `now` if the gate is open, as always without a
    /// limit.
    pub fn opens_at(&self, now: Millis, limit: Option<f64>, share: LimitShare) -> Millis {
        let Some(per_s) = limit else { return now };
        let spacing = spacing_ms(per_s, share);
        let wait_ms = self.missing_ms(now, spacing, share) - (share.burst - 1.0) * spacing;
        now + wait_ms.max(0.0).ceil() as Millis
    }

    /// Records a request sent to the target.
    pub fn record_sent(&mut self, now: Millis, limit: Option<f64>, share: LimitShare) {
        let Some(per_s) = limit else { return };
        let spacing = spacing_ms(per_s, share);
        self.full_at_ms = now as f64 + self.missing_ms(now, spacing, share) + spacing;
    }

    /// Time until the bucket is full, in milliseconds. Capped at one burst of the current
    /// rate, so that a raised limit takes effect at once.
    fn missing_ms(&self, now: Millis, spacing: f64, share: LimitShare) -> f64 {
        let missing = (self.full_at_ms - now as f64).max(0.0);
        missing.min(share.burst * spacing)
    }
}

/// Interval between two requests of a sender, in milliseconds.
fn spacing_ms(per_s: f64, share: LimitShare) -> f64 {
    1_000.0 / share.rate(per_s)
}
