//! One roll-out, as seen by this entry.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_rollout::{Arm, Evidence, Millis, Outcome, Phase, Rollout};
use hollowsail_targets::Target;

use super::messages::{PhaseNotice, RolloutReport};
use super::orders::PlacedOrder;
use super::{ACTIVE_REPORT_MS, IDLE_REPORT_MS, LEADER_LOST_MS};
use crate::peers::PeerId;
use crate::traffic::Traffic;

/// The last report of a peer.
pub(super) struct Reported {
    pub received: Millis,
    pub report: RolloutReport,
}

/// State of the leader.
pub(super) struct Leadership {
    pub since: Millis,
    pub rollout: Rollout,
    /// The phase that is stored, if known.
    pub recorded: Option<Phase>,
    /// A write is in progress.
    pub is_recording: bool,
}

pub(super) struct ActiveRollout {
    pub placed: PlacedOrder,
    /// When the order was given.
    ordered_at: Cell<Millis>,
    phase: Cell<Phase>,
    /// When the leader's last message arrived.
    leader_contact: Cell<Option<Millis>>,
    /// The phase in use at the last check.
    last_in_use: Cell<Phase>,
    evidence: RefCell<Evidence>,
    /// When the last report was sent, and whether anything was counted since.
    sent: Cell<Option<Millis>>,
    has_unreported: Cell<bool>,
    pub(super) reports: RefCell<HashMap<PeerId, Reported>>,
    pub(super) leadership: RefCell<Option<Leadership>>,
}

impl ActiveRollout {
    pub fn new(placed: PlacedOrder, now: Millis) -> Self {
        ActiveRollout {
            placed,
            ordered_at: Cell::new(now),
            phase: Cell::new(Phase::Waiting),
            leader_contact: Cell::new(None),
            last_in_use: Cell::new(Phase::Waiting),
            evidence: RefCell::default(),
            sent: Cell::new(None),
            has_unreported: Cell::new(false),
            reports: RefCell::default(),
            leadership: RefCell::default(),
        }
    }

    pub fn service(&self) -> &str {
        &self.placed.order.service
    }

    /// The phase last received from the leader, or entered as the leader.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the order was given.
    pub fn ordered_at(&self) -> Millis {
        self.ordered_at.get()
    }

    /// Time since the order was given, in milliseconds.
    pub fn elapsed_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.ordered_at.get())
    }

    /// Phase by which requests are drawn. An entry that lost the leader sends nothing to
    /// the new version.
    pub fn phase_in_use(&self, cx: &Traffic) -> Phase {
        let phase = self.phase.get();
        let now = cx.clock.now();
        let is_recent = |contact: Millis| now < contact + LEADER_LOST_MS;
        let has_leader =
            self.leadership.borrow().is_some() || self.leader_contact.get().is_some_and(is_recent);
        match phase.is_final() || has_leader {
            true => phase,
            false => Phase::Waiting,
        }
    }

    /// True if the phase in use has changed since the last call.
    pub fn update_phase_in_use(&self, cx: &Traffic) -> bool {
        let phase = self.phase_in_use(cx);
        self.last_in_use.replace(phase) != phase
    }

    /// True once nothing is left to decide, send or write.
    pub fn is_over(&self) -> bool {
        let leadership = self.leadership.borrow();
        let is_recorded = |leadership: &Leadership| leadership.recorded == Some(self.phase());
        self.phase().is_final() && leadership.as_ref().is_none_or(is_recorded)
    }

    /// Enters a phase. Returns false if it is in force already or can't follow the current
    /// one: a completed version isn't rolled back.
    pub fn enter(&self, phase: Phase) -> bool {
        let before = self.phase.get();
        let has_verdict = before.is_final() && phase != Phase::Completed;
        if before == phase || has_verdict {
            return false;
        }
        self.phase.set(phase);
        self.last_in_use.set(phase);
        true
    }

    /// Records a message of the leader and the age of the order that it states.
    pub fn record_leader_contact(&self, now: Millis, elapsed_ms: Millis) {
        self.leader_contact.set(Some(now));
        self.ordered_at.set(now.saturating_sub(elapsed_ms));
    }

    /// Drops the leader's state, as another entry leads.
    pub fn stop_leading(&self) {
        *self.leadership.borrow_mut() = None;
    }

    /// Whether a target runs the new or the old version.
    pub fn arm_of(&self, target: &Target) -> Arm {
        match target.record.version == self.placed.order.version {
            true => Arm::New,
            false => Arm::Old,
        }
    }

    /// Counts the outcome of a request.
    pub fn observe(&self, kind: &str, arm: Arm, target: &Target, outcome: Outcome) {
        let id = &target.incarnation().id;
        self.evidence.borrow_mut().observe(kind, arm, id, outcome);
        self.has_unreported.set(true);
    }

    /// The evidence counted by this entry.
    pub fn evidence(&self) -> Evidence {
        self.evidence.borrow().clone()
    }

    /// True if the next report to the leader is due.
    pub fn is_report_due(&self, now: Millis) -> bool {
        let pause = match self.has_unreported.get() {
            true => ACTIVE_REPORT_MS,
            false => IDLE_REPORT_MS,
        };
        self.sent.get().is_none_or(|sent| now >= sent + pause)
    }

    /// Builds a report, which resets the report timer.
    pub fn report(&self, cx: &Rc<Traffic>) -> RolloutReport {
        self.sent.set(Some(cx.clock.now()));
        self.has_unreported.set(false);
        RolloutReport {
            service: self.service().to_string(),
            order: self.placed.at,
            phase: self.phase_in_use(cx),
            evidence: self.evidence(),
            has_old_work: self.has_old_work(cx),
        }
    }

    /// Stores the report of a peer.
    pub fn store_report(&self, now: Millis, from: PeerId, report: RolloutReport) {
        let reported = Reported {
            received: now,
            report,
        };
        self.reports.borrow_mut().insert(from, reported);
    }

    /// Builds the message that announces the phase in force.
    pub fn phase_notice(&self, now: Millis) -> PhaseNotice {
        PhaseNotice {
            service: self.service().to_string(),
            order: self.placed.at,
            phase: self.phase(),
            elapsed_ms: self.elapsed_ms(now),
        }
    }

    /// True while this entry has requests running or results stored at a target of the old
    /// version.
    pub fn has_old_work(&self, cx: &Rc<Traffic>) -> bool {
        let is_old = |target: &Target| self.arm_of(target) == Arm::Old;
        let runs = cx.with_targets(self.service(), |targets| {
            let mut old = targets.iter().filter(|target| is_old(target));
            old.any(|target| target.in_flight.get() > 0)
        });
        runs || cx.pools.has_work_at(self.service(), is_old)
    }
}
