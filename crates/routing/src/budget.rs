//! A budget for extra attempts that shrinks when everything fails.
//!
//! Each first attempt earns a fraction of a token, each retry or hedge spends
//! one. When most attempts fail, retries use up what first attempts earn and
//! the total work stays within `1 + ratio` of the first attempts.

/// Tokens that may be saved up where nothing else is said; bounds a burst of
/// retries.
const MAX_SAVED: f64 = 20.0;

/// Tokens for extra attempts of one entry at one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    most: f64,
    tokens: f64,
}

impl RetryBudget {
    /// `ratio`: extra attempts allowed for each first attempt, 0 to 1.
    pub fn new(ratio: f64) -> Self {
        RetryBudget {
            ratio,
            most: MAX_SAVED,
            tokens: MAX_SAVED / 2.0,
        }
    }

    /// A budget that saves up to `most` tokens and has them at its start: the
    /// entry's share of what a service takes in a window besides the ratio.
    pub fn with_share(ratio: f64, most: f64) -> Self {
        RetryBudget {
            ratio,
            most,
            tokens: most,
        }
    }

    /// The share changed, because entries came or went.
    pub fn set_share(&mut self, most: f64) {
        self.most = most;
        self.tokens = self.tokens.min(most);
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.most.max(1.0));
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
