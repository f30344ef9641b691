//! What traffic knows of the world: one immutable snapshot.

use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use hollowsail_fleet::{EmptiedHalls, Position};
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_targets::UsableTarget;
use tokio::sync::Notify;

use crate::crashes::Refused;
use crate::peers::PeerRecord;
use crate::rollouts::{PlacedOrder, Records};

/// The configuration in force, the targets that may get new work, the peers.
#[derive(Debug, Default)]
pub struct View {
    /// Rises with each publication.
    pub number: u64,
    /// Absent until the first one is known.
    pub deployment: Option<Arc<Deployment>>,
    /// The same as it lies in the store, for peers that can't read it there.
    pub source: Option<Arc<[u8]>>,
    /// The targets; the same one in the next view unless they changed.
    pub targets: Arc<Targets>,
    /// The halls whose targets get nothing new.
    pub emptied: EmptiedHalls,
    /// All records, for the same peers; absent while the store is away here.
    pub records: Option<KnownRecords>,
    /// Live entries, this one included once it is known to the store; the same ones in the
    /// next view unless they changed.
    pub peers: Arc<[PeerRecord]>,
    /// Requests that are refused since they end targets.
    pub refused: Refused,
    /// The operators' orders to roll versions out.
    pub orders: Vec<PlacedOrder>,
    /// What leaders of roll-outs wrote to the store.
    pub rollout_records: Records,
}

/// The targets, as their records and the operators' words on halls tell.
#[derive(Debug, Default)]
pub struct Targets {
    /// Those that may get new work.
    pub usable: Vec<UsableTarget>,
    /// Those whose records say that they leave.
    pub leaving: Vec<Incarnation>,
    /// Names of services whose usable targets all lie in emptied halls.
    pub emptied_services: BTreeSet<String>,
}

/// All targets' records as of a position of the store.
#[derive(Debug)]
pub struct KnownRecords {
    pub at: Position,
    /// Each with the position of its last change.
    pub records: Arc<[(Position, Arc<TargetRecord>)]>,
}

/// Where control puts views and traffic finds them.
#[derive(Debug, Default)]
pub struct Published {
    current: ArcSwap<View>,
    changed: Notify,
}

impl Published {
    /// The newest view.
    pub fn load(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Puts a view in force.
    pub fn publish(&self, view: View) {
        self.current.store(Arc::new(view));
        self.changed.notify_one();
    }

    /// Waits until a view is put in force that no earlier wait told of.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
