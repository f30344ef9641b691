//! Answers traffic's requests for proofs that the list of targets is complete.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::Position;
use hollowsail_platform::targets::PREFIX;

use super::{Control, Shared};
use crate::list_proofs::{ProofReceiver, ProofRequest};

/// Timeout of the store's answer. Nobody waits for it any longer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the loop that follows the targets may take to apply the changes that the store has, and
/// how often that is checked.
const APPLY_TIMEOUT: Duration = Duration::from_millis(40);
const APPLY_INTERVAL: Duration = Duration::from_millis(2);

/// Answers requests until the thread ends; one answer of the store serves all that wait for it.
pub async fn answer(cx: Rc<Control>, requests: Shared<ProofReceiver>) {
    let mut requests = requests.lock().await;
    while let Some(first) = requests.recv().await {
        let mut waiting: Vec<ProofRequest> = vec![first];
        while let Ok(next) = requests.try_recv() {
            waiting.push(next);
        }
        let is_complete = cx.prove_target_list().await;
        for reply in waiting {
            // The requester may have stopped waiting.
            let _sent = reply.send(is_complete);
        }
    }
}

impl Control {
    /// True if the published list of targets has everything that the store has by now.
    async fn prove_target_list(self: &Rc<Self>) -> bool {
        let at = self.records_at.get();
        if at == Position::default() || !self.store_link.is_reachable() {
            return false;
        }
        let changes = self.store.watch(PREFIX, at, Duration::ZERO);
        let Ok(Ok(changes)) = tokio::time::timeout(ANSWER_TIMEOUT, changes).await else {
            return false;
        };
        self.store_answered();
        changes.changes.is_empty() || self.applies(changes.at).await
    }

    /// True once the changes up to a position are applied.
    async fn applies(&self, at: Position) -> bool {
        let until = tokio::time::Instant::now() + APPLY_TIMEOUT;
        while self.records_at.get() < at {
            if tokio::time::Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(APPLY_INTERVAL).await;
        }
        true
    }
}
