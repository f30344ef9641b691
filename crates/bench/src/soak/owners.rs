//! Check of the owners of stage queues: two gateways call the workers of one service for a moment only.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::attempt_bounds::Arrival;
use super::grants::GrantLog;
use super::report::{Failure, FailureKind};

/// Length of the spans in which calls are counted.
const SPAN: Duration = Duration::from_millis(250);
/// Calls in a span from which a gateway counts as an owner: one that has lost a queue ends what it began.
const MIN_CALLS: usize = 4;
/// How long hosts may disagree on an owner.
pub const MAX_DISAGREEMENT: Duration = Duration::from_millis(1_000);

/// The longest time in which the same two or more gateways called the workers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Disagreement {
    pub service: String,
    /// Since the start of the platform.
    pub from: Duration,
    pub lasted: Duration,
    pub owners: Vec<String>,
}

/// Finds the longest disagreement; `None` if each service had one owner at each time.
pub fn longest(arrivals: &[Arrival], grants: &GrantLog) -> Option<Disagreement> {
    let mut calls: BTreeMap<(&str, u128), BTreeMap<&str, BTreeSet<&str>>> = BTreeMap::new();
    for arrival in arrivals {
        let Some(call) = arrival.call.as_deref() else {
            continue;
        };
        let Some(owner) = grants.sender_of(call) else {
            continue;
        };
        let span = arrival.at.as_millis() / SPAN.as_millis();
        let owners = calls.entry((&arrival.service, span)).or_default();
        owners.entry(owner).or_default().insert(call);
    }
    let mut longest: Option<Disagreement> = None;
    let mut current: Option<(&str, u128, u32)> = None;
    for ((service, span), owners) in &calls {
        let owners = owners.iter();
        let owners = owners.filter(|(_, calls)| calls.len() >= MIN_CALLS);
        let owners: Vec<String> = owners.map(|(owner, _)| owner.to_string()).collect();
        if owners.len() < 2 {
            current = None;
            continue;
        }
        let (first, spans) = match current {
            Some((of, first, spans)) if of == *service && first + u128::from(spans) == *span => {
                (first, spans + 1)
            }
            _ => (*span, 1),
        };
        current = Some((service, first, spans));
        let lasted = SPAN * spans;
        if longest.as_ref().is_none_or(|known| known.lasted < lasted) {
            longest = Some(Disagreement {
                service: service.to_string(),
                from: SPAN * first as u32,
                lasted,
                owners,
            });
        }
    }
    longest
}

/// The failure of a disagreement that lasted too long.
pub fn evaluate(longest: Option<&Disagreement>) -> Option<Failure> {
    let longest = longest.filter(|longest| longest.lasted > MAX_DISAGREEMENT)?;
    Some(Failure::new(FailureKind::Owners, longest.to_string()))
}

impl std::fmt::Display for Disagreement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} called by {} for {} ms from {} ms on",
            self.service,
            self.owners.join(" and "),
            self.lasted.as_millis(),
            self.from.as_millis()
        )
    }
}
