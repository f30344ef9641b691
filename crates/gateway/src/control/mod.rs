//! The control thread: what the store tells becomes views for traffic.
//!
//! One loop follows the operators' keys, another the targets' records,
//! a third the entries' own ([`follow`]); a fourth keeps this entry's record
//! there ([`own_record`]). Changes come from the store itself or from a reader of this
//! entry's hall ([`source`]). While the store doesn't answer, [`peer_state`] asks peers that
//! may still hear from it. When the store comes back from an older copy, [`era`] says what
//! stays known. All publish through [`Control::publish`], which tells traffic
//! what it may use ([`usable`]).

mod ask;
mod backoff;
mod configuration;
mod emptied;
mod era;
mod follow;
mod hall_records;
mod membership;
mod new_versions;
mod operators;
mod own_record;
mod pauses;
mod peer_state;
mod records;
mod refusals;
mod rollouts;
mod settle;
mod source;
mod usable;
mod worked_out;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_fleet::{ColdSpells, EmptiedHalls, Newest, Position, TargetBook};
use hollowsail_observe::events;
use hollowsail_platform::settings::Settings;
use hollowsail_platform::store::{Lease, Store, StoreError};
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::Millis;
use tokio::sync::Notify;

use self::configuration::Configuration;
use self::new_versions::NewVersions;
use self::pauses::WatchPauses;
use self::source::Readers;
use self::worked_out::WorkedOut;
use crate::clock::Clock;
use crate::crashes::{Refused, ToStore};
use crate::feed::Feeds;
use crate::log::Log;
use crate::metrics;
use crate::peers::PeerRecord;
use crate::rollouts::{Orders, Records, ToRecord};
use crate::view::{Published, View};

/// How long after the store's return a record may still come back, in
/// milliseconds: about two seconds by the operators' word, and some for a
/// record that arrives at the last moment.
const RECORD_RETURN_MS: u64 = 2_300;

/// State of the control thread.
pub struct Control {
    store: Store,
    clock: Clock,
    log: Log,
    published: Arc<Published>,
    /// The operators' configuration.
    configuration: RefCell<Newest<Configuration>>,
    /// The halls whose targets get nothing new.
    emptied: RefCell<EmptiedHalls>,
    book: RefCell<TargetBook<Arc<TargetRecord>>>,
    cold: RefCell<ColdSpells>,
    /// Versions of targets that have just come.
    new_versions: RefCell<NewVersions>,
    /// The operators' orders to roll versions out.
    orders: RefCell<Orders>,
    /// What leaders of roll-outs wrote.
    rollout_records: RefCell<Records>,
    /// Position of the store up to which the book is.
    records_at: Cell<Position>,
    /// The list of targets is longer than one page of the store.
    is_list_long: Cell<bool>,
    /// When the first list of entries came.
    entries_listed: Cell<Option<Millis>>,
    /// The store's era that everything known is of; `None` before its first answer.
    era: Cell<Option<u64>>,
    /// Told when the store stops answering.
    store_lost: Notify,
    /// Told when it answers again.
    store_back: Notify,
    pauses: WatchPauses,
    /// What this entry hears, for others of its hall.
    feeds: Arc<Feeds>,
    readers: Readers,
    seeds: Vec<SocketAddr>,
    /// This entry.
    me: PeerRecord,
    peers: RefCell<TargetBook<PeerRecord>>,
    /// Requests that the store or a peer lists as refused.
    refused: RefCell<Refused>,
    /// Shortest lease that the store gives.
    shortest_lease: Duration,
    /// Lease of this entry's record, while it has one.
    lease: Cell<Option<Lease>>,
    /// A planned stop began: no record any more.
    is_leaving: Cell<bool>,
    views: Cell<u64>,
    /// Parts of the last view that hold until the books change.
    worked_out: WorkedOut,
}

impl Control {
    /// Nothing known yet.
    pub fn new(
        settings: &Settings,
        me: PeerRecord,
        clock: Clock,
        published: Arc<Published>,
        feeds: Arc<Feeds>,
    ) -> Rc<Self> {
        Rc::new(Control {
            store: Store::new(&settings.store),
            clock,
            log: Log::new(&settings.host),
            published,
            configuration: RefCell::default(),
            emptied: RefCell::default(),
            book: RefCell::new(TargetBook::new(era::of_targets(settings))),
            cold: RefCell::default(),
            new_versions: RefCell::new(NewVersions::new(&settings.bounds)),
            orders: RefCell::default(),
            rollout_records: RefCell::default(),
            records_at: Cell::default(),
            is_list_long: Cell::new(false),
            entries_listed: Cell::new(None),
            era: Cell::new(None),
            store_lost: Notify::new(),
            store_back: Notify::new(),
            pauses: WatchPauses::new(&settings.bounds),
            feeds,
            readers: Readers::default(),
            seeds: settings.seeds.clone(),
            me,
            peers: RefCell::new(TargetBook::new(era::of_entries())),
            refused: RefCell::default(),
            shortest_lease: Duration::from_millis(settings.store.shortest_lease_ms),
            lease: Cell::new(None),
            is_leaving: Cell::new(false),
            views: Cell::new(0),
            worked_out: WorkedOut::default(),
        })
    }

    /// Starts the loops on this thread.
    pub fn spawn(self: &Rc<Self>, refused: ToStore, to_record: ToRecord) {
        actix_rt::spawn(follow::follow(self.clone(), operators::FOLLOWED));
        actix_rt::spawn(follow::follow(self.clone(), records::FOLLOWED));
        actix_rt::spawn(own_record::keep(self.clone()));
        actix_rt::spawn(follow::follow(self.clone(), membership::FOLLOWED));
        actix_rt::spawn(refusals::keep(self.clone(), refused));
        actix_rt::spawn(rollouts::record(self.clone(), to_record));
        actix_rt::spawn(peer_state::follow(self.clone()));
    }

    /// Puts what is known in force for traffic.
    fn publish(&self) {
        let number = self.views.get() + 1;
        self.views.set(number);
        let configuration = self.configuration.borrow().get().cloned();
        let emptied = self.emptied.borrow().clone();
        self.take_cold_spells();
        let (deployment, source) = configuration.map(|c| (c.deployment, c.source)).unzip();
        self.published.publish(View {
            number,
            deployment,
            source,
            targets: self.targets_now(&emptied),
            emptied,
            records: self.records_for_peers(),
            peers: self.peers_now(),
            refused: self.refused.borrow().clone(),
            orders: self.orders.borrow().all(),
            rollout_records: self.rollout_records.borrow().clone(),
        });
    }

    /// A call to the store gave no useful answer.
    fn store_failed(&self, err: &StoreError) {
        if !err.shows_outage() {
            return;
        }
        self.peers.borrow_mut().store_away();
        self.feeds.store_away();
        if self.book.borrow_mut().store_away() {
            self.log
                .line(events::STORE_LOST, format_args!("why=\"{err}\""));
            metrics::count_store_lost();
            self.store_lost.notify_waiters();
            self.publish();
        }
    }

    /// A call to the store was answered.
    fn store_answered(&self) {
        self.peers.borrow_mut().store_back(self.clock.now());
        if self.book.borrow_mut().store_back(self.clock.now()) {
            self.log.line(events::STORE_BACK, format_args!(""));
            self.feeds
                .store_back(Duration::from_millis(RECORD_RETURN_MS));
            self.store_back.notify_waiters();
            self.publish();
        }
    }
}
