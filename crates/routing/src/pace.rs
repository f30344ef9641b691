//! Whether this process keeps up with its work, by how late its own timers are.
//!
//! A host may turn slow while its links and its process are well: everything that it
//! owns for others then takes as much longer, though each message is still answered. It
//! notices that first itself: a timer that should have woken it in some milliseconds
//! wakes it later, since what came before it isn't done. So a process that stays late
//! says so, and is passed over as an owner until it has been in time for a while.

use crate::Millis;

/// Weight of the newest timer in the lateness.
const NEW_WEIGHT: f64 = 0.2;
/// Lateness from which on a process is slow, in milliseconds. Well processes are late by
/// one or two; the owner of a busy queue on a host that turned slow, by dozens.
const SLOW_MS: f64 = 16.0;
/// Most that one timer counts, in milliseconds: a long list that is read once, as at a
/// start, makes one timer late by far, and says nothing of the host.
const MOST_LATE_MS: Millis = 40;
/// Lateness below which it may be well again, in milliseconds.
const WELL_MS: f64 = 4.0;
/// How long it has to stay below, in milliseconds: an owner that gave its work away is in
/// time at once, whatever its host is like.
const WELL_FOR_MS: Millis = 4_000;

/// How late a process is, and whether it counts as slow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    late_ms: f64,
    is_slow: bool,
    /// Since when it has been in time.
    well_since: Option<Millis>,
}

impl Pace {
    /// A timer woke the process so many milliseconds late. True when that changes
    /// whether it is slow.
    pub fn woke(&mut self, now: Millis, late: Millis) -> bool {
        let late = late.min(MOST_LATE_MS) as f64;
        self.late_ms += NEW_WEIGHT * (late - self.late_ms);
        if self.late_ms >= WELL_MS {
            self.well_since = None;
        } else if self.well_since.is_none() {
            self.well_since = Some(now);
        }
        let was_slow = self.is_slow;
        self.is_slow = match was_slow {
            false => self.late_ms >= SLOW_MS,
            true => self
                .well_since
                .is_none_or(|since| now < since + WELL_FOR_MS),
        };
        self.is_slow != was_slow
    }

    /// True while the process is slow.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// How late timers are lately, in milliseconds.
    pub fn late_ms(&self) -> f64 {
        self.late_ms
    }
}
