//! The control thread: what the store tells becomes views for traffic.
//!
//! One loop watches the operators' configuration, another the targets' records,
//! a third the entries' own. Each reads its keys once, then waits for changes, and starts over when the
//! store loses its history or stops answering. Both publish through
//! [`Control::publish`].

mod backoff;
mod configuration;
mod membership;
mod records;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use hollowsail_fleet::{BookTiming, TargetBook};
use hollowsail_observe::events;
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform::settings::Settings;
use hollowsail_platform::store::{Lease, Store, StoreError};
use hollowsail_platform::targets::TargetRecord;

use crate::clock::Clock;
use crate::log::Log;
use crate::peers::PeerRecord;
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
    deployment: RefCell<Option<Arc<Deployment>>>,
    book: RefCell<TargetBook<Arc<TargetRecord>>>,
    /// This entry.
    me: PeerRecord,
    peers: RefCell<TargetBook<PeerRecord>>,
    /// Lease of this entry's record, while it has one.
    lease: Cell<Option<Lease>>,
    views: Cell<u64>,
}

impl Control {
    /// Nothing known yet.
    pub fn new(
        settings: &Settings,
        me: PeerRecord,
        clock: Clock,
        published: Arc<Published>,
    ) -> Rc<Self> {
        let timing = BookTiming {
            return_ms: RECORD_RETURN_MS,
        };
        Rc::new(Control {
            store: Store::new(&settings.store),
            clock,
            log: Log::new(&settings.host),
            published,
            deployment: RefCell::default(),
            book: RefCell::new(TargetBook::new(timing)),
            me,
            peers: RefCell::new(TargetBook::new(timing)),
            lease: Cell::new(None),
            views: Cell::new(0),
        })
    }

    /// Starts the loops on this thread.
    pub fn spawn(self: &Rc<Self>) {
        actix_rt::spawn(configuration::follow(self.clone()));
        actix_rt::spawn(records::follow(self.clone()));
        actix_rt::spawn(membership::keep_own_record(self.clone()));
        actix_rt::spawn(membership::follow(self.clone()));
    }

    /// Puts what is known in force for traffic.
    fn publish(&self) {
        let number = self.views.get() + 1;
        self.views.set(number);
        self.published.publish(View {
            number,
            deployment: self.deployment.borrow().clone(),
            targets: self.book.borrow().usable().cloned().collect(),
            peers: self.peers.borrow().usable().cloned().collect(),
        });
    }

    /// A call to the store gave no answer.
    fn store_failed(&self, err: &StoreError) {
        self.peers.borrow_mut().store_away();
        if self.book.borrow_mut().store_away() {
            self.log
                .line(events::STORE_LOST, format_args!("why=\"{err}\""));
        }
    }

    /// A call to the store was answered.
    fn store_answered(&self) {
        self.peers.borrow_mut().store_back(self.clock.now());
        if self.book.borrow_mut().store_back(self.clock.now()) {
            self.log.line(events::STORE_BACK, format_args!(""));
        }
    }
}
