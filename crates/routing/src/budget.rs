//! A budget for extra attempts that shrinks when everything fails.
//!
//! Each first attempt earns a fraction of a token, each retry or hedge spends
//! one. When most attempts fail, retries use up what first attempts earn and
//! the total work stays within `1 + ratio` of the first attempts.

/// Tokens that may be saved up; bounds a burst of retries.
const MAX_SAVED: f64 = 20.0;

/// Tokens for extra attempts of one entry at one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    tokens: f64,
}

impl RetryBudget {
    /// `ratio`: extra attempts allowed for each first attempt, 0 to 1.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio,
            tokens: MAX_SAVED / 2.0,
        }
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_SAVED);
    }

    /// True when an extra attempt would be granted.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token for an extra attempt; false when there is none.
    pub fn spend(&mut self) -> bool {
        let granted = self.has_token();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
