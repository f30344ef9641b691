//! Time since the process started, with the time for which its host was suspended.

use std::time::{Duration, Instant};

use hollowsail_clock::Moment;
use hollowsail_routing::Millis;

/// Start of the process; copies agree.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Moment);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock(Moment::now())
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.millis_at(Moment::now())
    }

    /// Milliseconds from the start to a moment.
    pub fn millis_at(&self, moment: Moment) -> Millis {
        moment.saturating_since(self.0).as_millis() as Millis
    }

    /// When a timer has to fire that is set now for so many milliseconds after the start.
    pub fn timer(&self, millis: Millis) -> Instant {
        (self.0 + Duration::from_millis(millis)).timer()
    }
}
