//! The one context that is passed down: what all threads of an entry share.

use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use actix::Recipient;
use arc_swap::ArcSwap;
use hollowsail_config::Settings;
use hollowsail_fleet::{Incarnation, Millis};
use hollowsail_routing::{Rank, Switches};

use crate::configuration::Configuration;
use crate::crashes::Crashes;
use crate::events::{self, Event};
use crate::fact::Fact;
use crate::holdings::Holdings;
use crate::metrics;
use crate::once::OnceBook;
use crate::view::View;

/// State of one entry process, shared by its threads.
pub struct Entry {
    pub settings: Settings,
    /// Mechanisms at work; all of them, but for the bench.
    pub switches: Switches,
    pub incarnation: Incarnation,
    turn: AtomicUsize,
    started: Instant,
    view: ArcSwap<View>,
    pub once: Mutex<OnceBook>,
    /// Requests being served, for planned stops and for the limit.
    pub in_flight: Arc<AtomicU32>,
    /// What each organisation has in flight here.
    pub holdings: Arc<Holdings>,
    /// Requests that end targets.
    pub crashes: Crashes,
    next_run: AtomicU64,
    /// Where facts go; the control thread starts after this is made.
    facts: OnceLock<Recipient<Fact>>,
}

impl Entry {
    pub fn new(
        settings: Settings,
        switches: Switches,
        incarnation: Incarnation,
        view: View,
    ) -> Self {
        let once = OnceBook::new(incarnation, &settings.limits);
        Entry {
            settings,
            switches,
            incarnation,
            turn: AtomicUsize::new(0),
            started: Instant::now(),
            view: ArcSwap::from_pointee(view),
            once: Mutex::new(once),
            in_flight: Arc::default(),
            holdings: Arc::default(),
            crashes: Crashes::default(),
            next_run: AtomicU64::new(1),
            facts: OnceLock::new(),
        }
    }

    /// Milliseconds since this process started: the clock of every state
    /// machine.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// The newest snapshot.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes a snapshot; called by the control thread alone.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// True when this entry knows its peers, or its settings name none.
    pub fn knows_peers(&self) -> bool {
        self.view.load().joined || self.settings.seeds.is_empty()
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.load().configuration.clone()
    }

    /// An id that no other run of any process has.
    pub fn new_run_id(&self) -> String {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.incarnation)
    }

    /// A place in a queue; `latest_start` is in milliseconds from now.
    pub fn new_rank(&self, over_share: bool, priority: u8, latest_start: u64) -> Rank {
        Rank {
            over_share,
            urgency: Rank::urgency_of(priority),
            latest_start: self.now() + latest_start,
            arrival: self.next_run.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Counts choices, for choosing by turns.
    pub fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    /// Connects traffic to the control thread; done once, before any listener
    /// is open.
    pub fn set_facts(&self, facts: Recipient<Fact>) {
        assert!(self.facts.set(facts).is_ok(), "set twice");
    }

    /// Tells the control thread a fact; dropped and counted when it is behind.
    pub fn tell(&self, fact: Fact) {
        let facts = self.facts.get().expect("set before any listener is open");
        if facts.try_send(fact).is_err() {
            metrics::count_dropped_fact(&self.settings.name);
        }
    }

    /// Writes a log event.
    pub fn log(&self, event: Event, fields: std::fmt::Arguments<'_>) {
        events::emit(event, &self.settings.name, fields);
    }
}
