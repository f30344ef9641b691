//! The control thread: one actor that owns all control state.
//!
//! It keeps the fleet's membership, the configuration in force, host status
//! and target health, and publishes a [`View`] whenever one of them changes.
//! Traffic tells it [`Fact`]s over a bounded mailbox. What it does over the
//! network runs as futures of the actor and comes back as a method call:
//! [`gossip`] exchanges with peers, [`spread`] finds newer configurations,
//! [`hosts`] reads the host list, [`health`] judges targets, [`claims`] lets the
//! keys of old claims lapse.

pub mod claims;
pub mod gossip;
pub mod health;
pub mod hosts;
pub mod messages;
pub mod spread;

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use awc::Client;
use hollowsail_clients::{http, HostListClient, StoreClient};
use hollowsail_fleet::{Fleet, Member, Standing, StandingRule};
use rand::rngs::SmallRng;

use crate::configuration::Configuration;
use crate::context::Entry;
use crate::events;
use crate::metrics;
use crate::view::View;

pub use messages::{Adopt, BeginStop, Drain, Incoming, LeaveFor, Status, StatusReport};

/// Messages that may wait for the control thread.
const MAILBOX: usize = 4096;
/// Between two published views of target health.
const HEALTH_TICK: Duration = Duration::from_millis(50);
/// Between two looks at timers that are not urgent.
const HOUSEKEEPING: Duration = Duration::from_millis(1000);

/// The actor.
pub struct Control {
    pub(crate) entry: Arc<Entry>,
    pub(crate) fleet: Fleet,
    pub(crate) tick: Duration,
    pub(crate) rng: SmallRng,
    pub(crate) client: Client,
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// When that configuration came in force here.
    pub(crate) in_force_since: Option<u64>,
    pub(crate) spread: spread::SpreadState,
    pub(crate) health: health::HealthState,
    pub(crate) hosts: hosts::HostState,
    pub(crate) claims: claims::LapsingClaims,
    standing_rule: StandingRule,
    standing: Standing,
    logged_members: Vec<Member>,
}

impl Control {
    /// Made on the control thread, since its clients stay there.
    pub fn new(entry: Arc<Entry>, fleet: Fleet, tick: Duration, rng: SmallRng) -> Self {
        let settings = &entry.settings;
        let standing_rule = StandingRule {
            isolation_ms: settings.limits.isolation_ms,
            alone_by_settings: settings.store.is_none() && settings.seeds.is_empty(),
        };
        Control {
            fleet,
            tick,
            rng,
            client: http::pooled_client(),
            configuration: None,
            in_force_since: None,
            spread: spread::SpreadState::new(settings.store.map(StoreClient::new)),
            health: health::HealthState::default(),
            claims: claims::LapsingClaims::default(),
            hosts: hosts::HostState::new(settings.host_list.map(HostListClient::new)),
            standing_rule,
            standing: Standing::Starting,
            logged_members: Vec::new(),
            entry,
        }
    }

    pub(crate) fn now(&self) -> u64 {
        self.entry.now()
    }

    /// Publishes what traffic needs to know.
    pub(crate) fn publish(&mut self) {
        self.judge_standing();
        let view = View {
            configuration: self.configuration.clone(),
            targets: self.health.target_views(self.now(), &self.fleet.hosts),
            services: self.health.service_views(),
            stages: self.health.expectations(),
            own: self.fleet.own().clone(),
            members: self.fleet.others().into_iter().cloned().collect(),
            joined: self.fleet.has_joined(),
            standing: self.standing,
        };
        self.entry.publish(view);
    }

    fn judge_standing(&mut self) {
        let standing = self.standing_rule.judge(
            self.now(),
            self.configuration.is_some(),
            self.spread.last_store,
            self.fleet.last_contact(),
        );
        if standing != self.standing {
            self.standing = standing;
            self.entry
                .log(events::STANDING, format_args!("standing={standing:?}"));
        }
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub(crate) fn adopt(&mut self, configuration: Arc<Configuration>, source: &str) -> bool {
        let revision = configuration.revision();
        let current = self.configuration.as_ref().map_or(0, |c| c.revision());
        if revision <= current {
            return false;
        }
        self.health.rebuild(&configuration);
        self.configuration = Some(configuration);
        self.in_force_since = Some(self.now());
        self.fleet.set_revision(revision);
        self.entry.log(
            events::CONFIGURATION_IN_FORCE,
            format_args!("revision={revision} before={current} source={source}"),
        );
        self.publish();
        true
    }

    fn housekeep(&mut self, cx: &mut Context<Self>) {
        let now = self.now();
        let (records, lapsed) = {
            let mut once = self.entry.once.lock().expect("no panic while held");
            let lapsed = once.housekeep(now);
            (once.records(), lapsed)
        };
        self.lapse_claims(lapsed, cx);
        let revision = self.configuration.as_ref().map_or(0, |c| c.revision());
        let members = self.fleet.others().len() + 1;
        metrics::set_control_gauges(&self.entry.settings.name, revision, members, records);
        self.log_members();
    }

    fn log_members(&mut self) {
        let members: Vec<Member> = self.fleet.others().into_iter().cloned().collect();
        for member in &members {
            let before = self
                .logged_members
                .iter()
                .find(|known| known.incarnation == member.incarnation);
            let changed = before.is_none_or(|known| {
                (known.health, known.stopping) != (member.health, member.stopping)
            });
            if changed {
                self.entry.log(
                    events::MEMBER,
                    format_args!(
                        "member={} incarnation={:x} health={:?} stopping={:?}",
                        member.name, member.incarnation, member.health, member.stopping
                    ),
                );
            }
        }
        self.logged_members = members;
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(MAILBOX);
        self.publish();
        self.start_gossip(cx);
        self.start_spread(cx);
        self.start_hosts(cx);
        cx.run_interval(HEALTH_TICK, |control, _| {
            control.judge_health();
            control.publish();
            control.wake_waiting();
        });
        cx.run_interval(HOUSEKEEPING, |control, cx| control.housekeep(cx));
    }
}
