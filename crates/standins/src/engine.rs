//! Timing of a batching engine: prefill and token generation.
//!
//! Token time grows with the running batch; prefill time grows with the prompt
//! tokens that aren't in the prefix cache, an LRU over sessions.

use std::collections::VecDeque;
use std::time::Duration;

/// Prompt tokens of a session's shared prefix.
const PREFIX_TOKENS: f64 = 600.0;
/// Prompt tokens after the shared prefix.
const OWN_TOKENS: f64 = 120.0;
/// Capacity of the prefix cache, in sessions.
const MAX_CACHED_SESSIONS: usize = 32;

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
    /// Time of the prefill.
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

/// Sessions with a cached prefix, most recently used last.
#[derive(Debug, Default)]
pub struct PrefixCache(VecDeque<String>);

impl PrefixCache {
    /// Marks a session as most recently used; true when its prefix was cached.
    pub fn touch(&mut self, session: &str) -> bool {
        let position = self.0.iter().position(|other| other == session);
        if let Some(index) = position {
            self.0.remove(index);
        }
        self.0.push_back(session.to_string());
        if self.0.len() > MAX_CACHED_SESSIONS {
            self.0.pop_front();
        }
        position.is_some()
    }
}
