//! How long watches pause, by what the settings ask.

use std::cell::RefCell;
use std::time::Duration;

use hollowsail_fleet::TargetBook;
use hollowsail_platform::settings::Bounds;

use super::source::READER_WAIT_SHARE;
use super::Control;

/// Part of the time in which a change has to be heeded that a watch may pause.
const PAUSE_SHARE: u32 = 8;

/// The longest that watches pause after a change, so that changes which come one after the
/// other are told in a few answers: each is a call with a price.
#[derive(Debug, Clone, Copy)]
pub struct WatchPauses {
    /// After a change of the operators' keys.
    pub operators: Duration,
    pub records: Duration,
    /// How long a watch of a reader waits for changes.
    pub reader_wait: Duration,
}

impl WatchPauses {
    /// By the bounds of the settings.
    pub fn new(bounds: &Bounds) -> Self {
        let share = |ms: u64| Duration::from_millis(ms) / PAUSE_SHARE;
        let operators_ms = bounds.configuration_ms.min(bounds.emptying_ms);
        WatchPauses {
            operators: share(operators_ms),
            records: share(bounds.drain_ms),
            reader_wait: Duration::from_millis(operators_ms).mul_f64(READER_WAIT_SHARE),
        }
    }
}

impl Control {
    /// Pause of the watch on a book's records: short after they were read, so that what
    /// comes together with this entry, or with the store's return, is soon known.
    pub(super) fn watch_pause<R: PartialEq>(
        &self,
        book: &RefCell<TargetBook<R>>,
        longest: Duration,
    ) -> Duration {
        let longest_ms = longest.as_millis() as u64;
        let pause = book.borrow().watch_pause(self.clock.now(), longest_ms);
        Duration::from_millis(pause)
    }
}
