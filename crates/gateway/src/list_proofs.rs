//! Proofs that this entry's list of targets is complete at the moment.
//!
//! What an entry concludes from a target that it has not seen holds only up to the last answer of
//! the store that shows its list to be complete. [`ListProofs::prove`] has the control thread ask
//! for changes once more; the list that it publishes then has everything that the store had when
//! it was called.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// Longest wait for a proof: a peer that asks for one waits little longer.
const TIMEOUT: Duration = Duration::from_millis(45);
/// Requests for proofs that may wait; more get none.
const MAX_WAITING: usize = 256;

/// A request for a proof: true if the list is complete.
pub type ProofRequest = oneshot::Sender<bool>;
/// Receives the requests in the control thread.
pub type ProofReceiver = mpsc::Receiver<ProofRequest>;

/// Asks the control thread for proofs.
#[derive(Debug, Clone)]
pub struct ListProofs(mpsc::Sender<ProofRequest>);

impl ListProofs {
    pub fn new() -> (Self, ProofReceiver) {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        (ListProofs(sender), receiver)
    }

    /// True once the list of targets has been complete at some moment after the call; false if the
    /// store doesn't show that in time.
    pub async fn prove(&self) -> bool {
        let (reply, proven) = oneshot::channel();
        if self.0.try_send(reply).is_err() {
            return false;
        }
        matches!(tokio::time::timeout(TIMEOUT, proven).await, Ok(Ok(true)))
    }
}
