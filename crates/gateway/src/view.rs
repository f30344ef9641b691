//! Immutable snapshot of the fleet's state, passed from control to traffic.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hollowsail_fleet::{EvacuatedHalls, Position};
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::Millis;
use hollowsail_streams::ListedVersion;
use hollowsail_targets::UsableTarget;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::crashes::RefusedRequests;
use crate::peers::PeerRecord;
use crate::rollouts::{PhaseRecords, PlacedOrder};

/// The configuration, the targets that may get new work, and the peers.
#[derive(Debug, Default)]
pub struct View {
    /// Increases with each publication.
    pub number: u64,
    /// Absent until the first configuration is known.
    pub deployment: Option<Arc<Deployment>>,
    /// The configuration as stored, for peers that cannot reach the store.
    pub source: Option<Arc<[u8]>>,
    /// Shared with the previous view unless the targets changed.
    pub targets: Arc<Targets>,
    /// Evacuated halls, whose targets get nothing new.
    pub evacuated: EvacuatedHalls,
    /// All target records, for peers that cannot reach the store.
    pub records: KnownRecords,
    /// The store answers this entry, so that the records are followed.
    pub is_store_reachable: bool,
    /// Live entries, including this one once its record is in the store. Shared with the
    /// previous view unless they changed.
    pub peers: Arc<[PeerRecord]>,
    /// Refused requests that crash targets.
    pub refused: RefusedRequests,
    /// Rollout orders of the operators.
    pub orders: Vec<PlacedOrder>,
    /// Rollout phases recorded in the store.
    pub rollout_records: PhaseRecords,
}

impl View {
    /// True if the whole list of targets was received and this entry follows its changes.
    pub fn knows_all_targets(&self) -> bool {
        self.is_store_reachable && self.records.at > Position::default()
    }
}

/// The targets according to their records and the evacuated halls.
#[derive(Debug, Default)]
pub struct Targets {
    /// Targets that may get new work.
    pub usable: Vec<UsableTarget>,
    /// Targets whose records say that they are draining.
    pub draining: Vec<Incarnation>,
    /// Targets that had left before the store was restored, and whose record is back.
    pub restored: Vec<RestoredTarget>,
    /// Services whose usable targets are all in evacuated halls.
    pub evacuated_services: BTreeSet<String>,
    /// Software versions of all targets, in order.
    pub versions: Vec<ListedVersion>,
}

/// A target that had left before the store was restored from a copy that still has its record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestoredTarget {
    pub incarnation: Incarnation,
    /// Position of that record.
    pub at: Position,
}

/// All target records at a store position.
#[derive(Debug, Default)]
pub struct KnownRecords {
    pub at: Position,
    /// Number of complete lists that were read. Changes between two of them may have been missed.
    pub lists_read: u64,
    /// Each with the store position of its last change.
    pub records: Arc<[(Position, Arc<TargetRecord>)]>,
    /// Targets of these whose record is missing, which isn't final yet, each with the position at
    /// which it was found missing.
    pub missing: Arc<[(String, Position)]>,
    /// When that is final; `None` while it isn't known, or if none is missing.
    pub missing_final_at: Option<Millis>,
}

/// Holds the current view; control publishes it, traffic loads it.
#[derive(Debug, Default)]
pub struct Published {
    current: ArcSwap<View>,
    changed: Notify,
}

impl Published {
    /// The current view.
    pub fn load(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Replaces the current view.
    pub fn publish(&self, view: View) {
        self.current.store(Arc::new(view));
        self.changed.notify_one();
    }

    /// Waits until a view is published that no earlier call has reported.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
