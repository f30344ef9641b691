//! Timing of a batching engine: what prefill and each token cost.
//!
//! Token time grows with the running batch; prefill time grows with prompt
//! tokens that the prefix cache does not hold. The cache is an LRU over
//! sessions of organisations in a limited number of slots.

use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens of a session's shared prefix.
const PREFIX_TOKENS: f64 = 600.0;
/// Prompt tokens of the request itself.
const OWN_TOKENS: f64 = 120.0;
/// Sessions whose prefix fits in memory.
const CACHED_SESSIONS: usize = 32;

/// Costs of one engine, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct EngineTimes {
    pub prefill_per_token: f64,
    /// One token at batch size 1.
    pub token: f64,
    /// Added to a token's time for each other sequence in the batch.
    pub token_per_sequence: f64,
}

impl Default for EngineTimes {
    fn default() -> Self {
        EngineTimes {
            prefill_per_token: 0.05,
            token: 2.0,
            token_per_sequence: 0.15,
        }
    }
}

impl EngineTimes {
    /// Time until the first token.
    pub fn prefill(&self, cached: bool) -> Duration {
        let tokens = if cached {
            OWN_TOKENS
        } else {
            OWN_TOKENS + PREFIX_TOKENS
        };
        millis(self.prefill_per_token * tokens)
    }

    /// Time of one token in a batch of `batch` sequences.
    pub fn token(&self, batch: u32) -> Duration {
        let others = f64::from(batch.saturating_sub(1));
        millis(self.token + self.token_per_sequence * others)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Sessions whose prefix an engine holds, most recent last.
#[derive(Debug, Default)]
pub struct PrefixCache(VecDeque<String>);

impl PrefixCache {
    /// Looks a session up and makes it the most recent; true when it was held.
    pub fn touch(&mut self, session: &str) -> bool {
        let held = self.0.iter().position(|known| known == session);
        if let Some(at) = held {
            self.0.remove(at);
        }
        self.0.push_back(session.to_string());
        if self.0.len() > CACHED_SESSIONS {
            self.0.pop_front();
        }
        held.is_some()
    }
}
