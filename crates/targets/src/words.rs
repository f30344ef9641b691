//! What targets said of themselves, by whatever way it came.
//!
//! | word | who may say it | what it outranks | when it ends |
//! |---|---|---|---|
//! | it leaves | its record, an answer of its own, a peer that has it from one of these | every record of the same or an earlier start, also a later one that says ready | with the start |
//! | it has ended | another start that answers at its address, a peer that has it from one | the same | the same |
//! | it wants nothing for a while | an answer with which it turned work away; for this entry alone | a shorter time | when the time is over |
//! | it takes so many requests a second from all entries together | an answer of its own, a peer that has it from one | see [`LimitWord`] | with the start, or with an answer that names none |
//!
//! A word is kept by the target's id and start, not by its record: a record may lapse while
//! the store is away and come back as it was before.

use std::collections::HashMap;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;

use crate::limit_word::{LimitWord, LimitWords};

/// How long words are kept of a target that isn't listed any more, in milliseconds. Longer
/// than a target serves on after it said that it leaves (many seconds, as operators tell),
/// and than a store is away.
const KEPT_MS: Millis = 3_600_000;

/// What is known of a target's last start that said anything.
#[derive(Debug, Clone)]
struct Word {
    /// Which start it was; later ones have larger numbers.
    born: u64,
    leaves: bool,
    /// It wants nothing before this.
    rests_until: Millis,
    /// When it was last said.
    said: Millis,
    /// This entry has told all others that it leaves.
    is_passed_on: bool,
    /// Empty before it names a limit for the first time.
    limit: LimitWords,
}

/// Words by the targets' ids.
#[derive(Debug, Clone, Default)]
pub struct Words {
    words: HashMap<String, Word>,
    /// Nobody rests from this moment on.
    rests_end: Millis,
}

impl Words {
    /// A start says that it leaves. True when that is news.
    pub fn says_leaving(&mut self, now: Millis, start: &Incarnation) -> bool {
        self.change(now, start, |word| {
            !std::mem::replace(&mut word.leaves, true)
        })
    }

    /// A start wants nothing from this entry for a time. True when that is longer than it
    /// said before.
    pub fn asks_rest(&mut self, now: Millis, start: &Incarnation, rest_ms: Millis) -> bool {
        let until = now.saturating_add(rest_ms);
        self.rests_end = self.rests_end.max(until);
        self.change(now, start, |word| {
            let is_longer = until > word.rests_until;
            word.rests_until = word.rests_until.max(until);
            is_longer
        })
    }

    /// A start names a limit, or none. True when its limit is another one now.
    pub fn names_limit(&mut self, now: Millis, start: &Incarnation, word: LimitWord) -> bool {
        // Nearly all answers name no limit, of targets that never did.
        let is_of_no_use = word.per_s.is_none() && self.limit_word(start).is_none();
        !is_of_no_use && self.change(now, start, |known| known.limit.take(word))
    }

    /// What a start said last of its limit, if it named one lately.
    pub fn limit_word(&self, start: &Incarnation) -> Option<LimitWord> {
        let word = self.words.get(&start.id)?;
        let word = (word.born == start.born).then_some(word)?;
        word.limit.holding()
    }

    /// Requests a second that a start takes from all entries together, while it names that.
    pub fn limit(&self, start: &Incarnation) -> Option<f64> {
        self.limit_word(start)?.per_s
    }

    /// The starts that name a limit, with what they said.
    pub fn limited(&self) -> impl Iterator<Item = (Incarnation, LimitWord)> + '_ {
        self.words.iter().filter_map(|(id, word)| {
            let limit = word.limit.holding()?;
            limit.per_s?;
            let id = id.clone();
            Some((
                Incarnation {
                    id,
                    born: word.born,
                },
                limit,
            ))
        })
    }

    /// Changes the word of a start; one of a start before the last that spoke is dropped.
    fn change(
        &mut self,
        now: Millis,
        start: &Incarnation,
        change: impl FnOnce(&mut Word) -> bool,
    ) -> bool {
        let nothing = Word {
            born: start.born,
            leaves: false,
            rests_until: 0,
            said: now,
            is_passed_on: false,
            limit: LimitWords::default(),
        };
        let word = self.words.entry(start.id.clone());
        let word = word.or_insert_with(|| nothing.clone());
        if start.born < word.born {
            return false;
        }
        if start.born > word.born {
            *word = nothing;
        }
        word.said = now;
        change(word)
    }

    /// True when a start gets no new work ever: it said that it leaves, or a later one spoke.
    pub fn leaves(&self, start: &Incarnation) -> bool {
        let word = self.words.get(&start.id);
        word.is_some_and(|word| match word.born == start.born {
            true => word.leaves,
            false => start.born < word.born,
        })
    }

    /// True the first time that this entry is to tell all others that a start leaves.
    pub fn pass_on(&mut self, start: &Incarnation) -> bool {
        let word = self.words.get_mut(&start.id);
        let word = word.filter(|word| word.born == start.born && word.leaves);
        word.is_some_and(|word| !std::mem::replace(&mut word.is_passed_on, true))
    }

    /// True when some target may want nothing from this entry now.
    pub fn anyone_rests(&self, now: Millis) -> bool {
        now < self.rests_end
    }

    /// Until when a start wants nothing from this entry, if it does now.
    pub fn rests_until(&self, now: Millis, start: &Incarnation) -> Option<Millis> {
        if !self.anyone_rests(now) {
            return None;
        }
        let word = self.words.get(&start.id)?;
        let rests = word.born == start.born && now < word.rests_until;
        rests.then_some(word.rests_until)
    }

    /// Drops what was said long ago by targets that aren't listed any more.
    pub fn forget(&mut self, now: Millis, is_listed: impl Fn(&str) -> bool) {
        for word in self.words.values_mut() {
            word.limit.forget(now);
        }
        self.words
            .retain(|id, word| now < word.said.saturating_add(KEPT_MS) || is_listed(id));
    }

    /// Targets of which anything is kept.
    pub fn len(&self) -> usize {
        self.words.len()
    }

    /// True when nothing was said.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }
}
