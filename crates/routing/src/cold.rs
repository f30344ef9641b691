//! How often a target that is cold gets a request.
//!
//! A target is cold for some seconds after a start, and may turn cold again at any time.
//! While it is, it bears so many requests a second from all entries together; at well
//! above that it falls over. The desk of its service counts for all entries; where there is
//! none, or it doesn't answer, each sender keeps to a share of that rate: shares that lie
//! idle add up to a burst. Sends are evenly spaced: spaced sends bunch up on their way only by what
//! their travel times differ, while a count for each second would let two whole counts
//! into one second of the target's.

use crate::Millis;

/// Part of the rate that the owner of a target's desk gives while it is new, and once it has
/// been the owner for a while. Two entries may take themselves for the owner for some
/// seconds: with what is sent past them they stay below the one and a half times that
/// operators allow.
pub const DESK_SHARE: f64 = 0.6;
pub const SETTLED_DESK_SHARE: f64 = 0.75;
/// Part of the rate that all entries together send past a desk that doesn't answer them.
pub const PAST_DESK_SHARE: f64 = 0.1;
/// Part of the rate that all entries together send to targets without a desk.
pub const WITHOUT_DESK_SHARE: f64 = 0.8;

/// A target's cold spell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// The target is warm from this moment on.
    pub until: Millis,
    /// Requests a second that it bears meanwhile, from all entries together.
    pub per_s: f64,
}

impl Cold {
    /// Time between two sends of a sender that keeps to a share of the rate.
    fn spacing_ms(&self, share: f64) -> f64 {
        (1_000.0 / (self.per_s * share).max(f64::MIN_POSITIVE)).ceil()
    }
}

/// When a sender may give a cold target the next request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdGate {
    cold: Option<Cold>,
    opens: Millis,
}

impl ColdGate {
    /// Takes what is known of the target now; `None` when it is warm. In a spell that is
    /// new to it, a sender that keeps to a share of the rate waits for a part `phase`
    /// (0 to 1) of its spacing first, so that many small ones don't all begin at once.
    pub fn meet(&mut self, now: Millis, cold: Option<Cold>, share: f64, phase: f64) {
        if self.cold == cold {
            return;
        }
        self.cold = cold;
        if let Some(cold) = cold {
            let wait_ms = cold.spacing_ms(share) * phase;
            self.opens = self.opens.max(now.saturating_add(wait_ms as Millis));
        }
    }

    /// When the target may get a request at the earliest; `now` when it may at once.
    pub fn opens(&self, now: Millis) -> Millis {
        match self.cold {
            Some(cold) if now < cold.until => self.opens.clamp(now, cold.until),
            _ => now,
        }
    }

    /// True when the target may get a request now.
    pub fn is_open(&self, now: Millis) -> bool {
        self.opens(now) == now
    }

    /// The target gets a request of a sender that keeps to a share of its rate.
    pub fn sent(&mut self, now: Millis, share: f64) {
        let Some(cold) = self.cold.filter(|cold| now < cold.until) else {
            return;
        };
        self.opens = now.saturating_add(cold.spacing_ms(share) as Millis);
    }
}
