//! State of the traffic thread.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use hollowsail_fleet::Throttle;
use hollowsail_observe::LogThrottle;
use hollowsail_platform::deployment::{Deployment, ServiceKey};
use hollowsail_platform::settings::Settings;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{LatencyWindow, Millis, Pace, ReadingTimes, RetryBudget};
use hollowsail_targets::{LimitWord, Target, TargetTable};
use tokio::sync::{mpsc, Notify};

use crate::clock::Clock;
use crate::crashes::Crashes;
use crate::feed::Feeds;
use crate::log::Log;
use crate::mechanisms::{Mechanism, Mechanisms};
use crate::peers::{PeerRecord, Peers};
use crate::placement::Placements;
use crate::pools::Pools;
use crate::rollouts::{RecordPhase, Rollouts};
use crate::view::{Published, Targets, View};

/// Part of the allowed ratio of extra arrivals that is used; the rest is left
/// for what arrives twice without our doing.
const RATIO_SHARE: f64 = 0.8;
/// Part of the extra arrivals allowed besides the ratio that the entries share.
/// A window slides, so that tokens saved before it are spent in it beside those
/// earned; and entries that don't know of each other each take a whole share.
const EXTRA_SHARE: f64 = 0.5;

/// Between two messages to the other entries on one target's limit, in milliseconds: it may
/// be another one in each answer.
const TELL_LIMITS_EVERY_MS: Millis = 250;

/// Between two log lines on one odd word of one target, in milliseconds: it may stand in
/// every answer.
const TELL_ODD_WORDS_EVERY_MS: Millis = 60_000;

/// True when a view has other targets than the one before, or other services for them.
fn has_other_targets(before: &View, newest: &View) -> bool {
    has_other_deployment(before, newest) || !Arc::ptr_eq(&before.targets, &newest.targets)
}

fn has_other_deployment(before: &View, newest: &View) -> bool {
    match (&before.deployment, &newest.deployment) {
        (Some(before), Some(newest)) => !Arc::ptr_eq(before, newest),
        (before, newest) => before.is_some() || newest.is_some(),
    }
}

/// How far a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stopping {
    No,
    /// Not ready; what comes is still served.
    Serving,
    /// What comes is refused; what is under way ends.
    RefusingNew,
}

/// Where traffic finds what control knows.
pub struct FromControl {
    pub published: Arc<Published>,
    pub feeds: Arc<Feeds>,
}

/// Everything that requests share.
pub struct Traffic {
    settings: Arc<ArcSwap<Settings>>,
    /// This entry.
    pub me: PeerRecord,
    mechanisms: Mechanisms,
    pub clock: Clock,
    pub log: Log,
    published: Arc<Published>,
    /// What control hears from the store, for peers that follow it.
    pub feeds: Arc<Feeds>,
    view: RefCell<Arc<View>>,
    targets: RefCell<TargetTable>,
    pub peers: Peers,
    pub pools: Pools,
    pub placements: Placements,
    pub crashes: Crashes,
    pub rollouts: Rollouts,
    /// When targets' limits were told to the others.
    pub limit_news: Throttle<Incarnation>,
    /// Words of targets that can't be read or aren't known, by the target's id.
    odd_words: RefCell<LogThrottle<(String, String)>>,
    /// By the service's name.
    budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Recent times of whole requests, by the service's name.
    latencies: RefCell<HashMap<String, LatencyWindow>>,
    /// Recent times to first events, by the service's name.
    readings: RefCell<HashMap<String, ReadingTimes>>,
    /// Requests between their head and the end of their answer.
    pub in_flight: Cell<usize>,
    /// Connections of callers.
    pub connections: Cell<usize>,
    pub stopping: Cell<Stopping>,
    /// Whether this entry keeps up with its work.
    pub pace: Cell<Pace>,
    /// Told shortly before the process ends: what no target has yet is refused.
    pub last_call: Notify,
    /// Told when idle connections of callers are to close.
    pub close_idle: Notify,
    /// Told with each view that has a configuration.
    configured: Notify,
}

impl Traffic {
    /// Makes the state, before the first view, on the thread that calls what
    /// this returns.
    pub fn prepare(
        settings: Arc<ArcSwap<Settings>>,
        me: PeerRecord,
        mechanisms: Mechanisms,
        clock: Clock,
        FromControl { published, feeds }: FromControl,
        crashes: Crashes,
        phases: mpsc::Sender<RecordPhase>,
    ) -> impl FnOnce() -> Rc<Traffic> + Send {
        move || {
            Rc::new(Traffic {
                log: Log::new(&settings.load().host),
                me,
                mechanisms,
                peers: Peers::default(),
                pools: Pools::default(),
                placements: Placements::default(),
                crashes,
                rollouts: Rollouts::new(phases),
                odd_words: RefCell::new(LogThrottle::new(TELL_ODD_WORDS_EVERY_MS)),
                limit_news: Throttle::new(TELL_LIMITS_EVERY_MS),
                view: RefCell::new(published.load()),
                published,
                feeds,
                settings,
                clock,
                targets: RefCell::default(),
                budgets: RefCell::default(),
                latencies: RefCell::default(),
                readings: RefCell::default(),
                in_flight: Cell::new(0),
                connections: Cell::new(0),
                stopping: Cell::new(Stopping::No),
                pace: Cell::default(),
                last_call: Notify::new(),
                close_idle: Notify::new(),
                configured: Notify::new(),
            })
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// True when something that could be left out is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.mechanisms.has(mechanism)
    }

    /// Takes views over as they are published.
    pub async fn follow_views(self: Rc<Self>) {
        loop {
            self.published.changed().await;
            self.take_view();
        }
    }

    fn take_view(self: &Rc<Self>) {
        let newest = self.published.load();
        if newest.number == self.view.borrow().number {
            return;
        }
        let before = self.view.borrow().clone();
        self.crashes
            .take_listed(self, &before.refused, &newest.refused);
        let has_other_targets = has_other_targets(&before, &newest);
        let mut changed = BTreeSet::new();
        if let Some(deployment) = newest.deployment.as_ref().filter(|_| has_other_targets) {
            let now = self.clock.now();
            let Targets {
                usable, leaving, ..
            } = &*newest.targets;
            let mut targets = self.targets.borrow_mut();
            changed = targets.take(now, deployment, usable, leaving);
        }
        let has_other_peers = !Arc::ptr_eq(&before.peers, &newest.peers);
        if has_other_peers {
            self.peers.take(self, &newest.peers);
        }
        *self.view.borrow_mut() = newest.clone();
        self.rollouts.take(self, &newest);
        if has_other_peers || has_other_deployment(&before, &newest) {
            self.pass_targets_on();
        } else if !changed.is_empty() {
            self.pass_targets_on_of(&changed);
        }
        if self.deployment_in_use().is_some() {
            self.configured.notify_waiters();
        }
    }

    /// Has queues and desks take the usable targets as they are now.
    pub fn pass_targets_on(self: &Rc<Self>) {
        self.pools.take_targets(self);
        self.placements.take_targets(self);
        self.pools.hand_over(self);
    }

    /// The same for those of some services.
    fn pass_targets_on_of(self: &Rc<Self>, services: &BTreeSet<ServiceKey>) {
        let Some(deployment) = self.deployment_in_use() else {
            return;
        };
        for key in services {
            let name = &deployment.service(*key).name;
            self.pools.take_targets_of(self, name);
            self.placements.take_targets_of(self, name);
        }
    }

    /// A start of a target says that it leaves: it gets nothing new from now on. True when
    /// that is news.
    pub fn target_leaves(self: &Rc<Self>, start: &Incarnation) -> bool {
        let now = self.clock.now();
        let is_news = self.targets.borrow_mut().says_leaving(now, start);
        if is_news {
            self.pass_targets_on();
        }
        is_news
    }

    /// A start of a target names a limit, or none. True when its limit is another one now.
    pub fn target_names_limit(self: &Rc<Self>, start: &Incarnation, word: LimitWord) -> bool {
        let now = self.clock.now();
        let is_news = self.targets.borrow_mut().names_limit(now, start, word);
        if is_news {
            self.pass_targets_on();
        }
        is_news
    }

    /// True when a word of a start that can't be read, or isn't known, is to be told again.
    pub fn is_odd_word_due(&self, start: &Incarnation, word: &str) -> bool {
        let subject = (start.id.clone(), word.to_string());
        let now = self.clock.now();
        self.odd_words.borrow_mut().is_due(now, subject)
    }

    /// True while some target of the service of that name is cold or names a limit: what all
    /// entries together send there has to be known in one place.
    pub fn is_rationed(&self, service: &str) -> bool {
        self.with_targets(service, |targets| {
            targets.iter().any(|target| target.is_rationed())
        })
    }

    /// A start of a target wants nothing from this entry for a time. True when that is
    /// longer than it said before.
    pub fn target_rests(&self, start: &Incarnation, rest: Duration) -> bool {
        let rest_ms = Millis::try_from(rest.as_millis()).unwrap_or(Millis::MAX);
        let now = self.clock.now();
        self.targets.borrow_mut().asks_rest(now, start, rest_ms)
    }

    /// Until when a target wants nothing from this entry, if it does now.
    pub fn rests_until(&self, target: &Target) -> Option<Millis> {
        let targets = self.targets.borrow();
        targets.rests_until(self.clock.now(), target.incarnation())
    }

    /// True the first time that this entry is to tell all others that a target leaves.
    pub fn pass_leaving_on(&self, start: &Incarnation) -> bool {
        self.targets.borrow_mut().pass_on(start)
    }

    /// The configuration in force, if one is known. Looks for a newer view
    /// first, so that a decision never lags behind what control knows.
    pub fn deployment(self: &Rc<Self>) -> Option<Arc<Deployment>> {
        self.take_view();
        self.view.borrow().deployment.clone()
    }

    /// The configuration in force, waiting for the first one if none is known.
    pub async fn first_deployment(self: &Rc<Self>) -> Arc<Deployment> {
        loop {
            let told = self.configured.notified();
            if let Some(deployment) = self.deployment() {
                return deployment;
            }
            told.await;
        }
    }

    /// The view in use, after a look for a newer one.
    pub fn view(self: &Rc<Self>) -> Arc<View> {
        self.take_view();
        self.view.borrow().clone()
    }

    /// The configuration of the view in use.
    pub fn deployment_in_use(&self) -> Option<Arc<Deployment>> {
        self.view.borrow().deployment.clone()
    }

    /// True when new connections may come.
    pub fn is_ready(self: &Rc<Self>) -> bool {
        self.stopping.get() == Stopping::No && self.deployment().is_some()
    }

    /// Targets by service.
    pub fn targets(&self) -> Ref<'_, TargetTable> {
        self.targets.borrow()
    }

    /// A usable target by its incarnation.
    pub fn target(&self, incarnation: &Incarnation) -> Option<Rc<Target>> {
        self.targets.borrow().get(incarnation)
    }

    /// Usable targets of the service of that name.
    pub fn targets_named(&self, service: &str) -> Vec<Rc<Target>> {
        self.with_targets(service, <[Rc<Target>]>::to_vec)
    }

    /// How many usable targets the service of that name has.
    pub fn target_count(&self, service: &str) -> usize {
        self.with_targets(service, <[Rc<Target>]>::len)
    }

    /// Looks at the usable targets of the service of that name.
    pub fn with_targets<T>(&self, service: &str, look: impl FnOnce(&[Rc<Target>]) -> T) -> T {
        let view = self.view.borrow();
        let deployment = view.deployment.as_ref();
        let key = deployment.and_then(|deployment| deployment.service_named(service));
        match key {
            Some(key) => look(self.targets.borrow().of(key)),
            None => look(&[]),
        }
    }

    /// Number of the view in use, for log lines.
    pub fn view_number(&self) -> u64 {
        self.view.borrow().number
    }

    /// Runs a change on the retry budget of a service.
    pub fn with_budget<T>(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let name = &deployment.service(service).name;
        let bounds = &self.settings().bounds;
        let share = bounds.retry_extra * EXTRA_SHARE / self.peers.count() as f64;
        let ratio = bounds.retry_ratio * RATIO_SHARE;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(name.clone())
            .or_insert_with(|| RetryBudget::with_share(ratio, share));
        budget.set_share(share);
        change(budget)
    }

    /// What a request at a service typically takes; `None` before it is known.
    pub fn typical_ms(&self, deployment: &Deployment, service: ServiceKey) -> Option<Millis> {
        let name = &deployment.service(service).name;
        self.latencies.borrow().get(name)?.quantile(0.5)
    }

    /// What the slowest of a hundred requests at a service takes; `None` before it is
    /// known.
    pub fn slowest_ms(&self, deployment: &Deployment, service: ServiceKey) -> Option<Millis> {
        let name = &deployment.service(service).name;
        self.latencies.borrow().get(name)?.quantile(0.99)
    }

    /// Takes the time of one request at a service.
    pub fn record_latency(&self, deployment: &Deployment, service: ServiceKey, ms: Millis) {
        let name = &deployment.service(service).name;
        let mut latencies = self.latencies.borrow_mut();
        let window = latencies.entry(name.clone()).or_default();
        window.record(self.clock.now(), ms);
    }

    /// Takes the time from a send to the first event of a generation.
    pub fn record_reading(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        own_tokens: u64,
        took: Duration,
    ) {
        let name = &deployment.service(service).name;
        let mut readings = self.readings.borrow_mut();
        let times = readings.entry(name.clone()).or_default();
        times.record(own_tokens, took.as_millis() as u64);
    }

    /// About the time from a send to the first event of a generation.
    pub fn reading_time(
        &self,
        deployment: &Deployment,
        service: ServiceKey,
        own_tokens: u64,
    ) -> Duration {
        let name = &deployment.service(service).name;
        let readings = self.readings.borrow();
        let unknown = ReadingTimes::default();
        let times = readings.get(name).unwrap_or(&unknown);
        Duration::from_millis(times.expected_ms(own_tokens))
    }
}
