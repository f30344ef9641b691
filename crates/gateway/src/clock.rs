//! Time since the start of the process, including time in which the host was suspended.

use std::time::{Duration, Instant};

use hollowsail_clock::BootInstant;
use hollowsail_routing::Millis;

/// Time of the start of the process; copies agree.
#[derive(Debug, Clone, Copy)]
pub struct Clock(BootInstant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(BootInstant::now())
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.millis_at(BootInstant::now())
    }

    /// Milliseconds from the start to `moment`; 0 before the start.
    pub fn millis_at(&self, moment: BootInstant) -> Millis {
        moment.saturating_since(self.0).as_millis() as Millis
    }

    /// The time to set a timer to, now, so that it fires `millis` milliseconds after the
    /// start.
    pub fn timer(&self, millis: Millis) -> Instant {
        (self.0 + Duration::from_millis(millis)).to_instant()
    }
}
