//! Where requests of this entry wait for a slot of a service.
//!
//! The order is `hollowsail-routing`'s; this module adds the waking. A waiter
//! is woken when a call to the service ends here, when the one before it found
//! a slot (there may be more), and at every tick of the control thread (other
//! entries' calls end too). It then looks again, and waits on if it was wrong.

use std::sync::Mutex;
use std::time::Duration;

use hollowsail_routing::{Rank, WaitQueue};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Waiting requests of one service.
#[derive(Debug, Default)]
pub struct Gate(Mutex<WaitQueue<oneshot::Sender<()>>>);

/// Takes a waiter out of the queue when its request is dropped.
struct Waiting<'a> {
    gate: &'a Gate,
    rank: Rank,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.lock().remove(&self.rank);
    }
}

impl Gate {
    fn lock(&self) -> std::sync::MutexGuard<'_, WaitQueue<oneshot::Sender<()>>> {
        self.0.lock().expect("no panic while held")
    }

    /// True when somebody else goes before a request of this rank.
    pub fn has_ahead_of(&self, rank: &Rank) -> bool {
        self.lock().has_ahead_of(rank)
    }

    /// Number of waiting requests that go before one of this rank.
    pub fn ahead_of(&self, rank: &Rank) -> usize {
        self.lock().ahead_of(rank)
    }

    /// Waits to be woken, `limit` at the longest; false when time is over.
    pub async fn wait(&self, rank: Rank, limit: Duration) -> bool {
        let (tx, rx) = oneshot::channel();
        self.lock().push(rank, tx);
        let _waiting = Waiting { gate: self, rank };
        timeout(limit, rx).await.is_ok()
    }

    /// Wakes the one that is next.
    pub fn wake_one(&self) {
        while let Some((_, tx)) = self.lock().pop() {
            if tx.send(()).is_ok() {
                return;
            }
        }
    }
}
