//! How long watches pause, by what the settings ask.

use std::time::Duration;

use hollowsail_platform::settings::Bounds;

/// Part of the time in which a change has to be heeded that a watch may pause.
const PAUSE_SHARE: u32 = 8;

/// How long watches pause after a change, so that changes which come one after the
/// other are told in a few answers: each is a call with a price.
#[derive(Debug, Clone, Copy)]
pub struct WatchPauses {
    pub configuration: Duration,
    pub records: Duration,
}

impl WatchPauses {
    /// By the bounds of the settings.
    pub fn new(bounds: &Bounds) -> Self {
        let share = |ms: u64| Duration::from_millis(ms) / PAUSE_SHARE;
        WatchPauses {
            configuration: share(bounds.configuration_ms),
            records: share(bounds.drain_ms),
        }
    }
}
