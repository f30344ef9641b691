//! Policies of a day by name: what the daemon does, and the same with one
//! mechanism taken out.

use crate::policy::{OWN, WITHOUT};

/// Who batches the pieces of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queues {
    /// One queue for all entries.
    Shared,
    /// Every entry batches its own.
    PerEntry,
}

/// Who chooses engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Engines {
    /// A desk that knows what all entries have there.
    Desk,
    /// The prompt's shared part alone.
    ByPart,
    Random,
}

/// Time kept for each later stage of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kept {
    /// So many whole calls of the stage's pool.
    Calls(f64),
    /// So many milliseconds.
    Ms(u64),
}

/// How the decisions are made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DayPolicy {
    pub queues: Queues,
    pub engines: Engines,
    /// Requests that would come too late are refused before they begin.
    pub forecast: bool,
    pub kept: Kept,
    /// Late pieces that hold memory elsewhere don't wait behind others.
    pub holders_first: bool,
}

/// Whole calls that are kept for each later stage: the daemon's figure.
const KEPT_CALLS: f64 = 1.5;
/// Milliseconds that are kept instead: the daemon's figure before it kept calls.
const KEPT_MS: u64 = 250;

/// Takes a mechanism out of a policy.
type TakeOut = fn(&mut DayPolicy);

/// Mechanisms by name, and how each is taken out.
const MECHANISMS: [(&str, TakeOut); 6] = [
    ("shared-queues", |policy| policy.queues = Queues::PerEntry),
    ("desk", |policy| policy.engines = Engines::ByPart),
    ("affinity", |policy| policy.engines = Engines::Random),
    ("forecast", |policy| policy.forecast = false),
    ("kept-calls", |policy| policy.kept = Kept::Ms(KEPT_MS)),
    ("holders-first", |policy| policy.holders_first = false),
];

impl Default for DayPolicy {
    fn default() -> Self {
        DayPolicy {
            queues: Queues::Shared,
            engines: Engines::Desk,
            forecast: true,
            kept: Kept::Calls(KEPT_CALLS),
            holders_first: true,
        }
    }
}

impl DayPolicy {
    /// The policy of that name.
    pub fn named(name: &str) -> Option<Self> {
        let mut policy = DayPolicy::default();
        if name != OWN {
            let without = name.strip_prefix(WITHOUT)?;
            let (_, take_out) = MECHANISMS.iter().find(|(known, _)| *known == without)?;
            take_out(&mut policy);
        }
        Some(policy)
    }

    /// Names of all policies, this project's own first.
    pub fn names() -> Vec<String> {
        let without = MECHANISMS.map(|(name, _)| format!("{WITHOUT}{name}"));
        std::iter::once(OWN.to_string()).chain(without).collect()
    }
}
