//! Whether the store answers this entry, and in which epoch.
//!
//! Every answer and every failed call of the store is recorded here, whichever loop made the call, so
//! that all loops agree on one state.

use crate::Millis;

/// Contact with the store, by the calls of this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreContact {
    is_reachable: bool,
    /// `None` before the first answer.
    epoch: Option<u64>,
    answered_at: Option<Millis>,
}

impl Default for StoreContact {
    /// The store is assumed reachable until a call fails.
    fn default() -> Self {
        StoreContact {
            is_reachable: true,
            epoch: None,
            answered_at: None,
        }
    }
}

/// What an answer of the store changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ContactChange {
    /// The store was unreachable before.
    pub is_regained: bool,
    /// The epoch before, if a new one began.
    pub epoch_before: Option<u64>,
}

impl StoreContact {
    /// True unless the last calls failed.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// The newest epoch; `None` before the first answer.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Records an answer that shows that the store is reachable.
    pub fn record_answer(&mut self, now: Millis, epoch: u64) -> ContactChange {
        self.answered_at = Some(now);
        ContactChange {
            is_regained: !std::mem::replace(&mut self.is_reachable, true),
            ..self.record_epoch(epoch)
        }
    }

    /// Records an answer that may come from a stale copy: it shows the epoch only.
    pub fn record_epoch(&mut self, epoch: u64) -> ContactChange {
        let before = self.epoch.replace(epoch);
        ContactChange {
            is_regained: false,
            epoch_before: before.filter(|before| *before != epoch),
        }
    }

    /// Records a failed call that shows an outage; `began` is when the call began, if it failed by a
    /// timeout. Returns true if the store was reachable before. A call that began before the last
    /// answer shows nothing: calls of an outage fail only some time after its end.
    pub fn record_failure(&mut self, began: Option<Millis>) -> bool {
        let is_outdated = std::iter::zip(self.answered_at, began).any(|(at, began)| at > began);
        if is_outdated {
            return false;
        }
        std::mem::replace(&mut self.is_reachable, false)
    }
}
