//! What a target said last of how much it takes, by the answers of all entries.
//!
//! Answers overtake each other, and what a peer heard comes later than what this entry
//! heard itself. So a word is known with the time within which it was written, and one
//! that lets more through is taken only if it is surely the newer one; of two that may be
//! either, the stricter holds until the next answer.

use hollowsail_routing::Millis;

/// How long the end of a limit is kept, in milliseconds: so long an answer from before it
/// may still be on its way, or be told by a peer.
const KEPT_MS: Millis = 60_000;
/// How long the end of a limit is told again to whoever sends for others, in milliseconds.
const REPEATED_MS: Millis = 5_000;

/// What one answer said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// Requests a second from all entries together; `None` when it named no limit.
    pub per_s: Option<f64>,
    /// When the request was sent that it answers: it was written no earlier.
    pub asked: Millis,
    /// When it came: it was written no later.
    pub heard: Millis,
}

impl LimitWord {
    /// Requests a second that it lets through.
    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }

    /// Takes another word of the same start. True when the limit is another one now.
    pub(crate) fn take(&mut self, other: LimitWord) -> bool {
        if other.rate() == self.rate() {
            self.asked = self.asked.max(other.asked);
            self.heard = self.heard.max(other.heard);
            return false;
        }
        let is_surely_newer = other.asked >= self.heard;
        let is_surely_older = other.heard < self.asked;
        let lets_more_through = other.rate() > self.rate();
        if is_surely_older || (lets_more_through && !is_surely_newer) {
            return false;
        }
        *self = other;
        true
    }

    /// True when it says nothing any more: the limit ended long ago.
    pub(crate) fn is_over(&self, now: Millis) -> bool {
        self.per_s.is_none() && now >= self.heard + KEPT_MS
    }

    /// True when those who may not have heard it are to hear it again.
    pub(crate) fn is_repeated(&self, now: Millis) -> bool {
        self.per_s.is_some() || now < self.heard + REPEATED_MS
    }
}
