//! State shared by all threads of an entry.

use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use actix::Recipient;
use arc_swap::ArcSwap;
use hollowsail_config::Settings;
use hollowsail_fleet::{Incarnation, Millis};
use hollowsail_routing::{Rank, Switches};

use crate::attempt_report::AttemptReport;
use crate::configuration::Configuration;
use crate::crashes::Crashes;
use crate::events::{self, Event};
use crate::in_flight_by_org::InFlightByOrg;
use crate::metrics;
use crate::once_ledger::OnceLedger;
use crate::view::View;

/// State of one entry process, shared by its threads.
pub struct Entry {
    pub settings: Settings,
    /// Mechanisms that are switched on; all except in measurements.
    pub switches: Switches,
    pub incarnation: Incarnation,
    turn: AtomicUsize,
    started: Instant,
    view: ArcSwap<View>,
    pub once: Mutex<OnceLedger>,
    /// Number of requests being served, for planned stops and the limit.
    pub in_flight: Arc<AtomicU32>,
    /// Requests in flight by organisation.
    pub in_flight_by_org: Arc<InFlightByOrg>,
    /// Requests that are known to crash targets.
    pub crashes: Crashes,
    next_run: AtomicU64,
    /// Recipient of attempt reports; set after the control thread has started.
    reports: OnceLock<Recipient<AttemptReport>>,
}

impl Entry {
    pub fn new(
        settings: Settings,
        switches: Switches,
        incarnation: Incarnation,
        view: View,
    ) -> Self {
        let once = OnceLedger::new(incarnation, &settings.limits);
        Entry {
            settings,
            switches,
            incarnation,
            turn: AtomicUsize::new(0),
            started: Instant::now(),
            view: ArcSwap::from_pointee(view),
            once: Mutex::new(once),
            in_flight: Arc::default(),
            in_flight_by_org: Arc::default(),
            crashes: Crashes::default(),
            next_run: AtomicU64::new(1),
            reports: OnceLock::new(),
        }
    }

    /// Milliseconds since the entry was created; the clock of all its state.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes a view; called by the control thread only.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// True when this entry has joined the fleet, or its settings name no seeds.
    pub fn has_joined_fleet(&self) -> bool {
        self.view.load().joined || self.settings.seeds.is_empty()
    }

    /// The configuration in force at this entry.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.view.load().configuration.clone()
    }

    /// Creates a run id that is unique in the fleet.
    pub fn new_run_id(&self) -> String {
        let number = self.next_run.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{number:x}", self.incarnation)
    }

    /// Creates a position in a wait queue; `latest_start_ms` counts from now.
    pub fn new_rank(&self, over_share: bool, priority: u8, latest_start_ms: u64) -> Rank {
        Rank {
            over_share,
            urgency: Rank::urgency_of(priority),
            latest_start: self.now() + latest_start_ms,
            arrival: self.next_run.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Number of earlier choices of a target, for the round-robin policy.
    pub fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, Ordering::Relaxed)
    }

    /// Sets the recipient of attempt reports. Has to be called exactly once, before a
    /// listener serves requests.
    pub fn set_report_recipient(&self, recipient: Recipient<AttemptReport>) {
        assert!(
            self.reports.set(recipient).is_ok(),
            "the report recipient is already set"
        );
    }

    /// Sends a report to the control thread; drops and counts it when the mailbox is full.
    pub fn report(&self, report: AttemptReport) {
        let recipient = self.reports.get().expect("set before any listener serves");
        if recipient.try_send(report).is_err() {
            metrics::count_dropped_report(&self.settings.name);
        }
    }

    /// Writes a log event.
    pub fn log(&self, event: Event, fields: std::fmt::Arguments<'_>) {
        events::emit(event, &self.settings.name, fields);
    }
}
