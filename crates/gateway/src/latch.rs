//! A condition that becomes true once.

use std::cell::Cell;

use tokio::sync::Notify;

/// A condition that becomes true once. Whoever waits after that isn't held up, so that nobody has to
/// wait at the moment at which it becomes true.
#[derive(Debug, Default)]
pub struct Latch {
    is_set: Cell<bool>,
    changed: Notify,
}

impl Latch {
    pub fn set(&self) {
        self.is_set.set(true);
        self.changed.notify_waiters();
    }

    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the condition is true.
    pub async fn wait(&self) {
        while !self.is_set.get() {
            self.changed.notified().await;
        }
    }
}
