//! Whether a request is begun at all.
//!
//! A request that cannot finish in time costs its earlier stages and misses all
//! the same. So each is judged before its first stage: the wait behind those
//! that go before it, and the time its stages take, must fit into its deadline.
//!
//! An organisation that holds more than its weighted share of what is in flight
//! waits behind the others ([`Holding::is_over`]); what they leave unused is
//! lent to it, since nobody waits then.

use crate::deadline::StageExpectation;
use crate::Millis;

/// Targets of one service that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLoad {
    /// Requests that its targets serve at a time.
    pub slots: f64,
    /// Requests that they hold, and those that go before the one judged.
    pub ahead: f64,
}

impl ServiceLoad {
    /// Time until a slot is free for one more, when each takes `typical_ms`.
    pub fn wait_ms(&self, typical_ms: Millis) -> f64 {
        let waiting = (self.ahead + 1.0 - self.slots).max(0.0);
        waiting / self.slots.max(1.0) * typical_ms as f64
    }
}

/// One stage of a request to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StageDemand {
    pub expected: StageExpectation,
    pub load: ServiceLoad,
}

/// What one organisation holds of what this entry has in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holding {
    pub own: u32,
    pub all: u32,
    /// Weight of this organisation over the weights of all that have requests
    /// in flight, itself included.
    pub share: f64,
}

impl Holding {
    /// True when one more would be far above the share.
    pub fn is_over(&self) -> bool {
        let fair = self.share * f64::from(self.all + 1);
        let slack = 1.0 + SLACK * (1.0 - self.share);
        f64::from(self.own + 1) > fair * slack + SLACK_REQUESTS
    }
}

/// How far above its share a small organisation may be: an entry sees only its
/// own part of the traffic, and some halls get more of an organisation's than
/// others. A large one may be less far above.
const SLACK: f64 = 1.0;
/// The same, for small numbers.
const SLACK_REQUESTS: f64 = 1.0;

/// What is decided of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Admit,
    /// It would need about so many milliseconds.
    CannotFinish(Millis),
}

/// Judges a request with `remaining_ms` left.
///
/// `caution`, 0 to 1, is the operators' weight of cost against attainment: at
/// 0 a request is begun when a typical one would make it, at 1 only when a
/// slow one would.
pub fn admit(remaining_ms: Millis, stages: &[StageDemand], caution: f64) -> Verdict {
    let needed: f64 = stages.iter().map(|stage| needed_ms(stage, caution)).sum();
    if needed > remaining_ms as f64 {
        Verdict::CannotFinish(needed as Millis)
    } else {
        Verdict::Admit
    }
}

/// The demands on the way through a graph of stages that takes longest.
///
/// Each stage comes with the positions of those that it starts after, all of
/// them earlier ones, and with its demand: `None` when it takes no time.
pub fn longest_way<'a>(
    stages: impl Iterator<Item = (&'a [usize], Option<StageDemand>)>,
) -> Vec<StageDemand> {
    let mut ways: Vec<Vec<StageDemand>> = Vec::new();
    for (after, demand) in stages {
        let before = after.iter().map(|&needed| &ways[needed]);
        let mut way = longest(before).cloned().unwrap_or_default();
        way.extend(demand);
        ways.push(way);
    }
    longest(ways.iter()).cloned().unwrap_or_default()
}

fn longest<'a>(ways: impl Iterator<Item = &'a Vec<StageDemand>>) -> Option<&'a Vec<StageDemand>> {
    let total = |way: &Vec<StageDemand>| -> f64 { way.iter().map(|at| needed_ms(at, 0.0)).sum() };
    ways.max_by(|a, b| total(a).total_cmp(&total(b)))
}

fn needed_ms(stage: &StageDemand, caution: f64) -> f64 {
    let typical = stage.expected.typical_ms as f64;
    let slow = (stage.expected.slow_ms as f64).max(typical);
    let own_time = typical + caution * (slow - typical);
    stage.load.wait_ms(stage.expected.typical_ms) + own_time
}
