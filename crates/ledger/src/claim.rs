//! Claims on a caller's own id, through the platform's store.
//!
//! [`Claim`] drives create-if-absent to an end that can be trusted although
//! any answer may be lost: each attempt carries a nonce, and after a lost
//! answer the key is read back. Finding one's own nonce means the lost write
//! took effect. The claim is never a lease: it does not lapse while a paused
//! owner is unaware.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis};

/// Allowance for a caller's clock that runs ahead, in milliseconds.
const AHEAD_MS: u64 = 30_000;

/// What stands under a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// The entry that may run the request.
    pub owner: Incarnation,
    /// Random, one per claim.
    pub nonce: u64,
}

/// What to do next in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the key with our value if it is absent.
    Create,
    /// Read the key.
    Read,
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    Created,
    /// The key holds this value.
    Found(ClaimValue),
    Absent,
    /// Nothing was sent or done: down, or over its limit.
    NotDone,
    /// No answer; a write may have taken effect.
    Lost,
}

/// How a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claimed {
    /// Ours: run it.
    Ours,
    /// Another claim came first; ask its owner.
    Theirs(Incarnation),
}

/// Next step or end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    Next(ClaimStep),
    End(Claimed),
}

/// One claim in progress.
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

    /// Value to write.
    pub fn value(&self) -> &ClaimValue {
        &self.value
    }

    pub fn step(&self) -> ClaimStep {
        self.step
    }

    /// Takes an answer. Giving up between steps is always safe: nothing has
    /// run, though the claim may stand.
    pub fn answer(&mut self, answer: StoreAnswer) -> Progress {
        match (self.step, answer) {
            (ClaimStep::Create, StoreAnswer::Created) => Progress::End(Claimed::Ours),
            (_, StoreAnswer::Found(found)) => Progress::End(self.judge(&found)),
            (ClaimStep::Create, StoreAnswer::Lost) => self.go(ClaimStep::Read),
            (ClaimStep::Read, StoreAnswer::Absent) => self.go(ClaimStep::Create),
            (step, _) => self.go(step),
        }
    }

    fn judge(&self, found: &ClaimValue) -> Claimed {
        if *found == self.value {
            Claimed::Ours
        } else {
            Claimed::Theirs(found.owner)
        }
    }

    fn go(&mut self, step: ClaimStep) -> Progress {
        self.step = step;
        Progress::Next(step)
    }
}

/// Whether a caller's id is young enough to be claimed.
///
/// `sent` and `wall_now` are wall-clock milliseconds; `claim_ms` is how long
/// claims are kept. Half of it is left as a margin between the last moment an
/// id is accepted and the first at which its claim may be gone.
pub fn id_is_young(sent: Millis, wall_now: Millis, claim_ms: Millis) -> bool {
    let age = wall_now.saturating_sub(sent);
    sent <= wall_now + AHEAD_MS && age < claim_ms / 2
}
