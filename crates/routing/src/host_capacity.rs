//! Admission of callers' connections by what the host's link and processor can carry.
//!
//! A balancer may send most new connections to one host. What that host can't carry in time is better
//! refused before it is read, so that callers connect to others at once. [`LinkBudget`] says how much
//! of the link is left, [`CallerAdmission`] whether new connections are accepted.

use crate::Millis;

/// Share of the link's bandwidth that may be used over time. Above it, bursts of large bodies wait for
/// longer than callers do.
const USABLE_SHARE: f64 = 0.6;
/// How long the link may be fully used before the budget is spent, in milliseconds.
const BURST_MS: f64 = 250.0;
/// How long reserved bytes take to come, in milliseconds.
const RESERVATION_MS: f64 = 1_000.0;
/// Largest part of the budget that one connection reserves.
const MAX_RESERVED: f64 = 0.1;
/// Time over which use and the cost of a request are averaged, in milliseconds.
const MEMORY_MS: f64 = 5_000.0;
/// Part of the budget that has to be left for new connections to be accepted again.
const REOPEN_LEVEL: f64 = 0.2;
/// Share of the link up to which a host has room for callers of other hosts. Well below
/// [`USABLE_SHARE`], so that hosts that are all busy don't pass callers around.
const ROOM_SHARE: f64 = 0.4;
/// Event-loop lag from which a host's processor has no time for more callers, in milliseconds.
const MAX_LAG_MS: f64 = 16.0;
/// Longest time without accepting a connection, in milliseconds. A host that calls itself ready has to
/// take some.
const MAX_CLOSED_MS: Millis = 500;

/// What a link has carried since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Carried {
    /// Bytes received and sent.
    pub bytes: [u64; 2],
    /// Requests of callers.
    pub requests: u64,
}

/// A token bucket of bytes for each direction of a link.
///
/// An accepted connection reserves what a request usually costs: its bytes may queue on the link for
/// longer than it takes to accept far too many others.
#[derive(Debug, Clone, Copy)]
pub struct LinkBudget {
    directions: [DirectionBudget; 2],
    /// Requests counted lately, for the cost of one.
    requests: f64,
    carried: Carried,
    updated: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct DirectionBudget {
    /// Used part of the burst in bytes, reservations included.
    used: f64,
    /// Part of `used` for bytes that weren't carried yet.
    reserved: f64,
    /// Bytes carried lately, for the cost of a request.
    carried: f64,
}

impl LinkBudget {
    /// The whole budget of a link that has carried nothing.
    pub fn new(now: Millis) -> Self {
        LinkBudget {
            directions: [DirectionBudget::default(); 2],
            requests: 0.0,
            carried: Carried::default(),
            updated: now,
        }
    }

    /// Accounts for what a link of `mbps` megabits per second each way has carried until now.
    pub fn update(&mut self, now: Millis, mbps: f64, carried: Carried) {
        let elapsed = now.saturating_sub(self.updated) as f64;
        let remembered = (-elapsed / MEMORY_MS).exp();
        for (index, direction) in self.directions.iter_mut().enumerate() {
            let bytes = carried.bytes[index].saturating_sub(self.carried.bytes[index]) as f64;
            direction.carried = direction.carried * remembered + bytes;
            direction.update(elapsed, bytes, bytes_per_ms(mbps));
        }
        let requests = carried.requests.saturating_sub(self.carried.requests) as f64;
        self.requests = self.requests * remembered + requests;
        self.carried = carried;
        self.updated = now;
    }

    /// Reserves what the request of a new connection will use.
    pub fn reserve(&mut self, mbps: f64) {
        let burst = bytes_per_ms(mbps) * BURST_MS;
        for direction in &mut self.directions {
            let cost = direction.carried / self.requests.max(1.0);
            let cost = cost.min(burst * MAX_RESERVED);
            direction.reserved += cost;
            direction.used += cost;
        }
    }

    /// Share of the link that was used lately, in the direction that was used more.
    pub fn used_share(&self, mbps: f64) -> f64 {
        let carried = self.directions.iter().map(|direction| direction.carried);
        carried.fold(0.0, f64::max) / (bytes_per_ms(mbps) * MEMORY_MS)
    }

    /// Part of the budget that is left in the direction that has less, -1 to 1.
    pub fn left(&self, mbps: f64) -> f64 {
        let used = self.directions.iter().map(|direction| direction.used);
        1.0 - used.fold(0.0, f64::max) / (bytes_per_ms(mbps) * BURST_MS)
    }
}

impl DirectionBudget {
    fn update(&mut self, elapsed: f64, bytes: f64, bytes_per_ms: f64) {
        let claimed = bytes.min(self.reserved);
        let expired = (self.reserved - claimed) * (1.0 - (-elapsed / RESERVATION_MS).exp());
        self.reserved -= claimed + expired;
        let refilled = elapsed * bytes_per_ms * USABLE_SHARE;
        let used = self.used + bytes - claimed - expired - refilled;
        self.used = used.clamp(0.0, 2.0 * bytes_per_ms * BURST_MS);
    }
}

fn bytes_per_ms(mbps: f64) -> f64 {
    (mbps * 1e3 / 8.0).max(1.0)
}

/// What is known of a host when a connection may be accepted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostState {
    /// See [`LinkBudget::left`].
    pub budget_left: f64,
    /// See [`LinkBudget::used_share`].
    pub link_used: f64,
    /// Average event-loop lag in milliseconds.
    pub lag_ms: f64,
}

impl HostState {
    /// True if the host can't serve more callers in time.
    pub fn is_full(&self) -> bool {
        self.budget_left <= 0.0 || self.lag_ms >= MAX_LAG_MS
    }

    /// True if the host can serve callers that other hosts have no room for.
    pub fn has_room(&self) -> bool {
        !self.is_full() && self.link_used <= ROOM_SHARE && self.lag_ms < MAX_LAG_MS / 2.0
    }

    fn may_reopen(&self) -> bool {
        self.budget_left >= REOPEN_LEVEL && self.lag_ms < MAX_LAG_MS
    }
}

/// Decides whether new connections of callers are accepted.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerAdmission {
    closed_since: Option<Millis>,
    /// A connection has to be accepted before it closes again.
    owes_connection: bool,
}

impl CallerAdmission {
    /// True if connections are accepted now. A full host refuses them only while others have room:
    /// otherwise they would only come back.
    pub fn is_open(&mut self, now: Millis, host: &HostState, peers_have_room: bool) -> bool {
        match self.closed_since {
            None if host.is_full() && peers_have_room && !self.owes_connection => {
                self.closed_since = Some(now);
            }
            None => {}
            Some(since) => {
                let is_over = host.may_reopen() || now >= since + MAX_CLOSED_MS;
                if is_over || !peers_have_room {
                    self.closed_since = None;
                    self.owes_connection = true;
                }
            }
        }
        self.closed_since.is_none()
    }

    /// True while connections are refused.
    pub fn is_closed(&self) -> bool {
        self.closed_since.is_some()
    }

    /// Records a connection that was accepted.
    pub fn record_accepted(&mut self) {
        self.owes_connection = false;
    }
}
