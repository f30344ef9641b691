//! What a target said last of how much it takes, by the answers of all entries.
//!
//! Answers overtake each other, and what a peer heard comes later than what this entry
//! heard itself. So each word is known with the time within which it was written. Of all
//! words that may be the newest, the strictest holds: one that lets more through does so
//! once an answer has come to a request that was sent after all stricter ones had come.

use hollowsail_routing::Millis;

/// How long the end of a limit is kept, in milliseconds: so long an answer from before it
/// may still be on its way, or be told by a peer.
const KEPT_MS: Millis = 60_000;
/// How long the end of a limit is told again to whoever sends for others, in milliseconds.
const REPEATED_MS: Millis = 5_000;
/// Different limits kept of those that may be the newest: a target that names another one
/// in each answer has as many as answers are under way.
const MOST_WORDS: usize = 16;

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

    /// True when it was written after another one for sure.
    fn is_newer_than(&self, other: &LimitWord) -> bool {
        self.asked >= other.heard
    }

    /// True when those who may not have heard it are to hear it again.
    pub(crate) fn is_repeated(&self, now: Millis) -> bool {
        self.per_s.is_some() || now < self.heard + REPEATED_MS
    }
}

/// The words of one start that may be the newest, one for each limit, the strictest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitWords {
    words: Vec<LimitWord>,
}

impl LimitWords {
    /// Takes a word. True when another limit holds now.
    pub fn take(&mut self, word: LimitWord) -> bool {
        let before = self.limit();
        if self.words.iter().any(|known| known.is_newer_than(&word)) {
            return false;
        }
        self.words.retain(|known| !word.is_newer_than(known));
        let mut same = self.words.iter_mut();
        match same.find(|known| known.per_s == word.per_s) {
            Some(known) => {
                known.asked = known.asked.max(word.asked);
                // Of a limit's end the first word counts: it is told and kept for a while.
                if known.per_s.is_some() {
                    known.heard = known.heard.max(word.heard);
                }
            }
            None => self.words.push(word),
        }
        self.words.sort_by(|a, b| a.rate().total_cmp(&b.rate()));
        self.words.truncate(MOST_WORDS);
        self.limit() != before
    }

    /// The word that holds; `None` before the first.
    pub fn holding(&self) -> Option<LimitWord> {
        self.words.first().copied()
    }

    /// Requests a second that the start takes, while it names that.
    pub fn limit(&self) -> Option<f64> {
        self.holding()?.per_s
    }

    /// Forgets the end of a limit after a while.
    pub fn forget(&mut self, now: Millis) {
        let is_over = |word: &LimitWord| word.per_s.is_none() && now >= word.heard + KEPT_MS;
        if self.holding().as_ref().is_some_and(is_over) {
            self.words.clear();
        }
    }
}
