//! Time since the process started, on the steady clock.

use std::time::{Duration, Instant};

use hollowsail_routing::Millis;

/// Start of the process; copies agree.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis
    }

    /// Milliseconds from the start to a moment.
    pub fn millis_at(&self, moment: Instant) -> Millis {
        moment.saturating_duration_since(self.0).as_millis() as Millis
    }

    /// The moment so many milliseconds after the start.
    pub fn moment(&self, millis: Millis) -> Instant {
        self.0 + Duration::from_millis(millis)
    }
}
