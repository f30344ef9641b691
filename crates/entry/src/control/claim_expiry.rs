//! Removes the keys of expired claims from the store.
//!
//! The key of a claim has no time to live while the claim is valid, so that a
//! paused owner can't lose it. After the ledger has evicted the record, ids of
//! that age are refused, and the key is rewritten with a short time to live, at
//! most `claims_per_second` keys a second and only while the store answers.

use std::collections::VecDeque;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use hollowsail_clients::Expect;

use crate::control::Control;
use crate::once_ledger::claim_key;

/// Time to live of the key of an expired claim.
const EXPIRED_KEY_TTL: Duration = Duration::from_secs(1);
/// Maximum number of keys queued for removal; beyond it the oldest stay in the store.
const MAX_QUEUED: usize = 100_000;

/// Hashes of expired claims whose keys are still in the store.
#[derive(Debug, Default)]
pub struct ExpiredClaims {
    queue: VecDeque<[u8; 32]>,
    writing: bool,
}

impl Control {
    /// Queues newly expired claims and rewrites the keys of a batch of queued ones.
    pub(crate) fn expire_claims(&mut self, expired: Vec<[u8; 32]>, cx: &mut Context<Self>) {
        self.claims.queue.extend(expired);
        while self.claims.queue.len() > MAX_QUEUED {
            self.claims.queue.pop_front();
        }
        let Some(store) = self.config_sync.store() else {
            return;
        };
        if self.claims.writing || self.claims.queue.is_empty() {
            return;
        }
        self.claims.writing = true;
        let count = self.entry.settings.limits.claims_per_second as usize;
        let batch: Vec<_> = (0..count)
            .map_while(|_| self.claims.queue.pop_front())
            .collect();
        let write = async move {
            for (index, hash) in batch.iter().enumerate() {
                let key = claim_key(hash);
                let written = store
                    .put(&key, Vec::new(), Expect::Anything, Some(EXPIRED_KEY_TTL))
                    .await;
                if written.is_err() {
                    return batch[index..].to_vec();
                }
            }
            Vec::new()
        };
        let done = write.into_actor(self).map(|unwritten, control, _| {
            control.claims.writing = false;
            control.claims.queue.extend(unwritten);
        });
        cx.spawn(done);
    }
}
