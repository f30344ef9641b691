//! Pauses between watches, derived from the bounds in the settings.

use std::cell::RefCell;
use std::time::Duration;

use hollowsail_fleet::TargetRegistry;
use hollowsail_platform::settings::Bounds;

use super::source::FOLLOWER_WAIT_SHARE;
use super::Control;

/// Share of the time within which a change must take effect that a watch may pause.
const PAUSE_SHARE: u32 = 8;

/// Longest pauses after a change, which let successive changes share a response: each
/// response of the store has a cost.
#[derive(Debug, Clone, Copy)]
pub struct WatchPauses {
    /// After a change of the operators' keys.
    pub operators: Duration,
    pub records: Duration,
    /// How long a store follower's watch waits for changes.
    pub follower_wait: Duration,
}

impl WatchPauses {
    pub fn new(bounds: &Bounds) -> Self {
        let share = |ms: u64| Duration::from_millis(ms) / PAUSE_SHARE;
        let operators_ms = bounds.configuration_ms.min(bounds.emptying_ms);
        WatchPauses {
            operators: share(operators_ms),
            records: share(bounds.drain_ms),
            follower_wait: Duration::from_millis(operators_ms).mul_f64(FOLLOWER_WAIT_SHARE),
        }
    }
}

impl Control {
    /// Pause of the watch on a registry's records: short after they were read, so that
    /// records which arrive together are applied soon.
    pub(super) fn watch_pause<R: PartialEq>(
        &self,
        registry: &RefCell<TargetRegistry<R>>,
        longest: Duration,
    ) -> Duration {
        let longest_ms = longest.as_millis() as u64;
        let pause = registry.borrow().watch_pause(self.clock.now(), longest_ms);
        Duration::from_millis(pause)
    }
}
