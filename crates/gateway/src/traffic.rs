//! State of the traffic thread.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowsail_clock::BootInstant;
use hollowsail_fleet::Throttle;
use hollowsail_observe::LogThrottle;
use hollowsail_platform::deployment::{Deployment, ServiceKey};
use hollowsail_platform::settings::Settings;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::repeats::{SendPermit, Work};
use hollowsail_routing::{EventLoopLag, LatencyWindow, Millis, PrefillTimes};
use hollowsail_targets::{LimitKind, LimitReport, Target, TargetTable};
use tokio::sync::{mpsc, Notify};

use crate::callers::admission::Admission;
use crate::clock::Clock;
use crate::crashes::Crashes;
use crate::feed::Feeds;
use crate::host_load::HostLoad;
use crate::kept_bytes::KeptBytes;
use crate::latch::Latch;
use crate::list_proofs::ListProofs;
use crate::log::Log;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::peers::{HeardPeers, PeerId, PeerRecord, Peers};
use crate::placement::Placements;
use crate::pools::Pools;
use crate::reach::{self, Reach};
use crate::repeats::{Repeat, Repeats, SharedShare};
use crate::request::PendingRequests;
use crate::reservations::Reservations;
use crate::rollouts::{RecordPhase, Rollouts};
use crate::stream_origins::StreamOrigins;
use crate::view::{Published, Targets, View};

/// Interval between broadcasts of one target's limit, in milliseconds, since the limit may
/// change with each answer.
const LIMIT_BROADCAST_INTERVAL_MS: Millis = 250;

/// Interval between log lines on one unusable header of one target, in milliseconds, since it
/// may occur in every answer.
const HEADER_LOG_INTERVAL_MS: Millis = 60_000;

/// Interval between log lines on the connections of one service, in milliseconds, since every
/// request may wait for one.
const CONNECTION_LOG_INTERVAL_MS: Millis = 5_000;

/// Interval between updates of the charges of repeats; also the shortest one between reports.
const CHARGES_INTERVAL: Duration = Duration::from_secs(1);

/// True when the targets or the services they belong to changed between two views.
fn targets_changed(before: &View, newest: &View) -> bool {
    deployment_changed(before, newest) || !Arc::ptr_eq(&before.targets, &newest.targets)
}

fn deployment_changed(before: &View, newest: &View) -> bool {
    match (&before.deployment, &newest.deployment) {
        (Some(before), Some(newest)) => !Arc::ptr_eq(before, newest),
        (before, newest) => before.is_some() || newest.is_some(),
    }
}

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopping {
    No,
    /// Not ready; new requests are still served.
    Serving,
    /// New requests are refused; those in progress finish.
    RefusingNew,
}

/// State that the control thread shares with traffic.
#[derive(Clone, Default)]
pub struct FromControl {
    pub published: Arc<Published>,
    pub feeds: Arc<Feeds>,
    pub repeat_share: SharedShare,
    /// Peers that the control thread asks when it knows no others.
    pub heard_peers: Arc<HeardPeers>,
}

/// Channels to the control thread.
pub struct ToControl {
    pub proofs: ListProofs,
    pub phases: mpsc::Sender<RecordPhase>,
}

/// State shared by all requests.
pub struct Traffic {
    settings: Arc<ArcSwap<Settings>>,
    /// Record of this entry.
    pub me: PeerRecord,
    mechanisms: Mechanisms,
    pub clock: Clock,
    pub log: Log,
    published: Arc<Published>,
    /// Changes received from the store, for peers that request them.
    pub feeds: Arc<Feeds>,
    proofs: ListProofs,
    view: RefCell<Arc<View>>,
    targets: RefCell<TargetTable>,
    pub reach: Reach,
    pub peers: Peers,
    pub heard_peers: Arc<HeardPeers>,
    pub pools: Pools,
    pub placements: Placements,
    pub crashes: Crashes,
    pub rollouts: Rollouts,
    pub reservations: Reservations,
    pub stream_origins: StreamOrigins,
    /// Throttles broadcasts of targets' limits.
    pub limit_broadcasts: Throttle<(Incarnation, LimitKind)>,
    /// Throttles log lines on unusable headers, by target id and header.
    header_log: RefCell<LogThrottle<(String, String)>>,
    /// Throttles log lines on scarce connections, by service name.
    connection_log: RefCell<LogThrottle<String>>,
    repeats: Repeats,
    /// Recent latencies of requests, by service name.
    latencies: RefCell<HashMap<String, LatencyWindow>>,
    /// Recent times of whole streams, by service name.
    stream_times: RefCell<HashMap<String, LatencyWindow>>,
    /// Recent times to the first event, by service name.
    prefill_times: RefCell<HashMap<String, PrefillTimes>>,
    /// Requests that have no answer yet.
    pub pending: PendingRequests,
    /// Requests from their head to the end of their response.
    pub in_flight: Cell<usize>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    pub stopping: Cell<Stopping>,
    /// Bytes that this host keeps for others.
    pub kept: Rc<KeptBytes>,
    /// What this host's processor and link carry.
    pub load: HostLoad,
    /// Decides on new connections of callers.
    pub admission: Admission,
    /// Event-loop lag of this thread.
    pub lag: Cell<EventLoopLag>,
    /// Set shortly before the process exits: requests not sent to a target yet are refused.
    pub final_shutdown: Latch,
    /// During a planned stop, when requests that targets haven't answered are answered by this entry.
    pub last_answers_at: Cell<Option<BootInstant>>,
    /// Set then.
    pub last_answers: Latch,
    /// Notified when idle connections of callers have to close.
    pub close_idle: Notify,
    /// Notified with each view that has a configuration.
    configured: Notify,
    /// Notified when targets come into use, leave, or change.
    pub targets_changed: Notify,
}

impl Traffic {
    /// Returns a function that creates the state; it has to be called on the traffic thread.
    pub fn prepare(
        settings: Arc<ArcSwap<Settings>>,
        me: PeerRecord,
        mechanisms: Mechanisms,
        clock: Clock,
        FromControl {
            published,
            feeds,
            repeat_share,
            heard_peers,
        }: FromControl,
        ToControl { proofs, phases }: ToControl,
        crashes: Crashes,
    ) -> impl FnOnce() -> Rc<Traffic> + Send {
        move || {
            let load = HostLoad::default();
            let stream_origins = StreamOrigins::new(me.id.0, load.peers.clone());
            let log = Log::new(&settings.load().host);
            Rc::new_cyclic(|cx| Traffic {
                kept: KeptBytes::new(settings.load().limits.memory_mb, log.clone()),
                log,
                me,
                mechanisms,
                peers: Peers::default(),
                heard_peers,
                pools: Pools::default(),
                placements: Placements::default(),
                crashes,
                reservations: Reservations::default(),
                stream_origins,
                rollouts: Rollouts::new(phases),
                header_log: RefCell::new(LogThrottle::new(HEADER_LOG_INTERVAL_MS)),
                connection_log: RefCell::new(LogThrottle::new(CONNECTION_LOG_INTERVAL_MS)),
                limit_broadcasts: Throttle::new(LIMIT_BROADCAST_INTERVAL_MS),
                view: RefCell::new(published.load()),
                published,
                feeds,
                proofs,
                settings,
                clock,
                targets: RefCell::new(reach::target_table(cx)),
                reach: Reach::default(),
                repeats: Repeats::new(repeat_share),
                latencies: RefCell::default(),
                stream_times: RefCell::default(),
                prefill_times: RefCell::default(),
                pending: PendingRequests::default(),
                in_flight: Cell::new(0),
                connections: Cell::new(0),
                stopping: Cell::new(Stopping::No),
                load,
                admission: Admission::default(),
                lag: Cell::default(),
                final_shutdown: Latch::default(),
                last_answers_at: Cell::default(),
                last_answers: Latch::default(),
                close_idle: Notify::new(),
                configured: Notify::new(),
                targets_changed: Notify::new(),
            })
        }
    }

    /// The current settings.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// True when an optional mechanism is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism)
    }

    /// Applies views as they are published.
    pub async fn follow_views(self: Rc<Self>) {
        loop {
            self.published.changed().await;
            self.update_view();
        }
    }

    fn update_view(self: &Rc<Self>) {
        let newest = self.published.load();
        if newest.number == self.view.borrow().number {
            return;
        }
        let before = self.view.borrow().clone();
        let declined_ownership = self.declines_ownership();
        self.crashes
            .apply_listed(self, &before.refused, &newest.refused);
        let targets_changed = targets_changed(&before, &newest);
        let mut changed = BTreeSet::new();
        if let Some(deployment) = newest.deployment.as_ref().filter(|_| targets_changed) {
            let now = self.clock.now();
            let Targets {
                usable, draining, ..
            } = &*newest.targets;
            let mut targets = self.targets.borrow_mut();
            changed = targets.update(now, deployment, usable, draining);
        }
        let peers_changed = !Arc::ptr_eq(&before.peers, &newest.peers);
        if peers_changed {
            self.peers.update(self, &newest.peers);
            self.stream_origins
                .retain_peers(|run| self.peers.is_live(PeerId(run)));
        }
        self.stream_origins.update_versions(
            self.clock.now(),
            &newest.targets.versions,
            newest.knows_all_targets(),
            newest.records.lists_read,
        );
        *self.view.borrow_mut() = newest.clone();
        self.rollouts.apply_view(self, &newest);
        if !changed.is_empty() {
            self.targets_changed.notify_waiters();
        }
        if peers_changed || deployment_changed(&before, &newest) {
            self.propagate_targets();
        } else if !changed.is_empty() {
            self.propagate_targets_of(&changed);
        }
        if self.deployment_in_use().is_some() {
            self.configured.notify_waiters();
        }
        if declined_ownership && !self.declines_ownership() {
            self.peers.end_declining(self);
        }
    }

    /// Updates queues and schedulers with the usable targets.
    pub fn propagate_targets(self: &Rc<Self>) {
        self.pools.update_targets(self);
        self.placements.update_targets(self);
        self.pools.hand_over(self);
    }

    /// Updates queues and schedulers of some services with the usable targets.
    fn propagate_targets_of(self: &Rc<Self>, services: &BTreeSet<ServiceKey>) {
        let Some(deployment) = self.deployment_in_use() else {
            return;
        };
        for key in services {
            let name = &deployment.service(*key).name;
            self.pools.update_service_targets(self, name);
            self.placements.update_service_targets(self, name);
        }
    }

    /// Takes a draining incarnation out of use. True when it was not draining before.
    pub fn mark_draining(self: &Rc<Self>, incarnation: &Incarnation) -> bool {
        let now = self.clock.now();
        let has_changed = self.targets.borrow_mut().record_draining(now, incarnation);
        if has_changed {
            self.targets_changed.notify_waiters();
            self.propagate_targets();
        }
        has_changed
    }

    /// Records the reported limit of an incarnation. True when the limit changed.
    pub fn record_target_limit(
        self: &Rc<Self>,
        incarnation: &Incarnation,
        report: LimitReport,
    ) -> bool {
        let now = self.clock.now();
        let has_changed = self
            .targets
            .borrow_mut()
            .record_limit(now, incarnation, report);
        if has_changed {
            self.propagate_targets();
        }
        has_changed
    }

    /// True when an unusable header of an incarnation may be logged again.
    pub fn is_header_log_due(&self, incarnation: &Incarnation, header: &str) -> bool {
        let subject = (incarnation.id.clone(), header.to_string());
        let now = self.clock.now();
        self.header_log.borrow_mut().is_due(now, subject)
    }

    /// True when a line on the connections of a service may be logged again.
    pub fn is_connection_log_due(&self, service: &str) -> bool {
        let now = self.clock.now();
        let mut log = self.connection_log.borrow_mut();
        log.is_due(now, service.to_string())
    }

    /// True while a target of the service is warming up or reports a limit: requests of all
    /// entries have to go through the scheduler.
    pub fn is_rate_limited(&self, service: &str) -> bool {
        self.with_targets(service, |targets| {
            targets.iter().any(|target| target.is_rate_limited())
        })
    }

    /// Records a backoff that an incarnation asked for. True when it extends the current one.
    pub fn record_backoff(&self, incarnation: &Incarnation, backoff: Duration) -> bool {
        let backoff_ms = Millis::try_from(backoff.as_millis()).unwrap_or(Millis::MAX);
        let now = self.clock.now();
        self.targets
            .borrow_mut()
            .record_backoff(now, incarnation, backoff_ms)
    }

    /// End of a target's backoff, if it is backing off.
    pub fn backoff_until(&self, target: &Target) -> Option<Millis> {
        let targets = self.targets.borrow();
        targets.backoff_until(self.clock.now(), target.incarnation())
    }

    /// True the first time that this entry broadcasts that a target is draining.
    pub fn mark_draining_broadcast(&self, incarnation: &Incarnation) -> bool {
        self.targets.borrow_mut().mark_broadcast(incarnation)
    }

    /// The current configuration, if one is known. Applies a newer view first.
    pub fn deployment(self: &Rc<Self>) -> Option<Arc<Deployment>> {
        self.update_view();
        self.view.borrow().deployment.clone()
    }

    /// The current configuration; waits until one is known.
    pub async fn wait_for_deployment(self: &Rc<Self>) -> Arc<Deployment> {
        loop {
            let configured = self.configured.notified();
            if let Some(deployment) = self.deployment() {
                return deployment;
            }
            configured.await;
        }
    }

    /// The current view. Applies a newer one first.
    pub fn view(self: &Rc<Self>) -> Arc<View> {
        self.update_view();
        self.view.borrow().clone()
    }

    /// The configuration of the view in use, without a check for a newer one.
    pub fn deployment_in_use(&self) -> Option<Arc<Deployment>> {
        self.view.borrow().deployment.clone()
    }

    /// True while this entry should own no keys: its event loop lags, or it has no configuration.
    pub fn declines_ownership(&self) -> bool {
        self.lag.get().is_lagging() || self.deployment_in_use().is_none()
    }

    /// True when new connections are accepted.
    pub fn is_ready(self: &Rc<Self>) -> bool {
        let serves = self.stopping.get() == Stopping::No && !self.reach.is_isolated(self);
        serves && self.deployment().is_some()
    }

    /// All usable targets by service.
    pub fn targets(&self) -> Ref<'_, TargetTable> {
        self.targets.borrow()
    }

    /// The usable target with this incarnation.
    pub fn target(&self, incarnation: &Incarnation) -> Option<Rc<Target>> {
        self.targets.borrow().get(incarnation)
    }

    /// False once a target gets no new work. Applies a newer view first.
    pub fn is_in_use(self: &Rc<Self>, target: &Target) -> bool {
        self.update_view();
        self.target(target.incarnation()).is_some()
    }

    /// Usable targets of a service, by its name.
    pub fn targets_named(&self, service: &str) -> Vec<Rc<Target>> {
        self.with_targets(service, <[Rc<Target>]>::to_vec)
    }

    /// Closes idle connections to targets that should carry no further request.
    pub fn prune_connections(&self) {
        let targets = self.targets.borrow();
        targets.all().for_each(|target| target.pool.prune());
    }

    /// Number of usable targets of a service, by its name.
    pub fn target_count(&self, service: &str) -> usize {
        self.with_targets(service, <[Rc<Target>]>::len)
    }

    /// Passes the usable targets of a service to `read`, without copying them.
    pub fn with_targets<T>(&self, service: &str, read: impl FnOnce(&[Rc<Target>]) -> T) -> T {
        let view = self.view.borrow();
        let deployment = view.deployment.as_ref();
        let key = deployment.and_then(|deployment| deployment.service_named(service));
        match key {
            Some(key) => read(self.targets.borrow().targets_of(key)),
            None => read(&[]),
        }
    }

    /// Number of the view in use, for log lines.
    pub fn view_number(&self) -> u64 {
        self.view.borrow().number
    }

    /// True once the targets in use are all that the store had at some moment after the call; false if
    /// that can't be shown now.
    pub async fn prove_target_list(self: &Rc<Self>) -> bool {
        let is_complete = self.proofs.prove().await;
        // Loads the view with them.
        self.deployment();
        is_complete
    }

    /// Permits the first send of a caller's request to a service. It was sent after
    /// `sent_after`.
    pub fn permit_request(&self, service: &str, sent_after: Millis) -> SendPermit {
        let (now, settings) = (self.clock.now(), self.settings());
        self.repeats
            .permit_request(now, sent_after, &settings.bounds, service)
    }

    /// Permits to send work again; `None` if this host's share of the repeats is used up.
    pub fn permit_repeat(&self, repeat: &Repeat<'_>) -> Option<SendPermit> {
        let (now, settings) = (self.clock.now(), self.settings());
        self.repeats.grant(now, &settings.bounds, &self.log, repeat)
    }

    /// See [`Repeats::cover`].
    pub fn cover_repeats(&self, service: &str, work: &Work) -> bool {
        let (now, settings) = (self.clock.now(), self.settings());
        self.repeats.cover(now, &settings.bounds, service, work)
    }

    /// Says which units of the allowance of repeats are charged, and logs the repeats at the end of each
    /// window, until the thread ends.
    pub async fn report_repeats(self: Rc<Self>) {
        let mut reported_at = self.clock.now();
        loop {
            tokio::time::sleep(CHARGES_INTERVAL).await;
            let (now, settings) = (self.clock.now(), self.settings());
            self.repeats.update_charges(now, &settings.bounds);
            let window_ms = (settings.bounds.retry_window_s * 1_000.0) as Millis;
            if reported_at + window_ms <= now {
                reported_at = now;
                self.repeats.report(now, &settings.bounds, &self.log);
            }
        }
    }

    /// Median latency of a service in milliseconds; `None` before it is known.
    pub fn typical_ms(&self, deployment: &Deployment, service: ServiceKey) -> Option<Millis> {
        let name = &deployment.service(service).name;
        self.latencies.borrow().get(name)?.quantile(0.5)
    }

    /// 99th percentile of the latency of a service in milliseconds; `None` before it is known.
    pub fn p99_ms(&self, deployment: &Deployment, service: ServiceKey) -> Option<Millis> {
        let name = &deployment.service(service).name;
        self.latencies.borrow().get(name)?.quantile(0.99)
    }

    /// Records the latency of a request.
    pub fn record_latency(&self, deployment: &Deployment, service: ServiceKey, ms: Millis) {
        let name = &deployment.service(service).name;
        let mut latencies = self.latencies.borrow_mut();
        let window = latencies.entry(name.clone()).or_default();
        window.record(self.clock.now(), ms);
    }

    /// Records the time of a whole stream.
    pub fn record_stream_time(&self, deployment: &Deployment, service: ServiceKey, took: Duration) {
        let name = &deployment.service(service).name;
        let mut times = self.stream_times.borrow_mut();
        let window = times.entry(name.clone()).or_default();
        window.record(self.clock.now(), took.as_millis() as u64);
    }

    /// What nearly all recent streams, or other requests, took at a service; `None` if there were none.
    pub fn usual_time(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        is_stream: bool,
    ) -> Option<Duration> {
        let times = match is_stream {
            true => self.stream_times.borrow(),
            false => self.latencies.borrow(),
        };
        let usual = times.get(&deployment.service(service).name)?.usual()?;
        Some(Duration::from_millis(usual))
    }

    /// Records the time from the send of a generation to its first event.
    pub fn record_prefill(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        own_tokens: u64,
        took: Duration,
    ) {
        let name = &deployment.service(service).name;
        let mut prefill_times = self.prefill_times.borrow_mut();
        let times = prefill_times.entry(name.clone()).or_default();
        times.record(own_tokens, took.as_millis() as u64);
    }

    /// Expected time from the send of a generation to its first event.
    pub fn prefill_time(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        own_tokens: u64,
    ) -> Duration {
        let name = &deployment.service(service).name;
        let prefill_times = self.prefill_times.borrow();
        let unknown = PrefillTimes::default();
        let times = prefill_times.get(name).unwrap_or(&unknown);
        Duration::from_millis(times.expected_ms(own_tokens))
    }
}
