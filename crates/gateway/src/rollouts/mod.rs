//! Roll-outs of versions, as seen by this entry.
//!
//! Orders arrive with the view. One entry leads each roll-out ([`leader`]); every entry
//! draws the version of each request according to the leader's phase, counts the outcomes
//! at targets of both versions and reports them to the leader. An entry without contact to
//! the leader for [`LEADER_LOST_MS`] sends nothing to the new version. Verdicts are stored
//! for entries that start later ([`orders::RecordedPhase`]).

mod active;
mod leader;
mod messages;
mod orders;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::rendezvous;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_rollout::{Arm, Millis, Outcome, Phase};
use hollowsail_routing::Versions;
use hollowsail_targets::Target;
use rand::Rng;
use tokio::sync::{mpsc, oneshot, Notify};

use crate::metrics;
use crate::peers::{Message, Owner, PeerId, PeerRecord};
use crate::traffic::Traffic;
use crate::view::View;

pub use self::messages::{PhaseNotice, RolloutReport};
pub use self::orders::{Orders, PhaseRecords, PlacedOrder, RecordedPhase, PREFIX};

use self::active::ActiveRollout;

/// Interval between checks of the active roll-outs.
const TICK: Duration = Duration::from_millis(250);
/// Report intervals of an entry with and without new observations, in milliseconds.
const ACTIVE_REPORT_MS: Millis = 500;
const IDLE_REPORT_MS: Millis = 1_000;
/// Time without contact after which the leader counts as lost, in milliseconds: several
/// reports, and the time for another entry to take over.
const LEADER_LOST_MS: Millis = 3_000;
/// Share of the exposure bound that the canary phase uses: draws vary, and more requests
/// follow before the verdict.
const CANARY_SHARE_OF_BOUND: f64 = 0.5;
/// Time after startup within which the list of targets may be incomplete, in milliseconds.
const TARGETS_KNOWN_MS: Millis = 5_000;
/// Capacity of the queue of phases to be written.
const MAX_QUEUED_PHASES: usize = 64;

/// A request to the control thread to write a phase to the store.
pub struct RecordPhase {
    pub placed: PlacedOrder,
    pub phase: Phase,
    /// Receives the phase stored afterwards, which may be another leader's verdict.
    pub reply: oneshot::Sender<Phase>,
}

/// Receiving end of the channel, for the control thread.
pub type PhaseReceiver = mpsc::Receiver<RecordPhase>;

/// Channel from leaders to the control thread, which writes their phases to the store.
pub fn phase_channel() -> (mpsc::Sender<RecordPhase>, PhaseReceiver) {
    mpsc::channel(MAX_QUEUED_PHASES)
}

/// Version drawn for a request whose service has a roll-out.
#[derive(Debug, Clone)]
pub struct VersionDraw {
    pub arm: Arm,
    /// The other version may serve the request if this one can't.
    pub has_fallback: bool,
    version: String,
}

impl VersionDraw {
    /// Versions that a scheduler may choose a target of.
    pub fn versions(&self) -> Versions {
        match self.arm {
            Arm::New => Versions::Only(self.version.clone()),
            Arm::Old => Versions::AllBut(self.version.clone()),
        }
    }

    /// The draw of the other version.
    pub fn fallback(&self) -> Self {
        VersionDraw {
            arm: match self.arm {
                Arm::Old => Arm::New,
                Arm::New => Arm::Old,
            },
            has_fallback: false,
            version: self.version.clone(),
        }
    }
}

/// The roll-outs known to this entry, by service.
pub struct Rollouts {
    by_service: RefCell<BTreeMap<String, Rc<ActiveRollout>>>,
    to_store: mpsc::Sender<RecordPhase>,
    /// Notified when a roll-out starts.
    started: Notify,
}

impl Rollouts {
    pub fn new(to_store: mpsc::Sender<RecordPhase>) -> Self {
        Rollouts {
            by_service: RefCell::default(),
            to_store,
            started: Notify::new(),
        }
    }

    /// Applies the orders and recorded verdicts of a new view.
    pub fn apply_view(&self, cx: &Rc<Traffic>, view: &View) {
        for placed in &view.orders {
            self.apply_order(cx, placed);
        }
        self.apply_withdrawals(cx, &view.orders);
        for active in self.all() {
            let recorded = view.rollout_records.get(active.service());
            let verdict = recorded.filter(|recorded| recorded.order == active.placed.at);
            if let Some(verdict) = verdict.filter(|verdict| verdict.phase.is_final()) {
                self.enter(cx, &active, verdict.phase, "store");
            }
        }
    }

    fn apply_order(&self, cx: &Rc<Traffic>, placed: &PlacedOrder) {
        let service = &placed.order.service;
        let known = self.by_service.borrow().get(service).cloned();
        if known.is_some_and(|known| known.placed.at >= placed.at) {
            return;
        }
        let active = Rc::new(ActiveRollout::new(placed.clone(), cx.clock.now()));
        self.by_service.borrow_mut().insert(service.clone(), active);
        cx.log.line(
            events::ROLLOUT_ORDERED,
            format_args!(
                "service={} version={} within_ms={} at={}",
                Field(&service),
                Field(&placed.order.version),
                placed.order.within.as_millis(),
                placed.at
            ),
        );
        self.started.notify_one();
    }

    /// Rolls back roll-outs whose order was withdrawn before the verdict, and removes them
    /// once no target of their version is left.
    fn apply_withdrawals(&self, cx: &Rc<Traffic>, orders: &[PlacedOrder]) {
        for active in self.all() {
            let matches_service = |placed: &PlacedOrder| placed.order.service == active.service();
            if orders.iter().any(matches_service) {
                continue;
            }
            if !active.phase().is_final() {
                self.enter(cx, &active, Phase::RolledBack, "withdrawn");
            }
            if !has_targets(cx, &active, Arm::New) {
                self.by_service.borrow_mut().remove(active.service());
            }
        }
    }

    fn all(&self) -> Vec<Rc<ActiveRollout>> {
        self.by_service.borrow().values().cloned().collect()
    }

    fn of(&self, service: &str) -> Option<Rc<ActiveRollout>> {
        self.by_service.borrow().get(service).cloned()
    }

    /// Enters a phase at this entry and publishes the targets again.
    fn enter(&self, cx: &Rc<Traffic>, active: &Rc<ActiveRollout>, phase: Phase, by: &str) {
        let before = active.phase();
        if !active.enter(phase) {
            return;
        }
        cx.log.line(
            events::ROLLOUT_PHASE,
            format_args!(
                "service={} version={} order={} phase={} before={} by={by} elapsed_ms={}",
                Field(&active.service()),
                Field(&active.placed.order.version),
                active.placed.at,
                phase.name(),
                before.name(),
                active.elapsed_ms(cx.clock.now())
            ),
        );
        cx.propagate_targets();
    }

    /// Draws the version of a request; `None` if its service has no roll-out.
    pub fn draw(&self, cx: &Traffic, service: &str, is_first_send: bool) -> Option<VersionDraw> {
        let active = self.of(service)?;
        let phase = phase_for(cx, &active, has_targets(cx, &active, Arm::Old));
        let share = canary_share(cx);
        let arm = Arm::draw(phase, share, is_first_send, rand::rng().random());
        Some(VersionDraw {
            arm,
            has_fallback: arm == Arm::New && phase != Phase::Completed,
            version: active.placed.order.version.clone(),
        })
    }

    /// Targets of a service that may get requests; only some of those of a version on
    /// trial.
    pub fn eligible_targets(
        &self,
        cx: &Traffic,
        service: &str,
        targets: &[Rc<Target>],
    ) -> Vec<Rc<Target>> {
        let Some(active) = self.of(service) else {
            return targets.to_vec();
        };
        let Arms { phase, old, new } = arms_in_use(cx, &active, targets);
        match phase == Phase::Completed && !new.is_empty() {
            true => new,
            false => [old, new].concat(),
        }
    }

    /// True if a roll-out of this version was rolled back.
    pub fn is_rolled_back(&self, service: &str, version: &str) -> bool {
        self.of(service).is_some_and(|active| {
            active.placed.order.version == version && active.phase() == Phase::RolledBack
        })
    }

    /// Targets of a service at which the streams that they began may resume: also those of a version
    /// that a completed roll-out replaced.
    pub fn targets_to_resume_at(
        &self,
        cx: &Traffic,
        service: &str,
        targets: &[Rc<Target>],
    ) -> Vec<Rc<Target>> {
        let Some(active) = self.of(service) else {
            return targets.to_vec();
        };
        let Arms { old, new, .. } = arms_in_use(cx, &active, targets);
        [old, new].concat()
    }

    /// The same as [`Self::eligible_targets`] for a pull queue, where any free target takes the next call and shares
    /// follow the number of targets.
    pub fn eligible_targets_by_count(
        &self,
        cx: &Traffic,
        service: &str,
        targets: &[Rc<Target>],
    ) -> Vec<Rc<Target>> {
        let Some(active) = self.of(service) else {
            return targets.to_vec();
        };
        let (new, old) = split(&active, targets);
        let phase = phase_for(cx, &active, !old.is_empty());
        let share = phase.share(canary_share(cx));
        if share >= 1.0 && !new.is_empty() {
            return new;
        }
        let proportional = old.len() as f64 * share / (1.0 - share).max(f64::EPSILON);
        let at_least = usize::from(share > 0.0);
        let chosen = choose_some(new, |count| {
            (proportional as usize).max(at_least).min(count)
        });
        [old, chosen].concat()
    }

    /// Counts the outcome of a request at a target, as long as its service's roll-out has
    /// no verdict.
    pub fn observe(&self, kind: &str, target: &Target, outcome: Outcome) {
        let service = &target.record.service;
        let Some(active) = self.of(service).filter(|known| !known.phase().is_final()) else {
            return;
        };
        let arm = active.arm_of(target);
        active.observe(kind, arm, target, outcome);
        metrics::count_rollout_answer(service, arm, outcome);
    }

    /// Advances active roll-outs until the thread ends.
    pub async fn follow(cx: Rc<Traffic>) {
        loop {
            let rollouts = &cx.rollouts;
            let all = rollouts.all();
            if all.iter().all(|active| active.is_over()) {
                rollouts.started.notified().await;
            }
            for active in rollouts.all() {
                rollouts.tick(&cx, &active);
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn tick(&self, cx: &Rc<Traffic>, active: &Rc<ActiveRollout>) {
        if active.is_over() || !cx.peers.is_listed() {
            return;
        }
        match leader_of(cx, active) {
            Owner::Me => self.lead(cx, active),
            Owner::Peer(link) => {
                active.stop_leading();
                self.refresh_phase_in_use(cx, active);
                if active.is_report_due(cx.clock.now()) {
                    let report = active.report(cx);
                    link.send(Message::RolloutReport(Box::new(report)));
                }
            }
        }
    }

    /// Publishes the targets again when the leader was lost or is back, so that queues and
    /// schedulers follow the phase in use.
    fn refresh_phase_in_use(&self, cx: &Rc<Traffic>, active: &ActiveRollout) {
        if active.update_phase_in_use(cx) {
            cx.propagate_targets();
        }
    }

    /// Handles a phase sent by a leader. A larger share is accepted only from the entry
    /// that leads according to this entry's view.
    pub fn on_phase_notice(&self, cx: &Rc<Traffic>, from: PeerId, notice: &PhaseNotice) {
        let active = self.of(&notice.service);
        let Some(active) = active.filter(|known| known.placed.at == notice.order) else {
            // The order arrives with a view.
            return;
        };
        let is_leader = match leader_of(cx, &active) {
            Owner::Me => false,
            Owner::Peer(link) => link.peer.id == from,
        };
        if is_leader {
            active.record_leader_contact(cx.clock.now(), notice.elapsed_ms);
        }
        let share = |phase: Phase| phase.share(canary_share(cx));
        let is_less = share(notice.phase) < share(active.phase());
        if is_leader || is_less || notice.phase.is_final() {
            self.enter(cx, &active, notice.phase, "leader");
        }
    }

    /// Handles a report of a peer and replies with the phase if this entry leads.
    pub fn on_report(&self, cx: &Rc<Traffic>, from: &PeerRecord, report: RolloutReport) {
        let active = self.of(&report.service);
        let Some(active) = active.filter(|known| known.placed.at == report.order) else {
            return;
        };
        let notice = active.phase_notice(cx.clock.now());
        active.store_report(cx.clock.now(), from.id, report);
        if matches!(leader_of(cx, &active), Owner::Me) {
            cx.peers
                .link_to(cx, from)
                .send(Message::RolloutPhase(notice));
        }
    }

    /// Broadcasts the phase in force to all other entries.
    fn broadcast_phase(&self, cx: &Rc<Traffic>, active: &ActiveRollout) {
        let notice = active.phase_notice(cx.clock.now());
        for link in cx.peers.links_to_all(cx) {
            link.send(Message::RolloutPhase(notice.clone()));
        }
    }
}

/// The entry that leads a roll-out.
fn leader_of(cx: &Rc<Traffic>, active: &ActiveRollout) -> Owner {
    let name = format!("rollout/{}", active.service());
    cx.peers.owner_of(cx, &name)
}

/// Phase by which requests are drawn. Without targets of the old version it is `Full`,
/// unless the list of targets may still be incomplete.
fn phase_for(cx: &Traffic, active: &ActiveRollout, has_old: bool) -> Phase {
    let phase = active.phase_in_use(cx);
    let is_alone = !has_old && cx.clock.now() >= TARGETS_KNOWN_MS;
    match is_alone && !phase.is_final() {
        true => Phase::Full,
        false => phase,
    }
}

fn canary_share(cx: &Traffic) -> f64 {
    cx.settings().bounds.exposure_share * CANARY_SHARE_OF_BOUND
}

/// The targets of a service with a roll-out.
struct Arms {
    phase: Phase,
    /// All targets of other versions.
    old: Vec<Rc<Target>>,
    /// The targets of the new version that the phase uses.
    new: Vec<Rc<Target>>,
}

fn arms_in_use(cx: &Traffic, active: &ActiveRollout, targets: &[Rc<Target>]) -> Arms {
    let share = canary_share(cx);
    let (new, old) = split(active, targets);
    let phase = phase_for(cx, active, !old.is_empty());
    let new = choose_some(new, |count| phase.targets_in_use(share, count));
    Arms { phase, old, new }
}

/// Splits targets into those of the new version and all others.
fn split(active: &ActiveRollout, targets: &[Rc<Target>]) -> (Vec<Rc<Target>>, Vec<Rc<Target>>) {
    let targets = targets.iter().cloned();
    targets.partition(|target| active.arm_of(target) == Arm::New)
}

/// Chooses some of the targets, the same at all entries that know the same ones.
fn choose_some(mut targets: Vec<Rc<Target>>, count: impl Fn(usize) -> usize) -> Vec<Rc<Target>> {
    let max_count = count(targets.len());
    if max_count < targets.len() {
        targets.sort_by_cached_key(|target| rendezvous::score("rollout", &target.incarnation().id));
        targets.truncate(max_count);
    }
    targets
}

fn has_targets(cx: &Traffic, active: &ActiveRollout, arm: Arm) -> bool {
    cx.with_targets(active.service(), |targets| {
        targets.iter().any(|target| active.arm_of(target) == arm)
    })
}
