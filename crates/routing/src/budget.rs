//! Retry budget: bounds retries and hedges relative to first attempts.
//!
//! Each first attempt earns a fraction of a token, each retry or hedge spends one. When
//! most attempts fail, the total stays within `1 + ratio` times the first attempts.

/// Default capacity in tokens; bounds a burst of retries.
const DEFAULT_CAPACITY: f64 = 20.0;

/// Token bucket for the extra attempts of one entry at one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl RetryBudget {
    /// `ratio`: extra attempts allowed for each first attempt, 0 to 1.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio,
            capacity: DEFAULT_CAPACITY,
            tokens: DEFAULT_CAPACITY / 2.0,
        }
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// True when an extra attempt is allowed now.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token for an extra attempt; false if none is left.
    pub fn spend(&mut self) -> bool {
        let granted = self.has_token();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
