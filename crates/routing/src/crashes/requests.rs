//! Evidence by whole requests: detects those that crash the targets that run them.
//!
//! A fatal request crashes each target that begins to run it, and its caller retries it.
//! The ledger counts crashes by request digest and refuses a request that caused too many.
//! To avoid refusing innocent requests that ran beside it:
//!
//! - A crash counts only for a run that was sent after the crash counted before, so that
//!   many targets crashing at once count once.
//! - A complete answer clears a request, also at the entries that were notified of it.
//! - A crash report says whether the request was a suspect already, so that the count
//!   survives the entry that kept it.
//! - From [`CRASHES_TO_ISOLATE`] on, a request runs beside as few others as possible and
//!   beside no other suspect (see [`crate::scheduler`]).

use std::collections::HashMap;

use crate::{Millis, RequestDigest};

/// Crashes after which a request is a suspect: it is isolated and all entries are notified.
/// Two crashes under the same request are rare unless it caused them.
pub const CRASHES_TO_ISOLATE: u32 = 2;
/// Crashes after which a request is refused. Callers retry once, so an innocent request sees
/// two crashes at most.
pub const CRASHES_TO_REFUSE: u32 = 3;
/// Duration of the first refusal. Afterwards the request runs once more in isolation: an
/// innocent one is served, a fatal one crashes a target and is refused for twice as long.
pub const FIRST_REFUSAL_MS: Millis = 60 * 1_000;
/// Longest refusal, and the longest lease of the store that keeps it. A fatal request costs one
/// target in this time.
pub const MAX_REFUSAL_MS: Millis = 10 * 60 * 1_000;
/// Tolerance when ordering a run after the previous crash: their times come from different entries
/// and may be delayed on the way. Hosts under load lag by dozens of milliseconds.
const ORDER_TOLERANCE_MS: Millis = 100;
/// Time after which a crash is forgotten: several times [`MAX_REFUSAL_MS`], so that an
/// expired refusal is remembered.
const RETENTION_MS: Millis = 60 * 60 * 1_000;
/// Capacity of the ledger; the oldest quarter is evicted when it is full. A full ledger takes a
/// third of a megabyte; a target crashes with up to 64 requests.
const CAPACITY: usize = 5_000;

/// Verdict on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// Too few crashes to suspect it.
    Unsuspected,
    /// Targets crashed under it: it runs isolated from others.
    Suspect,
    /// Refused until this time.
    Refused { until: Millis },
}

/// A run interrupted by a crash of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashedRun {
    /// When the request was sent to the target.
    pub sent: Millis,
    pub crashed_at: Millis,
    /// The entry that ran it had recorded it as a suspect.
    pub was_suspect: bool,
}

/// Record of one request.
#[derive(Debug, Clone, Copy)]
struct Entry {
    /// Consecutive crashes under it.
    crashes: u32,
    /// Time of the last crash or notification.
    last_crash: Millis,
    /// End of its refusal; 0 if it was never refused.
    refused_until: Millis,
}

/// Duration of a refusal after `crashes`, in milliseconds.
fn refusal_ms(crashes: u32) -> Millis {
    let doublings = crashes.saturating_sub(CRASHES_TO_REFUSE).min(16);
    (FIRST_REFUSAL_MS << doublings).min(MAX_REFUSAL_MS)
}

/// Crashes of targets by request.
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    entries: HashMap<RequestDigest, Entry>,
}

impl CrashLedger {
    /// True when no request is recorded, so that lookups can be skipped.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of recorded requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Records a crash of a target under a request. Returns the new count, or `None` if the
    /// crash doesn't count.
    pub fn record_crash(
        &mut self,
        now: Millis,
        request: RequestDigest,
        run: CrashedRun,
    ) -> Option<u32> {
        self.evict(now);
        let entry = self.entries.entry(request).or_insert(Entry {
            crashes: 0,
            last_crash: 0,
            refused_until: 0,
        });
        if entry.crashes > 0 && run.sent + ORDER_TOLERANCE_MS < entry.last_crash {
            return None;
        }
        if run.was_suspect {
            // The entry that held the count may be gone.
            entry.crashes = entry.crashes.max(CRASHES_TO_ISOLATE);
        }
        entry.crashes += 1;
        entry.last_crash = run.crashed_at;
        if entry.crashes >= CRASHES_TO_REFUSE {
            entry.refused_until = now + refusal_ms(entry.crashes);
        }
        Some(entry.crashes)
    }

    /// Applies a verdict of another entry or the store. Returns true if it changed the record.
    pub fn learn(&mut self, now: Millis, request: RequestDigest, verdict: CrashVerdict) -> bool {
        let (crashes, refused_until) = match verdict {
            CrashVerdict::Unsuspected => return self.entries.remove(&request).is_some(),
            CrashVerdict::Suspect => (CRASHES_TO_ISOLATE, 0),
            CrashVerdict::Refused { until } => (CRASHES_TO_REFUSE, until),
        };
        self.evict(now);
        let entry = self.entries.get(&request);
        let is_update = entry.is_none_or(|entry| {
            crashes > entry.crashes || (refused_until > now && entry.refused_until <= now)
        });
        if is_update {
            let entry = Entry {
                crashes,
                last_crash: now,
                refused_until,
            };
            self.entries.insert(request, entry);
        }
        is_update
    }

    /// Lifts a refusal that was revoked or has expired. Returns true when it was in effect.
    pub fn lift_refusal(&mut self, now: Millis, request: RequestDigest) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else {
            return false;
        };
        let was_refused = entry.refused_until > now;
        entry.refused_until = entry.refused_until.min(now);
        was_refused
    }

    /// True for what was refused until lately, and has neither passed nor crashed a target since.
    pub fn was_refused(&self, now: Millis, request: RequestDigest) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|entry| entry.refused_until > 0 && entry.refused_until <= now)
    }

    /// Clears a request that was answered completely. Returns true when it was a suspect.
    pub fn record_success(&mut self, request: RequestDigest) -> bool {
        let entry = self.entries.remove(&request);
        entry.is_some_and(|entry| entry.crashes >= CRASHES_TO_ISOLATE)
    }

    pub fn verdict(&self, now: Millis, request: RequestDigest) -> CrashVerdict {
        match self.entries.get(&request) {
            Some(entry) if entry.refused_until > now => CrashVerdict::Refused {
                until: entry.refused_until,
            },
            Some(entry) if entry.crashes >= CRASHES_TO_ISOLATE => CrashVerdict::Suspect,
            _ => CrashVerdict::Unsuspected,
        }
    }

    /// Refused requests and the ends of their refusals.
    pub fn refused(&self, now: Millis) -> impl Iterator<Item = (RequestDigest, Millis)> + '_ {
        let refused = self
            .entries
            .iter()
            .filter(move |(_, entry)| entry.refused_until > now);
        refused.map(|(request, entry)| (*request, entry.refused_until))
    }

    /// Drops expired records, and the oldest quarter if the ledger is full.
    fn evict(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now < entry.last_crash + RETENTION_MS);
        if self.entries.len() < CAPACITY {
            return;
        }
        let entries = self.entries.iter();
        let mut ages: Vec<(Millis, RequestDigest)> = entries
            .map(|(request, entry)| (entry.last_crash, *request))
            .collect();
        ages.sort_unstable();
        for (_, oldest) in &ages[..CAPACITY / 4] {
            self.entries.remove(oldest);
        }
    }
}
