//! What the gateway does that it could do without, so that each can be measured.
//!
//! All are on; `hollowsail gateway --without NAME` takes one out. That is for
//! measurements only: no promise depends on any of them, but callers are served worse.

use snafu::{OptionExt, Snafu};

/// Something that the gateway could do without.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// One queue for the workers of a stage service, owned by one entry.
    SharedQueues,
    /// One desk for a group of engines.
    Desk,
    /// Generations go to engines that keep the shared parts of their prompts.
    Affinity,
    /// Requests that would come too late are refused before anything runs.
    Forecast,
    /// Pieces of a request's stage go together.
    Groups,
    /// Results are made in the hall where they are used.
    Halls,
    /// Stages that only the request needs start together.
    JointFinals,
    /// Results of a request are given up at the first event, not at the stream's end.
    FirstEvent,
    /// The time kept for the engine goes by the prompt's length.
    ReadingTimes,
    /// The route's priority decides among organisations of equal priority.
    RoutePriority,
    /// Calls that last too long are made elsewhere, too.
    Overdue,
}

/// Each with its name on the command line.
const NAMES: [(Mechanism, &str); 11] = [
    (Mechanism::SharedQueues, "shared-queues"),
    (Mechanism::Desk, "desk"),
    (Mechanism::Affinity, "affinity"),
    (Mechanism::Forecast, "forecast"),
    (Mechanism::Groups, "groups"),
    (Mechanism::Halls, "halls"),
    (Mechanism::JointFinals, "joint-finals"),
    (Mechanism::FirstEvent, "first-event"),
    (Mechanism::ReadingTimes, "reading-times"),
    (Mechanism::RoutePriority, "route-priority"),
    (Mechanism::Overdue, "overdue"),
];

/// No mechanism has this name.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("--without {name}: no such mechanism; give one of {}", known_names()))]
pub struct UnknownMechanism {
    name: String,
}

fn known_names() -> String {
    NAMES.map(|(_, name)| name).join(", ")
}

/// The mechanisms that are on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Mechanisms {
    without: Vec<Mechanism>,
}

impl Mechanisms {
    /// All but those of some names.
    pub fn without(names: &[String]) -> Result<Self, UnknownMechanism> {
        let named = |name: &String| {
            let known = NAMES.iter().find(|(_, known)| known == name);
            known
                .map(|(mechanism, _)| *mechanism)
                .context(UnknownMechanismSnafu { name })
        };
        let without = names.iter().map(named).collect::<Result<_, _>>()?;
        Ok(Mechanisms { without })
    }

    /// True when one is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.without.contains(&mechanism)
    }
}
