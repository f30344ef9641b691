//! Leader side of a roll-out: evaluates the reports of all entries, broadcasts the phase in
//! force and has verdicts written to the store.
//!
//! Entries may temporarily name two leaders. A verdict is written only if the store has
//! none for the same order, so that both leaders converge. A version is rolled back
//! everywhere before the verdict is stored, but completed only afterwards.

use std::rc::Rc;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_rollout::{Arm, Millis, Phase, Plan, Progress, Rollout, Step};
use tokio::sync::oneshot;

use super::active::{ActiveRollout, Leadership};
use super::{has_targets, RecordPhase, Rollouts};
use crate::peers::PeerId;
use crate::traffic::Traffic;

/// Age beyond which a report counts as missing, in milliseconds: two report intervals.
const REPORT_AGE_MS: Millis = 2_200;

impl Rollouts {
    /// Takes the next step of a roll-out that this entry leads.
    pub(super) fn lead(&self, cx: &Rc<Traffic>, active: &Rc<ActiveRollout>) {
        start_leading(cx, active);
        let phase = active.phase();
        let recorded = active
            .leadership
            .borrow()
            .as_ref()
            .and_then(|leadership| leadership.recorded);
        if phase.is_final() {
            if recorded != Some(phase) {
                self.record(cx, active, phase);
            }
            return;
        }
        // The store may hold a verdict until it has answered that there is none.
        if recorded.is_none() {
            self.record(cx, active, Phase::Waiting);
            return;
        }
        let Some(step) = evaluate(cx, active) else {
            return;
        };
        match step {
            Step::Enter(Phase::Completed) => self.record(cx, active, Phase::Completed),
            Step::Enter(next) => {
                self.enter(cx, active, next, "evidence");
                self.broadcast_phase(cx, active);
            }
            Step::RollBack(fault) => {
                let fields = format_args!(
                    "service={} version={} order={} {fault}",
                    Field(&active.service()),
                    Field(&active.placed.order.version),
                    active.placed.at
                );
                cx.log.line(events::ROLLOUT_TAKEN_BACK, fields);
                self.enter(cx, active, Phase::RolledBack, "evidence");
                self.broadcast_phase(cx, active);
                self.record(cx, active, Phase::RolledBack);
            }
        }
    }

    /// Requests the write of a phase and adopts the phase stored afterwards.
    fn record(&self, cx: &Rc<Traffic>, active: &Rc<ActiveRollout>, phase: Phase) {
        let is_recording =
            |leadership: &mut Leadership| std::mem::replace(&mut leadership.is_recording, true);
        let mut leadership = active.leadership.borrow_mut();
        if leadership.as_mut().is_none_or(is_recording) {
            return;
        }
        drop(leadership);
        let (reply, recorded) = oneshot::channel();
        let placed = active.placed.clone();
        let request = RecordPhase {
            placed,
            phase,
            reply,
        };
        if let Err(err) = self.to_store.try_send(request) {
            log::warn!("cannot queue a roll-out phase for writing, will retry: {err}");
        }
        let (cx, active) = (cx.clone(), active.clone());
        actix_rt::spawn(async move {
            // Without a reply, the next tick tries again.
            let recorded = recorded.await.ok();
            if let Some(leadership) = active.leadership.borrow_mut().as_mut() {
                leadership.is_recording = false;
                leadership.recorded = recorded.or(leadership.recorded);
            }
            if let Some(verdict) = recorded.filter(|phase| phase.is_final()) {
                adopt_verdict(&cx, &active, verdict);
            }
        });
    }
}

/// Adopts and broadcasts a verdict that is in the store.
fn adopt_verdict(cx: &Rc<Traffic>, active: &Rc<ActiveRollout>, verdict: Phase) {
    if let Some(leadership) = active.leadership.borrow_mut().as_mut() {
        leadership.rollout.set_verdict(verdict, cx.clock.now());
    }
    cx.rollouts.enter(cx, active, verdict, "store");
    cx.rollouts.broadcast_phase(cx, active);
}

/// Becomes the leader, unless this entry is already.
fn start_leading(cx: &Rc<Traffic>, active: &ActiveRollout) {
    let mut leadership = active.leadership.borrow_mut();
    if leadership.is_some() {
        return;
    }
    let now = cx.clock.now();
    let plan = Plan {
        began: active.ordered_at(),
        within_ms: active.placed.order.within.as_millis() as Millis,
    };
    *leadership = Some(Leadership {
        since: now,
        rollout: Rollout::new(plan, active.phase(), now),
        recorded: None,
        is_recording: false,
    });
}

/// Evaluates the evidence of all entries. Returns the step to take, if any.
fn evaluate(cx: &Rc<Traffic>, active: &ActiveRollout) -> Option<Step> {
    let now = cx.clock.now();
    let reports = active.reports.borrow();
    let mut leadership = active.leadership.borrow_mut();
    let leadership = leadership.as_mut()?;
    let mut evidence = active.evidence();
    let all = reports.values();
    all.for_each(|reported| evidence.add(&reported.report.evidence));
    let peers = cx.peers.others(cx);
    let last_received = peers.iter().map(|peer| {
        let reported = reports.get(peer);
        reported.map_or(leadership.since, |reported| {
            reported.received.max(leadership.since)
        })
    });
    let is_silent = |received: &Millis| now >= received + REPORT_AGE_MS;
    let is_unreported = |peer: &PeerId| !reports.contains_key(peer);
    let has_missing = peers.iter().any(is_unreported) && now < leadership.since + REPORT_AGE_MS;
    let mut current = reports.values().filter(|known| !is_silent(&known.received));
    let is_idle_elsewhere = current.all(|known| {
        let report = &known.report;
        report.phase == Phase::Full && !report.has_old_work
    });
    let progress = Progress {
        evidence: &evidence,
        has_new_targets: has_targets(cx, active, Arm::New),
        is_old_idle: is_idle_elsewhere && !has_missing && !active.has_old_work(cx),
        silent_since: last_received.filter(is_silent).max(),
    };
    leadership.rollout.step(now, &progress)
}
