//! The control thread: turns the contents of the store into views for traffic.
//!
//! Three loops ([`follow`]) follow the operators' keys, the targets' records and the
//! entries' records; a fourth maintains this entry's own record ([`own_record`]). Changes
//! come from the store or from a store follower of this hall ([`source`]). [`store_link`] has the
//! store's reachability, on which the loops wait. While the store is unreachable or a list can't be
//! completed ([`list_faults`]), [`peer_state`] queries peers; [`epoch`] and [`catch_up`] handle a
//! store restored from an older copy. [`keep_running`] starts loops again after a panic. All of
//! them publish through [`Control::publish`].

mod backoff;
mod catch_up;
mod configuration;
mod derived;
mod epoch;
mod evacuated_halls;
mod follow;
mod hall_records;
mod keep_running;
mod list_faults;
mod list_proofs;
mod list_reports;
mod membership;
mod new_versions;
mod operators;
mod own_record;
mod pauses;
mod peer_state;
mod records;
mod refusals;
mod repeat_units;
mod rollouts;
mod settle;
mod source;
mod store_link;
mod usable;

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowsail_fleet::{EvacuatedHalls, Newest, Position, TargetRegistry, WarmUps};
use hollowsail_observe::events;
use hollowsail_platform::settings::Settings;
use hollowsail_platform::store::{Lease, Store};
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::Millis;
use tokio::sync::Mutex;

use self::configuration::Configuration;
use self::derived::Derived;
pub use self::keep_running::keep_running;
use self::list_faults::IncompleteLists;
use self::new_versions::NewVersions;
use self::pauses::WatchPauses;
use self::source::Followers;
use self::store_link::StoreLink;
use crate::clock::Clock;
use crate::crashes::{RefusalReceiver, RefusedRequests};
use crate::feed::Feeds;
use crate::latch::Latch;
use crate::list_proofs::ProofReceiver;
use crate::list_states::ListStates;
use crate::log::Log;
use crate::metrics;
use crate::peers::{HeardPeers, PeerRecord};
use crate::repeats::SharedShare;
use crate::rollouts::{Orders, PhaseReceiver, PhaseRecords};
use crate::traffic::FromControl;
use crate::view::{Published, View};

/// Time after the store is reachable again within which a record may reappear, in
/// milliseconds: the operators' two seconds and a margin.
const RECORD_RETURN_MS: u64 = 2_300;

/// Receiver of a loop's requests, which each run of the loop locks until it ends.
type Shared<T> = Rc<Mutex<T>>;

fn shared<T>(receiver: T) -> Shared<T> {
    Rc::new(Mutex::new(receiver))
}

pub struct Control {
    store: Store,
    clock: Clock,
    log: Log,
    published: Arc<Published>,
    configuration: RefCell<Newest<Configuration>>,
    /// Evacuated halls: their targets get no new work.
    evacuated: RefCell<EvacuatedHalls>,
    registry: RefCell<TargetRegistry<Arc<TargetRecord>>>,
    warm_ups: RefCell<WarmUps>,
    new_versions: RefCell<NewVersions>,
    orders: RefCell<Orders>,
    /// Phases that roll-out leaders wrote to the store.
    rollout_records: RefCell<PhaseRecords>,
    /// Store position up to which the target registry is current.
    records_at: Cell<Position>,
    /// Lists of targets that were read. Changes between two of them may have been missed.
    lists_read: Cell<u64>,
    /// The list of targets exceeds one page of the store.
    is_list_long: Cell<bool>,
    /// When the first list of entries was applied.
    entries_listed_at: Cell<Option<Millis>>,
    /// Whether the store answers, and the epoch that the state belongs to.
    store_link: StoreLink,
    pauses: WatchPauses,
    /// Changes received by this entry, served to others of its hall.
    feeds: Arc<Feeds>,
    /// What the loops that follow lists do, and how far they are.
    lists: ListStates,
    incomplete_lists: IncompleteLists,
    /// This process's units of the allowance of repeats, which traffic uses.
    repeat_share: SharedShare,
    /// May be reloaded.
    settings: Arc<ArcSwap<Settings>>,
    followers: Followers,
    seeds: Vec<SocketAddr>,
    heard_peers: Arc<HeardPeers>,
    /// This entry's record.
    me: PeerRecord,
    peers: RefCell<TargetRegistry<PeerRecord>>,
    /// Requests that the store or a peer lists as refused.
    refused: RefCell<RefusedRequests>,
    /// Minimum lease that the store grants.
    min_lease: Duration,
    /// Lease of this entry's record, while it is registered.
    lease: Cell<Option<Lease>>,
    /// A planned stop began; the record isn't written any more.
    is_stopping: Cell<bool>,
    /// Nothing is sent any more, and the units of repeats are given up.
    retiring: Latch,
    retired: Latch,
    view_number: Cell<u64>,
    /// Parts of the last view that stay valid until the registries change.
    derived: Derived,
}

impl Control {
    pub fn new(
        reloaded: Arc<ArcSwap<Settings>>,
        me: PeerRecord,
        clock: Clock,
        shared: FromControl,
    ) -> Rc<Self> {
        let settings = reloaded.load_full();
        let FromControl {
            published,
            feeds,
            repeat_share,
            heard_peers,
        } = shared;
        Rc::new(Control {
            store: Store::new(&settings.store),
            clock,
            log: Log::new(&settings.host),
            published,
            configuration: RefCell::default(),
            evacuated: RefCell::default(),
            registry: RefCell::new(TargetRegistry::new(epoch::target_timing(&settings))),
            warm_ups: RefCell::default(),
            new_versions: RefCell::new(NewVersions::new(&settings.bounds)),
            orders: RefCell::default(),
            rollout_records: RefCell::default(),
            records_at: Cell::default(),
            lists_read: Cell::new(0),
            is_list_long: Cell::new(false),
            entries_listed_at: Cell::new(None),
            store_link: StoreLink::default(),
            pauses: WatchPauses::new(&settings.bounds),
            feeds,
            lists: ListStates::default(),
            incomplete_lists: IncompleteLists::default(),
            repeat_share,
            settings: reloaded,
            followers: Followers::default(),
            seeds: settings.seeds.clone(),
            heard_peers,
            me,
            peers: RefCell::new(TargetRegistry::new(epoch::entry_timing())),
            refused: RefCell::default(),
            min_lease: Duration::from_millis(settings.store.shortest_lease_ms),
            lease: Cell::new(None),
            is_stopping: Cell::new(false),
            retiring: Latch::default(),
            retired: Latch::default(),
            view_number: Cell::new(0),
            derived: Derived::default(),
        })
    }

    /// Starts the control loops on this thread.
    pub fn spawn(
        self: &Rc<Self>,
        refused: RefusalReceiver,
        to_record: PhaseReceiver,
        proofs: ProofReceiver,
    ) {
        self.keep_running("operators", |cx| {
            follow::follow(cx, operators::SUBSCRIPTION)
        });
        self.keep_running("targets", |cx| follow::follow(cx, records::SUBSCRIPTION));
        self.keep_running("own_record", own_record::maintain);
        self.keep_running("repeat_units", repeat_units::maintain);
        self.keep_running("entries", |cx| follow::follow(cx, membership::SUBSCRIPTION));
        let refused = shared(refused);
        self.keep_running("refusals", move |cx| refusals::persist(cx, refused.clone()));
        let to_record = shared(to_record);
        self.keep_running("rollouts", move |cx| {
            rollouts::persist(cx, to_record.clone())
        });
        let proofs = shared(proofs);
        self.keep_running("list_proofs", move |cx| {
            list_proofs::answer(cx, proofs.clone())
        });
        self.keep_running("peer_state", peer_state::follow);
        self.keep_running("catch_up", catch_up::follow);
        self.keep_running("list_reports", list_reports::report);
    }

    /// Keeps a loop running on this thread. An entry that no longer follows a list would go on
    /// with an old one.
    fn keep_running<F>(self: &Rc<Self>, name: &'static str, run: impl Fn(Rc<Self>) -> F + 'static)
    where
        F: Future<Output = ()> + 'static,
    {
        let (cx, log) = (self.clone(), self.log.clone());
        let on_panic = move |panics| {
            metrics::count_loop_restart(name);
            let fields = format_args!("loop={name} restarts={panics}");
            log.line(events::LOOP_RESTARTED, fields);
        };
        actix_rt::spawn(keep_running(move || run(cx.clone()), on_panic));
    }

    /// Publishes the present state as a new view.
    fn publish(&self) {
        let number = self.view_number.get() + 1;
        self.view_number.set(number);
        let configuration = self.configuration.borrow().get().cloned();
        let evacuated = self.evacuated.borrow().clone();
        self.update_warm_ups();
        let (deployment, source) = configuration.map(|c| (c.deployment, c.source)).unzip();
        self.published.publish(View {
            number,
            deployment,
            source,
            targets: self.targets_now(&evacuated),
            evacuated,
            records: self.records_for_peers(),
            is_store_reachable: self.store_link.is_reachable(),
            peers: self.peers_now(),
            refused: self.refused.borrow().clone(),
            orders: self.orders.borrow().all(),
            rollout_records: self.rollout_records.borrow().clone(),
        });
    }
}
