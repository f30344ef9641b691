//! How often a target that names a limit gets a request.
//!
//! A target in need names how many requests a second it takes from all entries together.
//! Nobody counts for all of them, so one owner sends, or says who may: of a desk, of a
//! queue. Which entry that is, entries may see differently for some seconds after one comes,
//! goes or falls silent. So an owner takes nearly the whole rate only once it has been the
//! owner for a while, and half before: with the owner of before, that still takes itself
//! for the owner, it stays below the one and a half times that operators allow.
//!
//! The load that this answers: callers want more than a target takes, in bursts, while its
//! limit is new, lowered or over, and while owners change.

use crate::cold;
use crate::Millis;

/// Share of an owner that has been one for [`SETTLED_AFTER_MS`]: the rest makes up for
/// requests that bunch up on their way.
const SETTLED_SHARE: f64 = 0.95;
/// Share of an owner that is new.
const NEW_SHARE: f64 = 0.5;
/// Share of an entry that knows of no others, as where the store is away at its start: they
/// may all take themselves for the owner.
const UNLISTED_SHARE: f64 = 0.1;
/// Requests that a settled owner lets through at once after a lull.
const SETTLED_BURST: f64 = 2.0;
/// The same for any other.
const NEW_BURST: f64 = 1.0;
/// How long an owner is new, in milliseconds: entries agree on owners again long before,
/// but for one that is suspected as often as can be, which lasts this long and a hop.
pub const SETTLED_AFTER_MS: Millis = 6_500;
/// Rate below which no limit is kept to, in requests a second: without any request the
/// end of a limit would show to nobody.
const LEAST_PER_S: f64 = 0.2;

/// How much of what a target takes from all entries together one sender uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitShare {
    /// Part of the rate that the target names.
    of_rate: f64,
    /// Requests let through at once after a lull.
    burst: f64,
    /// Part of the rate that the target bears while it is cold.
    cold_share: f64,
}

impl LimitShare {
    /// That of a sender that has owned the target's desk or queue for a time.
    pub fn owned_for(owned_ms: Millis) -> Self {
        match owned_ms >= SETTLED_AFTER_MS {
            true => LimitShare {
                of_rate: SETTLED_SHARE,
                burst: SETTLED_BURST,
                cold_share: cold::SETTLED_DESK_SHARE,
            },
            false => LimitShare {
                of_rate: NEW_SHARE,
                burst: NEW_BURST,
                cold_share: cold::DESK_SHARE,
            },
        }
    }

    /// That of an entry that doesn't know the others.
    pub fn unlisted() -> Self {
        LimitShare {
            of_rate: UNLISTED_SHARE,
            burst: NEW_BURST,
            cold_share: UNLISTED_SHARE,
        }
    }

    /// The part that it uses of what a cold target bears.
    pub fn cold_share(&self) -> f64 {
        self.cold_share
    }

    /// Requests a second that the sender may make of a limit.
    pub fn rate(&self, per_s: f64) -> f64 {
        per_s.max(LEAST_PER_S) * self.of_rate
    }
}

impl Default for LimitShare {
    /// That of a new owner.
    fn default() -> Self {
        LimitShare::owned_for(0)
    }
}

/// When a sender may give a target the next request: a token bucket, kept as the moment at
/// which it is full again.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitGate {
    /// In milliseconds.
    full_at: f64,
}

impl LimitGate {
    /// When the target may get a request at the earliest; `now` when it may at once, as
    /// one without a limit always may.
    pub fn opens(&self, now: Millis, limit: Option<f64>, share: LimitShare) -> Millis {
        let Some(per_s) = limit else { return now };
        let spacing = spacing_ms(per_s, share);
        let waits = self.missing_ms(now, spacing, share) - (share.burst - 1.0) * spacing;
        now + waits.max(0.0).ceil() as Millis
    }

    /// The target gets a request.
    pub fn sent(&mut self, now: Millis, limit: Option<f64>, share: LimitShare) {
        let Some(per_s) = limit else { return };
        let spacing = spacing_ms(per_s, share);
        self.full_at = now as f64 + self.missing_ms(now, spacing, share) + spacing;
    }

    /// Time until the bucket is full. What was taken at a lower rate counts as one burst at
    /// the rate of now at most: a limit that rises is used at once.
    fn missing_ms(&self, now: Millis, spacing: f64, share: LimitShare) -> f64 {
        let missing = (self.full_at - now as f64).max(0.0);
        missing.min(share.burst * spacing)
    }
}

/// Time between two requests of a sender.
fn spacing_ms(per_s: f64, share: LimitShare) -> f64 {
    1_000.0 / share.rate(per_s)
}
