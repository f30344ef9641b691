//! Admission control: decides whether a request is started at all.
//!
//! A request that can't meet its deadline is rejected before any stage runs: the wait for
//! the requests ahead of it and the time of its stages must fit into its deadline.
//!
//! An organisation that holds more than its weighted share of the requests in flight
//! waits behind the others ([`OrgUsage::is_over_share`]); capacity that they leave unused is
//! available to it.

use crate::deadline::StageExpectation;
use crate::Millis;

/// Load of the targets of one service that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests that its targets serve concurrently.
    pub slots: f64,
    /// Requests in service and queued ahead.
    pub ahead: f64,
}

impl ServiceLoad {
    /// Expected wait for a slot in milliseconds when each request takes `typical_ms`.
    pub fn wait_ms(&self, typical_ms: Millis) -> f64 {
        let waiting = (self.ahead + 1.0 - self.slots).max(0.0);
        waiting / self.slots.max(1.0) * typical_ms as f64
    }
}

/// One stage of a request to be admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageDemand {
    pub expected: StageExpectation,
    pub load: ServiceLoad,
}

/// One organisation's part of the entry's requests in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OrgUsage {
    pub own: u32,
    pub all: u32,
    /// Its weight over the total weight of the organisations with requests in flight,
    /// itself included.
    pub share: f64,
}

impl OrgUsage {
    /// True when one more request would exceed the share and its slack.
    pub fn is_over_share(&self) -> bool {
        let fair = self.share * f64::from(self.all + 1);
        let slack = 1.0 + SLACK * (1.0 - self.share);
        f64::from(self.own + 1) > fair * slack + SLACK_REQUESTS
    }
}

/// Relative excess allowed to a small organisation, less to a large one: an entry sees only
/// its part of the traffic, and an organisation's requests spread unevenly over the halls.
const SLACK: f64 = 1.0;
/// Absolute excess allowed, for small numbers of requests.
const SLACK_REQUESTS: f64 = 1.0;

/// Admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Admit,
    /// Rejected; it would need about this many milliseconds.
    CannotFinish(Millis),
}

/// Decides on a request with `remaining_ms` left.
///
/// `caution` (0 to 1) trades attainment for cost: at 0 a request is admitted when a typical
/// one would meet the deadline, at 1 only when a slow one would.
pub fn admit(remaining_ms: Millis, stages: &[StageDemand], caution: f64) -> Verdict {
    let needed: f64 = stages.iter().map(|stage| needed_ms(stage, caution)).sum();
    if needed > remaining_ms as f64 {
        Verdict::CannotFinish(needed as Millis)
    } else {
        Verdict::Admit
    }
}

/// Demands on the critical path through a graph of stages.
///
/// Each stage is given with the positions of its predecessors, which must precede it, and
/// its demand: `None` if it takes no time.
pub fn critical_path<'a>(
    stages: impl Iterator<Item = (&'a [usize], Option<StageDemand>)>,
) -> Vec<StageDemand> {
    let mut paths: Vec<Vec<StageDemand>> = Vec::new();
    for (predecessor_indexes, demand) in stages {
        let predecessors = predecessor_indexes.iter().map(|&index| &paths[index]);
        let mut path = longest(predecessors).cloned().unwrap_or_default();
        path.extend(demand);
        paths.push(path);
    }
    longest(paths.iter()).cloned().unwrap_or_default()
}

fn longest<'a>(paths: impl Iterator<Item = &'a Vec<StageDemand>>) -> Option<&'a Vec<StageDemand>> {
    let total =
        |path: &Vec<StageDemand>| -> f64 { path.iter().map(|stage| needed_ms(stage, 0.0)).sum() };
    paths.max_by(|a, b| total(a).total_cmp(&total(b)))
}

fn needed_ms(stage: &StageDemand, caution: f64) -> f64 {
    let typical = stage.expected.typical_ms as f64;
    let slow = (stage.expected.slow_ms as f64).max(typical);
    let service_ms = typical + caution * (slow - typical);
    stage.load.wait_ms(stage.expected.typical_ms) + service_ms
}
