//! Bounds the requests at an engine that must not refuse any.
//!
//! An engine under strain reports how many requests it can refuse in a second before it fails. It
//! gets no more requests than it runs at once, so that none waits there. One that refuses a request
//! all the same has less room than that: it rests, and then its room grows again.

use crate::limit::LimitShare;
use crate::Millis;

/// How long an engine gets nothing after it refused a request, in milliseconds.
const REST_MS: Millis = 1_000;
/// Time in which the room that a refusal showed grows by one request, in milliseconds.
const ROOM_GROWTH_MS: Millis = 250;
/// Assumed duration of a run before any is known, in milliseconds.
const INITIAL_RUN_MS: f64 = 100.0;
/// Weight of a new run in the moving average of their duration.
const RUN_WEIGHT: f64 = 0.1;

/// Requests at an engine, and how many it takes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Occupancy {
    max_running: Option<u32>,
    rests_until: Millis,
    /// Number of requests with which it refused another one, when it had rested.
    room_after_rest: Option<u32>,
    /// Moving average of the duration of runs.
    run_ms: f64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Occupancy {
            max_running: None,
            rests_until: 0,
            room_after_rest: None,
            run_ms: INITIAL_RUN_MS,
        }
    }
}

impl Occupancy {
    /// Sets the maximum number of requests of all entries; `None` lifts it.
    pub fn set_max_running(&mut self, max_running: Option<u32>) {
        self.max_running = max_running;
    }

    /// Earliest time of the next request; an estimate while the engine has no room.
    pub fn opens_at(&self, now: Millis, running: u32, share: LimitShare) -> Millis {
        let Some(max_running) = self.max_running else {
            return now;
        };
        let room = self.room(now, max_running);
        let by_room = match running < share.running(room) {
            true => now,
            false => now + (self.run_ms / f64::from(running.max(1))).ceil().max(1.0) as Millis,
        };
        by_room.max(self.rests_until)
    }

    /// Number of requests that it can be expected to take.
    fn room(&self, now: Millis, max_running: u32) -> u32 {
        self.room_after_rest.map_or(max_running, |room| {
            let grown = now.saturating_sub(self.rests_until) / ROOM_GROWTH_MS;
            room.saturating_add(grown as u32).min(max_running)
        })
    }

    /// Requests per second that it completes with all its room taken; `None` without a maximum.
    pub fn rate(&self, share: LimitShare) -> Option<f64> {
        let max_running = share.running(self.max_running?);
        Some(f64::from(max_running) * 1_000.0 / self.run_ms.max(1.0))
    }

    /// Records the duration of a complete run.
    pub fn record_run(&mut self, took_ms: Millis) {
        self.run_ms += RUN_WEIGHT * (took_ms as f64 - self.run_ms);
    }

    /// Records that the engine refused one of `running` requests.
    pub fn record_refusal(&mut self, now: Millis, running: u32) {
        let room = running.saturating_sub(1).max(1);
        // Requests that were on their way then may be refused, too.
        let known = self.room_after_rest.filter(|_| now < self.rests_until);
        self.room_after_rest = Some(known.map_or(room, |known| known.min(room)));
        self.rests_until = now + REST_MS;
    }
}
