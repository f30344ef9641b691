//! Messages between entries about roll-outs.

use hollowsail_fleet::Position;
use hollowsail_rollout::{Evidence, Millis, Phase};
use serde::{Deserialize, Serialize};

/// Report to the leader of a roll-out: what the sender has observed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RolloutReport {
    pub service: String,
    /// Position of the order in the store.
    pub order: Position,
    /// The sender's phase.
    pub phase: Phase,
    /// Everything counted since the order.
    pub evidence: Evidence,
    /// The sender has requests running or results stored at a target of the old version.
    pub has_old_work: bool,
}

/// The phase in force, sent by the leader of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseNotice {
    pub service: String,
    /// Position of the order in the store.
    pub order: Position,
    pub phase: Phase,
    /// Time since the order was given, in milliseconds.
    pub elapsed_ms: Millis,
}
