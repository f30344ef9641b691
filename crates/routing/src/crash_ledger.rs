//! Which requests end the targets that run them.
//!
//! A request may end each target that begins to run it. Its caller, who sees a stream
//! break off, sends it again, to whichever entry, and each send costs a target and all
//! that runs there. The ledger counts the targets that ended under a request, by the
//! request's digest, and says when it is refused.
//!
//! Others that ran beside it broke off, too, and must not pay for it. What tells them apart,
//! and keeps the count:
//!
//! - A crash counts only for a run that was sent after the one counted before had ended.
//!   When many targets end at once (a rack loses power), a request that many callers send
//!   counts once, not with each of them.
//! - A whole answer acquits: whoever is told of a suspect says so when one of them ends
//!   well, and it counts from zero again.
//! - The entry that counts may end, and the next one begins anew. So whoever reports a
//!   crash says whether it knew the request as a suspect, and the count goes on from there.
//! - After [`CRASHES_TO_SET_APART`] a request runs beside as few others as possible, and
//!   beside no other suspect (see [`crate::desk`]): what ends then was ended by it.

use std::collections::HashMap;

use crate::{Millis, RequestDigest};

/// Targets that ended under a request for it to be told to all entries, and set apart.
/// One target ends with everything that it runs; a second one, under the same request
/// again, is rare for all but the one that did it.
pub const CRASHES_TO_SET_APART: u32 = 2;
/// Targets that ended under a request for it to be refused. A caller tries a request that
/// broke off once more; so one that only ran beside a fatal one sees two crashes, rarely.
pub const CRASHES_TO_REFUSE: u32 = 3;
/// How long a request is refused at first, in milliseconds. Then it runs once more, apart
/// from others: a good one that was blamed for a fatal one is served, and the fatal one
/// costs a target and is refused for twice as long.
pub const FIRST_REFUSED_MS: Millis = 60 * 1_000;
/// The same at most, in milliseconds: ten minutes, the longest lease of the store that
/// keeps the refusal. One target in ten minutes is what a fatal request costs for good.
pub const MOST_REFUSED_MS: Millis = 10 * 60 * 1_000;
/// How much sooner than the end of the run before it a run may seem sent and still have
/// followed it, in milliseconds: times of two runs are told by different entries, or on a
/// link that has to come up first; hosts in a burst lag by dozens.
const WORD_TAKES_MS: Millis = 100;
/// How long a crash counts without another one, in milliseconds: an hour, several times
/// [`MOST_REFUSED_MS`], so that a refusal that is over is remembered.
const REMEMBERED_MS: Millis = 60 * 60 * 1_000;
/// Requests remembered at most; then the quarter goes that is untouched for the longest. They
/// take a third of a megabyte; a target ends with up to 64 requests.
const MOST_REMEMBERED: usize = 5_000;

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing that matters.
    Unsuspected,
    /// Targets ended under it: it runs apart from others.
    Suspect,
    /// It is refused until this moment.
    Refused { until: Millis },
}

/// A run that its target's end broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedRun {
    /// When the request was sent to the target.
    pub sent: Millis,
    /// When the target ended.
    pub ended: Millis,
    /// Whoever ran it knew the request as a suspect.
    pub was_suspect: bool,
}

/// What the ledger holds of a request.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Targets that ended under it, one after the other.
    crashes: u32,
    /// When the last one ended, or was told of.
    last: Millis,
    /// Until when it is refused; 0 when it never was.
    refused_until: Millis,
}

/// How long a request is refused after so many crashes, in milliseconds.
fn refused_ms(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(CRASHES_TO_REFUSE).min(16);
    (FIRST_REFUSED_MS << doublings).min(MOST_REFUSED_MS)
}

/// Targets that ended, by the request that they ran.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: HashMap<RequestDigest, Entry>,
}

impl CrashLedger {
    /// True while nothing is remembered: no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// A target ended while it ran a request. Returns how many have ended under it if this
    /// one counts.
    pub fn crashed(&mut self, now: Millis, request: RequestDigest, run: CrashedRun) -> Option<u32> {
        self.forget(now);
        let entry = self.entries.entry(request).or_insert(Entry {
            crashes: 0,
            last: 0,
            refused_until: 0,
        });
        if entry.crashes > 0 && run.sent + WORD_TAKES_MS < entry.last {
            return None;
        }
        if run.was_suspect {
            // Whoever counted before is gone, and its count with it.
            entry.crashes = entry.crashes.max(CRASHES_TO_SET_APART);
        }
        entry.crashes += 1;
        entry.last = run.ended;
        if entry.crashes >= CRASHES_TO_REFUSE {
            entry.refused_until = now + refused_ms(entry.crashes);
        }
        Some(entry.crashes)
    }

    /// Another entry, or the store, tells that a request is a suspect or refused. True
    /// when it is news.
    pub fn told(&mut self, now: Millis, request: RequestDigest, standing: Standing) -> bool {
        let (crashes, refused_until) = match standing {
            Standing::Unsuspected => return self.entries.remove(&request).is_some(),
            Standing::Suspect => (CRASHES_TO_SET_APART, 0),
            Standing::Refused { until } => (CRASHES_TO_REFUSE, until),
        };
        self.forget(now);
        let known = self.entries.get(&request);
        let is_news = known.is_none_or(|known| {
            crashes > known.crashes || (refused_until > now && known.refused_until <= now)
        });
        if is_news {
            let entry = Entry {
                crashes,
                last: now,
                refused_until,
            };
            self.entries.insert(request, entry);
        }
        is_news
    }

    /// A refusal was taken back, or is over. True when that is news.
    pub fn lifted(&mut self, now: Millis, request: RequestDigest) -> bool {
        let Some(known) = self.entries.get_mut(&request) else {
            return false;
        };
        let was_refused = known.refused_until > now;
        known.refused_until = known.refused_until.min(now);
        was_refused
    }

    /// A request was answered whole, so it ends no target. True when it was a suspect.
    pub fn served(&mut self, request: RequestDigest) -> bool {
        let known = self.entries.remove(&request);
        known.is_some_and(|known| known.crashes >= CRASHES_TO_SET_APART)
    }

    /// What is known of a request.
    pub fn standing(&self, now: Millis, request: RequestDigest) -> Standing {
        match self.entries.get(&request) {
            Some(known) if known.refused_until > now => Standing::Refused {
                until: known.refused_until,
            },
            Some(known) if known.crashes >= CRASHES_TO_SET_APART => Standing::Suspect,
            _ => Standing::Unsuspected,
        }
    }

    /// Every request that is refused, and until when.
    pub fn refused(&self, now: Millis) -> impl Iterator<Item = (RequestDigest, Millis)> + '_ {
        let refused = self
            .entries
            .iter()
            .filter(move |(_, known)| known.refused_until > now);
        refused.map(|(request, known)| (*request, known.refused_until))
    }

    /// Forgets what is too old, and the oldest quarter where there is no room.
    fn forget(&mut self, now: Millis) {
        self.entries
            .retain(|_, known| now < known.last + REMEMBERED_MS);
        if self.entries.len() < MOST_REMEMBERED {
            return;
        }
        let entries = self.entries.iter();
        let mut ages: Vec<(Millis, RequestDigest)> = entries
            .map(|(request, known)| (known.last, *request))
            .collect();
        ages.sort_unstable();
        for (_, oldest) in &ages[..MOST_REMEMBERED / 4] {
            self.entries.remove(oldest);
        }
    }
}
