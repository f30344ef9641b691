//! Policies by name: the daemon's own, the baselines it is compared with, and its own with one
//! mechanism disabled.

use hollowsail_routing::{ChoicePolicy, Switches};

/// Name of the daemon's own policy.
pub const OWN: &str = "hollowsail";
/// Prefix of the name of a disabled mechanism.
pub const WITHOUT: &str = "hollowsail-without-";
/// Baseline policies.
pub const BASELINES: [&str; 3] = ["random", "round-robin", "least-reported-load"];
/// Mechanisms that `hollowsail-without-NAME` disables.
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

/// Returns the switches of a policy, or `None` if it does not exist.
pub fn switches(name: &str) -> Option<Switches> {
    match name {
        OWN => Some(Switches::default()),
        "random" => Some(Switches::baseline(ChoicePolicy::Random)),
        "round-robin" => Some(Switches::baseline(ChoicePolicy::RoundRobin)),
        "least-reported-load" => Some(Switches::baseline(ChoicePolicy::LeastReportedLoad)),
        _ => without(name.strip_prefix(WITHOUT)?),
    }
}

fn without(mechanism: &str) -> Option<Switches> {
    let all = Switches::default();
    Some(match mechanism {
        "choosing" => Switches {
            choosing: ChoicePolicy::Random,
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
