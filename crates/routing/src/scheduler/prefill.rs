//! Prefill of one engine: its time per token, and when its pending prefill will be done.
//!
//! An engine is assumed to prefill prompts one after the other. Every placement extends the
//! time at which the pending prefill is done; every first event corrects that time and gives
//! a sample of the time per token.

use super::PlacementKey;
use crate::Millis;

/// Time to a first event besides prefill, in milliseconds.
pub(super) const BASE_LATENCY_MS: Millis = 30;
/// Samples from which on an engine's own time per token replaces that of the group.
const MIN_ENGINE_SAMPLES: u32 = 5;
/// Factor on the weight of an engine's older samples with each new one: a lasting change shows
/// within a few answers.
const ENGINE_DECAY: f64 = 0.8;
/// The same for the group, which has many more samples.
const GROUP_DECAY: f64 = 0.99;
/// Weight of the prior time per token, in tokens. Keeps a delay of a few milliseconds with
/// short prompts from being extrapolated to long ones.
const PRIOR_TOKENS: f64 = 5_000.0;
/// Minimum length of a prefill, in tokens, to count as a sample.
pub(super) const MIN_SAMPLE_TOKENS: u64 = 500;

/// Moving estimate of the prefill time per token, weighted by tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PrefillRate {
    tokens: f64,
    ms: f64,
    samples: u32,
}

impl PrefillRate {
    fn add(&mut self, decay: f64, sample: PrefillSample) {
        self.tokens = self.tokens * decay + sample.tokens as f64;
        self.ms = self.ms * decay + sample.ms as f64;
        self.samples = self.samples.saturating_add(1);
    }

    pub fn add_group_sample(&mut self, sample: PrefillSample) {
        self.add(GROUP_DECAY, sample);
    }

    /// Time per token in milliseconds, drawn towards `prior` while there are few tokens.
    pub fn ms_per_token(&self, prior: f64) -> f64 {
        (self.ms + prior * PRIOR_TOKENS) / (self.tokens + PRIOR_TOKENS)
    }
}

/// A finished prefill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PrefillSample {
    pub tokens: u64,
    pub ms: Millis,
}

/// Prefill state of one engine.
#[derive(Debug, Default)]
pub(super) struct EnginePrefill {
    rate: PrefillRate,
    /// Placements whose prefill is pending, oldest first.
    pending: Vec<PlacementKey>,
    /// Time at which the pending prefill is expected to be done.
    done_at: Millis,
    /// End of the last finished prefill.
    last_end: Millis,
}

impl EnginePrefill {
    /// Time per token in milliseconds: that of the group until there are enough samples.
    pub fn ms_per_token(&self, group: f64) -> f64 {
        match self.rate.samples < MIN_ENGINE_SAMPLES {
            true => group,
            false => self.rate.ms_per_token(group),
        }
    }

    /// Expected time until the pending prefill is done. An overdue one is expected to take as
    /// long again as it is late, so that an engine that stalls doesn't look free.
    fn wait_ms(&self, now: Millis) -> Millis {
        let overdue_ms = now.saturating_sub(self.done_at + BASE_LATENCY_MS);
        match self.pending.is_empty() {
            true => 0,
            false => self.done_at.saturating_sub(now).max(overdue_ms),
        }
    }

    /// Expected time to the first event of a placement with `tokens` to prefill.
    pub fn first_event_ms(&self, now: Millis, group: f64, tokens: u64) -> Millis {
        let own_ms = prefill_ms(self.ms_per_token(group), tokens);
        self.wait_ms(now) + own_ms + BASE_LATENCY_MS
    }

    /// Adds a placement with `tokens` to prefill.
    pub fn push(&mut self, now: Millis, group: f64, key: PlacementKey, tokens: u64) {
        let own_ms = prefill_ms(self.ms_per_token(group), tokens);
        self.done_at = now + self.wait_ms(now) + own_ms;
        self.pending.push(key);
    }

    /// Records the first event of a placement that was placed at `placed_at` with `tokens` to
    /// prefill; `left` tokens remain pending. Returns a sample unless the prefill was short.
    pub fn finish(
        &mut self,
        now: Millis,
        group: f64,
        key: PlacementKey,
        placed_at: Millis,
        tokens: u64,
        left: u64,
    ) -> Option<PrefillSample> {
        let end = now.saturating_sub(BASE_LATENCY_MS);
        let ms = end.saturating_sub(self.last_end.max(placed_at));
        self.last_end = end.max(self.last_end);
        self.remove(now, group, key, left);
        let sample = (tokens >= MIN_SAMPLE_TOKENS).then_some(PrefillSample { tokens, ms })?;
        self.rate.add(ENGINE_DECAY, sample);
        Some(sample)
    }

    /// Removes a placement that ended without a first event; `left` tokens remain pending.
    pub fn abandon(&mut self, now: Millis, group: f64, key: PlacementKey, left: u64) {
        if self.pending.first() == Some(&key) {
            self.last_end = now;
        }
        self.remove(now, group, key, left);
    }

    /// After the end of the oldest prefill the next one starts. After the end of another one,
    /// part of the tokens may be prefilled already, so the time only becomes earlier.
    fn remove(&mut self, now: Millis, group: f64, key: PlacementKey, left: u64) {
        let Some(position) = self.pending.iter().position(|pending| *pending == key) else {
            return;
        };
        self.pending.remove(position);
        let restarted = now + prefill_ms(self.ms_per_token(group), left);
        self.done_at = match position {
            0 => restarted,
            _ => self.done_at.min(restarted),
        };
    }
}

fn prefill_ms(ms_per_token: f64, tokens: u64) -> Millis {
    (ms_per_token * tokens as f64) as Millis
}
