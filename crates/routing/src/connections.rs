//! Decisions on connections to services whose targets accept few of them.
//!
//! A target accepts a number of connections from all entries together and resets what comes
//! beyond. [`share`] is the part of one entry, [`DialPacing`] decides when an entry may open the
//! next connection to a target, and [`expected_wait`] estimates how long a request waits for one.

use crate::Millis;

/// A service with fewer connections per entry is scarce. Above that, each entry has a connection
/// for as many concurrent requests as it usually has at one target.
const PLENTY_PER_ENTRY: u64 = 4;
/// Part of a target's connections that the entries use together. The rest is for health checks,
/// and for entries that don't know each other yet.
const USABLE_PART: f64 = 0.9;
/// Backoff after the first reset, in milliseconds.
const MIN_BACKOFF_MS: Millis = 50;
/// Longest backoff, in milliseconds. A target frees the connections of killed entries within
/// seconds.
const MAX_BACKOFF_MS: Millis = 1_000;
/// Smallest part of a backoff that jitter leaves, so that entries don't dial at the same time.
const MIN_JITTER: f64 = 0.5;
/// Shortest observation of a new connection, in milliseconds: a target over its limit resets a
/// connection within a millisecond of accepting it.
const MIN_OBSERVATION_MS: f64 = 5.0;
/// Longest observation of a new connection, in milliseconds, for peers far away.
const MAX_OBSERVATION_MS: f64 = 50.0;
/// Duration of an observation in round trips: the reset is sent after the peer's part of the
/// handshake and may be delayed as much as that.
const OBSERVED_ROUND_TRIPS: f64 = 2.0;

/// True when the connections of a service have to be shared among the live entries. A maximum of
/// 0 states none: a target that accepts nothing could not be listed.
pub fn is_scarce(max_connections: u32, live_entries: usize) -> bool {
    max_connections > 0 && u64::from(max_connections) < PLENTY_PER_ENTRY * live_entries as u64
}

/// Number of connections that one entry may open to a target; at least one.
pub fn share(max_connections: u32, live_entries: usize) -> u32 {
    let usable = f64::from(max_connections) * USABLE_PART;
    ((usable / live_entries.max(1) as f64) as u32).max(1)
}

/// Expected wait in milliseconds for one of `share` connections that each request holds for
/// `hold_ms`, behind `ahead` waiting requests.
pub fn expected_wait(ahead: usize, share: u32, hold_ms: f64) -> f64 {
    (ahead + 1) as f64 * hold_ms / f64::from(share.max(1))
}

/// Expected wait in milliseconds of a request that takes the first connection from several lines
/// with these expected waits. The requests ahead are in all the lines as well, so the rates at
/// which connections become free add up. 0 without lines.
pub fn first_of_waits(waits: impl Iterator<Item = f64>) -> f64 {
    let rate: f64 = waits.map(f64::recip).sum();
    if rate > 0.0 {
        rate.recip()
    } else {
        0.0
    }
}

/// Paces the connections that an entry opens to one target: one at a time, with a backoff after a
/// connection that was reset before its first answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DialPacing {
    /// Number of dials in progress; more than one only if they began without pacing.
    dialling: u32,
    /// Resets since the last answer on a new connection.
    resets: u32,
    /// End of the backoff.
    not_before: Millis,
}

impl DialPacing {
    /// True when a connection may be opened now.
    pub fn may_dial(&self, now: Millis) -> bool {
        self.dialling == 0 && now >= self.not_before
    }

    /// Remaining backoff in milliseconds; 0 when there is none.
    pub fn backoff_left(&self, now: Millis) -> Millis {
        self.not_before.saturating_sub(now)
    }

    /// Number of connections that are being opened.
    pub fn dialling(&self) -> u32 {
        self.dialling
    }

    /// How long a new connection is observed before a request is sent on it, in milliseconds.
    /// `round_trip_ms` is the time that the connect took. Doubles with each reset in a row, since
    /// a busy host resets late.
    pub fn observation_ms(&self, round_trip_ms: f64) -> f64 {
        let shortest = (round_trip_ms * OBSERVED_ROUND_TRIPS).max(MIN_OBSERVATION_MS);
        (shortest * f64::from(self.resets).exp2()).min(MAX_OBSERVATION_MS)
    }

    /// Records that a connection is being opened.
    pub fn started(&mut self) {
        self.dialling += 1;
    }

    /// Records that a dial ended, with or without a connection.
    pub fn ended(&mut self) {
        self.dialling = self.dialling.saturating_sub(1);
    }

    /// Records the first answer on a new connection, which ends the series of resets.
    pub fn answered(&mut self) {
        self.resets = 0;
    }

    /// Records a connection that failed before its first answer, and starts a backoff with the
    /// random number `jitter` from 0 to 1. Returns the backoff in milliseconds.
    pub fn failed(&mut self, now: Millis, jitter: f64) -> Millis {
        let doublings = self.resets.min(MAX_BACKOFF_MS.ilog2());
        self.resets = self.resets.saturating_add(1);
        let longest = (MIN_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS) as f64;
        let part = MIN_JITTER + (1.0 - MIN_JITTER) * jitter.clamp(0.0, 1.0);
        // Rounded up, so that a backoff is never 0.
        let backoff = (longest * part).ceil() as Millis;
        self.not_before = self.not_before.max(now + backoff);
        backoff
    }
}
