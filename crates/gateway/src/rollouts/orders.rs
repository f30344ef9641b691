//! The operators' orders to roll versions out, and the phases recorded in the store.

use std::collections::BTreeMap;

use hollowsail_fleet::Position;
use hollowsail_platform::operators::RolloutOrder;
use hollowsail_rollout::Phase;
use serde::{Deserialize, Serialize};

/// Prefix of the keys that leaders of roll-outs write, followed by the service's name.
pub const PREFIX: &str = "hollowsail/rollouts/";

/// An order and its position in the store. The position distinguishes orders with equal
/// contents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedOrder {
    pub order: RolloutOrder,
    pub at: Position,
}

/// The newest order for each service.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    by_service: BTreeMap<String, PlacedOrder>,
}

impl Orders {
    /// Applies the complete list as of a position. A missing order of an older epoch may
    /// have been lost rather than withdrawn, and stays. Returns true if the orders changed.
    pub fn apply_list(&mut self, as_of: Position, listed: Vec<PlacedOrder>) -> bool {
        let before = self.by_service.len();
        let is_listed =
            |service: &String| listed.iter().any(|placed| placed.order.service == *service);
        self.by_service
            .retain(|service, known| known.at.epoch < as_of.epoch || is_listed(service));
        let withdrawn = before != self.by_service.len();
        let mut is_new = false;
        for placed in listed {
            is_new |= self.put(placed);
        }
        withdrawn || is_new
    }

    /// Applies one order. Returns true if it is newer than the known one for its service.
    pub fn put(&mut self, placed: PlacedOrder) -> bool {
        let service = &placed.order.service;
        let known = self.by_service.get(service);
        let is_newer = known.is_none_or(|known| known.at < placed.at);
        if is_newer {
            self.by_service.insert(service.clone(), placed);
        }
        is_newer
    }

    /// Withdraws the order for a service as of a position. Returns true if the orders
    /// changed.
    pub fn withdraw(&mut self, service: &str, at: Position) -> bool {
        let known = self.by_service.get(service);
        let is_newer = known.is_some_and(|known| known.at < at);
        is_newer && self.by_service.remove(service).is_some()
    }

    pub fn all(&self) -> Vec<PlacedOrder> {
        self.by_service.values().cloned().collect()
    }
}

/// Phase that a leader wrote for an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedPhase {
    /// Position of the order.
    pub order: Position,
    /// [`Phase::Waiting`] until there is a verdict.
    pub phase: Phase,
}

/// Recorded phases by service.
pub type PhaseRecords = BTreeMap<String, RecordedPhase>;
