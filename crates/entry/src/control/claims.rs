//! Keys of old claims go from the store.
//!
//! While a claim counts, its key never lapses: a paused owner must not lose it.
//! Once its record is forgotten, ids that old are refused anyway, and the key is
//! written anew with a short time to live. So many a second as an entry may
//! claim, and only while the store answers.

use std::collections::VecDeque;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use hollowsail_clients::Expect;

use crate::control::Control;
use crate::once::claim_key;

/// Time to live of a key that may go.
const LAPSE: Duration = Duration::from_secs(1);
/// Keys that wait to go; above it the oldest are left in the store.
const MAX_WAITING: usize = 100_000;

/// Claims whose keys may go.
#[derive(Debug, Default)]
pub struct LapsingClaims {
    waiting: VecDeque<[u8; 32]>,
    writing: bool,
}

impl Control {
    /// Takes newly forgotten claims and writes some of those that wait.
    pub(crate) fn lapse_claims(&mut self, forgotten: Vec<[u8; 32]>, cx: &mut Context<Self>) {
        self.claims.waiting.extend(forgotten);
        while self.claims.waiting.len() > MAX_WAITING {
            self.claims.waiting.pop_front();
        }
        let Some(store) = self.spread.store() else {
            return;
        };
        if self.claims.writing || self.claims.waiting.is_empty() {
            return;
        }
        self.claims.writing = true;
        let count = self.entry.settings.limits.claims_per_second as usize;
        let batch: Vec<_> = (0..count)
            .map_while(|_| self.claims.waiting.pop_front())
            .collect();
        let write = async move {
            for (at, hash) in batch.iter().enumerate() {
                let key = claim_key(hash);
                let written = store
                    .put(&key, Vec::new(), Expect::Anything, Some(LAPSE))
                    .await;
                if written.is_err() {
                    return batch[at..].to_vec();
                }
            }
            Vec::new()
        };
        let done = write.into_actor(self).map(|unwritten, control, _| {
            control.claims.writing = false;
            control.claims.waiting.extend(unwritten);
        });
        cx.spawn(done);
    }
}
