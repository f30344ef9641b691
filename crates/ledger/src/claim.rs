//! Claims of ids that callers choose, made in the platform's store.
//!
//! [`Claim`] drives create-if-absent to a definite end even if store answers are lost: each
//! claim carries a nonce, and after a lost answer the key is read back. If it holds the
//! claim's own nonce, the write took effect. A claim is not a lease: it does not expire
//! while a paused owner is unaware of it.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis};

/// Maximum lead of a caller's clock, in milliseconds.
const MAX_CLOCK_LEAD_MS: u64 = 30_000;

/// Value stored under a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The entry that may run the request.
    pub owner: Incarnation,
    /// Random, one per claim.
    pub nonce: u64,
}

/// Next operation on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the key with the claim's value if it is absent.
    Create,
    /// Read the key.
    Read,
}

/// Result of a store operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    Created,
    /// The key holds this value.
    Found(ClaimValue),
    Absent,
    /// The operation was not performed: the store is down or over its limit.
    NotDone,
    /// No answer was received; a write may have taken effect.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This claim owns the id: run the request.
    Ours,
    /// Another claim was first; contact its owner.
    Theirs(Incarnation),
}

/// Next operation, or the end of the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    Next(ClaimStep),
    End(ClaimOutcome),
}

/// A claim in progress.
#[derive(Debug, Clone)]
pub struct Claim {
    value: ClaimValue,
    step: ClaimStep,
}

impl Claim {
    pub fn new(value: ClaimValue) -> Self {
        Claim {
            value,
            step: ClaimStep::Create,
        }
    }

    pub fn value(&self) -> &ClaimValue {
        &self.value
    }

    pub fn step(&self) -> ClaimStep {
        self.step
    }

    /// Handles a store answer. A claim may be abandoned between any two steps: nothing has
    /// run, although the key may remain in the store.
    pub fn answer(&mut self, answer: StoreAnswer) -> Progress {
        match (self.step, answer) {
            (ClaimStep::Create, StoreAnswer::Created) => Progress::End(ClaimOutcome::Ours),
            (_, StoreAnswer::Found(found)) => Progress::End(self.claimed_by(&found)),
            (ClaimStep::Create, StoreAnswer::Lost) => self.advance(ClaimStep::Read),
            (ClaimStep::Read, StoreAnswer::Absent) => self.advance(ClaimStep::Create),
            (step, _) => self.advance(step),
        }
    }

    fn claimed_by(&self, found: &ClaimValue) -> ClaimOutcome {
        if *found == self.value {
            ClaimOutcome::Ours
        } else {
            ClaimOutcome::Theirs(found.owner)
        }
    }

    fn advance(&mut self, step: ClaimStep) -> Progress {
        self.step = step;
        Progress::Next(step)
    }
}

/// True when a caller's id is recent enough to be claimed.
///
/// `sent` and `wall_now` are wall-clock milliseconds, `claim_ms` is the retention of
/// claims. Half of the retention is a margin between the last time an id is accepted and
/// the first time its claim may be evicted.
pub fn is_id_claimable(sent: Millis, wall_now: Millis, claim_ms: Millis) -> bool {
    let age = wall_now.saturating_sub(sent);
    sent <= wall_now + MAX_CLOCK_LEAD_MS && age < claim_ms / 2
}
