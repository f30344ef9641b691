//! A placed request, which reports its progress and end to the scheduler that placed it.

use std::rc::Rc;

use hollowsail_routing::PlacementKey;
use hollowsail_targets::Target;

use super::GroupScheduler;
use crate::peers::{Link, Message, PlacementId, PlacementStep, TargetReportMessage};
use crate::target_reports;
use crate::traffic::Traffic;

/// The scheduler that placed a request, and the placement's key or id there.
pub(super) enum SchedulerHandle {
    Local(Rc<Traffic>, Rc<GroupScheduler>, PlacementKey),
    Peer(Rc<Link>, PlacementId),
}

/// A request placed by a scheduler. Dropped before its end is set, it is reported as
/// abandoned.
pub struct Placement {
    scheduler: SchedulerHandle,
    end: PlacementStep,
}

impl Placement {
    pub(super) fn new(scheduler: SchedulerHandle) -> Self {
        Placement {
            scheduler,
            end: PlacementStep::Abandoned,
        }
    }

    /// Repeats the target's limit reports to a remote scheduler once the target has answered, as a
    /// new owner of the scheduler may not have received them.
    pub fn repeat_limit_reports(&self, cx: &Traffic, target: &Target) {
        if let SchedulerHandle::Peer(link, _) = &self.scheduler {
            target_reports::resend_limits(cx, target, link);
        }
    }

    /// The target refused the request, which is no fault of its own. The scheduler learns of it if
    /// the target must not refuse many.
    pub fn refused(mut self, target: &Target) {
        self.completed();
        if target.refusal_limit.get().is_none() {
            return;
        }
        match &self.scheduler {
            SchedulerHandle::Local(cx, scheduler, _) => {
                scheduler.record_refusal(cx.clock.now(), target.incarnation());
            }
            SchedulerHandle::Peer(link, _) => {
                let target = target.incarnation().clone();
                link.reports.send(TargetReportMessage::Refused { target });
            }
        }
    }

    /// Reports that the prefill is done; called at the first event.
    pub fn prefill_done(&self) {
        self.notify(PlacementStep::PrefillDone);
    }

    /// Marks the response as complete.
    pub fn completed(&mut self) {
        self.end = PlacementStep::Completed;
    }

    /// Marks the request as failed by its target.
    pub fn failed(&mut self) {
        self.end = PlacementStep::Failed;
    }

    fn notify(&self, step: PlacementStep) {
        match &self.scheduler {
            SchedulerHandle::Local(cx, scheduler, key) => scheduler.record_step(cx, *key, step),
            SchedulerHandle::Peer(link, id) => link.send(Message::PlacementStep(*id, step)),
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.notify(self.end);
    }
}
