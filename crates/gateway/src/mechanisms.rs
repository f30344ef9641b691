//! Optional mechanisms of the gateway, which can be turned off for measurements.
//!
//! All are on by default; `hollowsail gateway --without NAME` turns one off. Results stay
//! correct without any of them, but latency and throughput suffer.

use snafu::{OptionExt, Snafu};

/// An optional mechanism.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// One queue for the workers of a stage service, owned by one entry.
    SharedQueues,
    /// One scheduler for a group of engines.
    Scheduler,
    /// Generations go to engines that have cached their prefix.
    Affinity,
    /// Requests that would miss their deadline are refused before anything runs.
    Forecast,
    /// Pieces of one stage of a request are sent together.
    Groups,
    /// Results are produced in the hall that uses them.
    Halls,
    /// Final stages of a request start together.
    JointFinals,
    /// Results are released at the first event of the stream instead of its end.
    FirstEvent,
    /// The time reserved for the engine depends on the length of the prompt.
    PrefillTimes,
    /// The route's priority orders requests of organisations with equal priority.
    RoutePriority,
    /// Calls that take too long are repeated at another target.
    Overdue,
    /// Entries share the connections of plain services whose targets accept few.
    ConnectionShares,
    /// Generations go to engines that deliver the first event in time.
    EnginesByTime,
    /// The speed and load that targets report decide where work goes.
    TargetSpeeds,
    /// Capacity of contended stage services is reserved before a request starts.
    Reservations,
    /// Peers relay connections to targets that a host doesn't reach.
    Relays,
    /// A full host refuses connections of callers while its peers have room.
    CallerAdmission,
}

/// Command-line names of the mechanisms.
const NAMES: [(Mechanism, &str); 17] = [
    (Mechanism::SharedQueues, "shared-queues"),
    (Mechanism::Scheduler, "desk"),
    (Mechanism::Affinity, "affinity"),
    (Mechanism::Forecast, "forecast"),
    (Mechanism::Groups, "groups"),
    (Mechanism::Halls, "halls"),
    (Mechanism::JointFinals, "joint-finals"),
    (Mechanism::FirstEvent, "first-event"),
    (Mechanism::PrefillTimes, "reading-times"),
    (Mechanism::RoutePriority, "route-priority"),
    (Mechanism::Overdue, "overdue"),
    (Mechanism::ConnectionShares, "connection-shares"),
    (Mechanism::EnginesByTime, "engines-by-time"),
    (Mechanism::TargetSpeeds, "target-speeds"),
    (Mechanism::Reservations, "reservations"),
    (Mechanism::Relays, "relays"),
    (Mechanism::CallerAdmission, "caller-admission"),
];

/// No mechanism has the given name.
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
    disabled: Vec<Mechanism>,
}

impl Mechanisms {
    /// All mechanisms except the named ones.
    pub fn without(names: &[String]) -> Result<Self, UnknownMechanism> {
        let named = |name: &String| {
            let known = NAMES.iter().find(|(_, known)| known == name);
            known
                .map(|(mechanism, _)| *mechanism)
                .context(UnknownMechanismSnafu { name })
        };
        let disabled = names.iter().map(named).collect::<Result<_, _>>()?;
        Ok(Mechanisms { disabled })
    }

    /// True when the mechanism is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
