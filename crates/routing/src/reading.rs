//! How long engines need for the first event of a prompt, by its length.
//!
//! A line through recent times, by least squares, where old ones fade: what an engine
//! needs besides reading, and for each token that only this request has. What waits
//! at the engines is in it, so it grows when they are busy.

/// Part of what was observed before that a time takes away: some fifty count.
const DECAY: f64 = 0.02;
/// Times before which the first guess counts.
const LEAST_SAMPLES: f64 = 10.0;
/// First guess of the time besides reading, in milliseconds.
const FIRST_BASE_MS: f64 = 100.0;
/// First guess of the time for a token, in milliseconds.
const FIRST_MS_PER_TOKEN: f64 = 0.03;

/// Recent times, as sums over tokens and milliseconds.
#[derive(Debug, Clone, Default)]
pub struct ReadingTimes {
    samples: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
}

impl ReadingTimes {
    /// The first event of a prompt with so many tokens of its own came after `ms`.
    pub fn record(&mut self, own_tokens: u64, ms: u64) {
        let (tokens, ms) = (own_tokens as f64, ms as f64);
        let add = |sum: &mut f64, value: f64| *sum += value - *sum * DECAY;
        add(&mut self.samples, 1.0);
        add(&mut self.tokens, tokens);
        add(&mut self.ms, ms);
        add(&mut self.tokens_squared, tokens * tokens);
        add(&mut self.tokens_by_ms, tokens * ms);
    }

    /// About when the first event comes for so many tokens, in milliseconds.
    pub fn expected_ms(&self, own_tokens: u64) -> u64 {
        let (base, per_token) = self.line();
        (base + per_token * own_tokens as f64).round() as u64
    }

    /// Time besides reading, and for a token; neither is below 0.
    fn line(&self) -> (f64, f64) {
        if self.samples < LEAST_SAMPLES {
            return (FIRST_BASE_MS, FIRST_MS_PER_TOKEN);
        }
        let (mean_tokens, mean_ms) = (self.tokens / self.samples, self.ms / self.samples);
        let spread = self.tokens_squared - self.tokens * mean_tokens;
        let together = self.tokens_by_ms - self.tokens * mean_ms;
        let steepest = mean_ms / mean_tokens.max(1.0);
        let per_token = if spread > 0.0 {
            (together / spread).clamp(0.0, steepest)
        } else {
            0.0
        };
        (mean_ms - per_token * mean_tokens, per_token)
    }
}
