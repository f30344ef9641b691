//! Policies by name: this project's own, the simple ones it is compared with,
//! and its own with one mechanism switched off.

use hollowsail_routing::{Choosing, Switches};

/// Name of this project's policy.
pub const OWN: &str = "hollowsail";
/// Stands before the name of a mechanism that is switched off.
pub const WITHOUT: &str = "hollowsail-without-";
/// Simple policies, kept for good.
pub const BASELINES: [&str; 3] = ["random", "round-robin", "least-reported-load"];
/// Mechanisms that `hollowsail-without-NAME` switches off.
pub const MECHANISMS: [&str; 8] = [
    "choosing",
    "early-refusal",
    "affinity",
    "ejection",
    "attempt-limits",
    "retry-budget",
    "fair-shares",
    "target-limits",
];

/// The switches of a policy; `None` when there is no such policy.
pub fn switches(name: &str) -> Option<Switches> {
    match name {
        OWN => Some(Switches::default()),
        "random" => Some(Switches::baseline(Choosing::Random)),
        "round-robin" => Some(Switches::baseline(Choosing::RoundRobin)),
        "least-reported-load" => Some(Switches::baseline(Choosing::LeastReportedLoad)),
        _ => without(name.strip_prefix(WITHOUT)?),
    }
}

fn without(mechanism: &str) -> Option<Switches> {
    let all = Switches::default();
    Some(match mechanism {
        "choosing" => Switches {
            choosing: Choosing::Random,
            ..all
        },
        "early-refusal" => Switches {
            early_refusal: false,
            ..all
        },
        "affinity" => Switches {
            affinity: false,
            ..all
        },
        "ejection" => Switches {
            ejection: false,
            ..all
        },
        "attempt-limits" => Switches {
            attempt_limits: false,
            ..all
        },
        "retry-budget" => Switches {
            retry_budget: false,
            ..all
        },
        "fair-shares" => Switches {
            fair_shares: false,
            ..all
        },
        "target-limits" => Switches {
            target_limits: false,
            ..all
        },
        _ => return None,
    })
}
