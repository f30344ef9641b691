//! Queue of this entry's requests that wait for a slot of a service.
//!
//! The order is that of [`WaitQueue`]. A waiter is woken when a call of this entry to
//! the service ends, when the previous waiter found a slot (there may be more), and
//! periodically by the control thread, as calls of other entries end too. It then
//! tries to find a slot, and waits again if there is none.

use std::sync::Mutex;
use std::time::Duration;

use hollowsail_routing::{Rank, WaitQueue};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct Gate(Mutex<WaitQueue<oneshot::Sender<()>>>);

/// Removes a waiter from the queue when its request is dropped.
struct WaitGuard<'a> {
    gate: &'a Gate,
    rank: Rank,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.gate.lock().remove(&self.rank);
    }
}

impl Gate {
    fn lock(&self) -> std::sync::MutexGuard<'_, WaitQueue<oneshot::Sender<()>>> {
        self.0.lock().expect("no panic while held")
    }

    /// True when a waiting request precedes one of this rank.
    pub fn has_ahead_of(&self, rank: &Rank) -> bool {
        self.lock().has_ahead_of(rank)
    }

    /// Number of waiting requests that precede one of this rank.
    pub fn count_ahead_of(&self, rank: &Rank) -> usize {
        self.lock().ahead_of(rank)
    }

    /// Waits to be woken; false if that doesn't happen within `limit`.
    pub async fn wait(&self, rank: Rank, limit: Duration) -> bool {
        let (tx, rx) = oneshot::channel();
        self.lock().push(rank, tx);
        let _guard = WaitGuard { gate: self, rank };
        timeout(limit, rx).await.is_ok()
    }

    /// Wakes the next waiter, if any.
    pub fn wake_one(&self) {
        while let Some((_, tx)) = self.lock().pop() {
            if tx.send(()).is_ok() {
                return;
            }
        }
    }
}
