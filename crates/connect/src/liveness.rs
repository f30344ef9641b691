//! Whether peers answer on connections that are open.

use std::cell::Cell;
use std::time::Duration;

use hollowsail_clock::BootInstant;

/// Observes what is sent and received on several connections together.
#[derive(Debug, Default)]
pub struct Liveness {
    /// When something was sent first after the last byte was received.
    unanswered_since: Cell<Option<BootInstant>>,
}

impl Liveness {
    pub(crate) fn record_sent(&self) {
        if self.unanswered_since.get().is_none() {
            self.unanswered_since.set(Some(BootInstant::now()));
        }
    }

    /// Records that a peer was heard.
    pub fn record_received(&self) {
        self.unanswered_since.set(None);
    }

    /// Time since something was sent without a byte received since then, on any connection.
    pub fn silent_for(&self) -> Duration {
        let since = self.unanswered_since.get();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }
}
