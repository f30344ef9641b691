//! Estimates the time to the first event of a prompt from its length.
//!
//! A least-squares line through recent samples, with older ones decaying: a base time
//! plus a time per uncached token. Queueing at the engines is part of the samples, so
//! the estimate grows with their load.

/// Share by which each sample decays the earlier ones: about 50 samples count.
const DECAY: f64 = 0.02;
/// Samples needed before the line replaces the initial estimate.
const MIN_SAMPLES: f64 = 10.0;
/// Initial estimate of the base time.
const INITIAL_BASE_MS: f64 = 100.0;
/// Initial estimate of the prefill time per token, in milliseconds.
const INITIAL_MS_PER_TOKEN: f64 = 0.03;

/// Decayed sums over recent samples of tokens and milliseconds.
#[derive(Debug, Clone, Default)]
pub struct PrefillTimes {
    samples: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
}

impl PrefillTimes {
    /// Records a first event `ms` milliseconds after the start of a prompt.
    pub fn record(&mut self, uncached_tokens: u64, ms: u64) {
        let (tokens, ms) = (uncached_tokens as f64, ms as f64);
        let add = |sum: &mut f64, value: f64| *sum += value - *sum * DECAY;
        add(&mut self.samples, 1.0);
        add(&mut self.tokens, tokens);
        add(&mut self.ms, ms);
        add(&mut self.tokens_squared, tokens * tokens);
        add(&mut self.tokens_by_ms, tokens * ms);
    }

    /// Expected time to the first event, in milliseconds.
    pub fn expected_ms(&self, uncached_tokens: u64) -> u64 {
        let (base, per_token) = self.line();
        (base + per_token * uncached_tokens as f64).round() as u64
    }

    /// Base time and time per token in milliseconds, neither negative.
    fn line(&self) -> (f64, f64) {
        if self.samples < MIN_SAMPLES {
            return (INITIAL_BASE_MS, INITIAL_MS_PER_TOKEN);
        }
        let (mean_tokens, mean_ms) = (self.tokens / self.samples, self.ms / self.samples);
        let variance = self.tokens_squared - self.tokens * mean_tokens;
        let covariance = self.tokens_by_ms - self.tokens * mean_ms;
        let max_per_token = mean_ms / mean_tokens.max(1.0);
        let per_token = if variance > 0.0 {
            (covariance / variance).clamp(0.0, max_per_token)
        } else {
            0.0
        };
        (mean_ms - per_token * mean_tokens, per_token)
    }
}
