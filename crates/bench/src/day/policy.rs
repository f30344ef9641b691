//! Policies of a simulated day by name: the daemon's own, and the same with one mechanism
//! disabled.

use crate::policy::{OWN, WITHOUT};

/// Which queues batch the pieces of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queues {
    /// One queue for all entries.
    Shared,
    /// One queue per entry.
    PerEntry,
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChoice {
    /// By a scheduler that tracks the load from all entries.
    Scheduler,
    /// By the hash of the shared prefix alone.
    PrefixAffinity,
    Random,
}

/// Time reserved for each later stage of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ReservedTime {
    /// A number of full calls of the stage's pool.
    Calls(f64),
    /// Milliseconds.
    Ms(u64),
}

/// The mechanisms of a policy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DayPolicy {
    pub queues: Queues,
    pub engines: EngineChoice,
    /// Requests that are predicted to miss their target are refused on arrival.
    pub forecast: bool,
    pub reserved: ReservedTime,
    /// Overdue pieces with large inputs in memory go ahead of others.
    pub holders_first: bool,
}

/// Full calls reserved for each later stage; same as the daemon's value.
const RESERVED_CALLS: f64 = 1.5;
/// Time reserved for each later stage without `kept-calls`, in milliseconds.
const RESERVED_MS: u64 = 250;

/// Disables a mechanism of a policy.
type Disable = fn(&mut DayPolicy);

/// Mechanisms by name, with the function that disables each.
const MECHANISMS: [(&str, Disable); 6] = [
    ("shared-queues", |policy| policy.queues = Queues::PerEntry),
    ("desk", |policy| {
        policy.engines = EngineChoice::PrefixAffinity
    }),
    ("affinity", |policy| policy.engines = EngineChoice::Random),
    ("forecast", |policy| policy.forecast = false),
    ("kept-calls", |policy| {
        policy.reserved = ReservedTime::Ms(RESERVED_MS)
    }),
    ("holders-first", |policy| policy.holders_first = false),
];

impl Default for DayPolicy {
    fn default() -> Self {
        DayPolicy {
            queues: Queues::Shared,
            engines: EngineChoice::Scheduler,
            forecast: true,
            reserved: ReservedTime::Calls(RESERVED_CALLS),
            holders_first: true,
        }
    }
}

impl DayPolicy {
    /// Returns the policy with the given name, if there is one.
    pub fn named(name: &str) -> Option<Self> {
        let mut policy = DayPolicy::default();
        if name != OWN {
            let without = name.strip_prefix(WITHOUT)?;
            let (_, disable) = MECHANISMS.iter().find(|(known, _)| *known == without)?;
            disable(&mut policy);
        }
        Some(policy)
    }

    /// Names of all policies, the daemon's own first.
    pub fn names() -> Vec<String> {
        let without = MECHANISMS.map(|(name, _)| format!("{WITHOUT}{name}"));
        std::iter::once(OWN.to_string()).chain(without).collect()
    }
}
