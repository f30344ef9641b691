//! Policies of a day by name: what the daemon does, and the same with one
//! mechanism taken out.

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

/// What the daemon does.
pub const OWN: &str = "hollowsail";
/// Mechanisms that `hollowsail-without-NAME` takes out.
pub const MECHANISMS: [&str; 6] = [
    "shared-queues",
    "desk",
    "affinity",
    "forecast",
    "kept-calls",
    "holders-first",
];

impl Default for DayPolicy {
    fn default() -> Self {
        DayPolicy {
            queues: Queues::Shared,
            engines: Engines::Desk,
            forecast: true,
            kept: Kept::Calls(1.5),
            holders_first: true,
        }
    }
}

impl DayPolicy {
    /// The policy of that name.
    pub fn named(name: &str) -> Option<Self> {
        let own = DayPolicy::default();
        if name == OWN {
            return Some(own);
        }
        Some(match name.strip_prefix("hollowsail-without-")? {
            "shared-queues" => DayPolicy {
                queues: Queues::PerEntry,
                ..own
            },
            "desk" => DayPolicy {
                engines: Engines::ByPart,
                ..own
            },
            "affinity" => DayPolicy {
                engines: Engines::Random,
                ..own
            },
            "forecast" => DayPolicy {
                forecast: false,
                ..own
            },
            "kept-calls" => DayPolicy {
                kept: Kept::Ms(250),
                ..own
            },
            "holders-first" => DayPolicy {
                holders_first: false,
                ..own
            },
            _ => return None,
        })
    }

    /// Names of all policies, this project's own first.
    pub fn names() -> Vec<String> {
        let without = MECHANISMS.map(|name| format!("hollowsail-without-{name}"));
        std::iter::once(OWN.to_string()).chain(without).collect()
    }
}
