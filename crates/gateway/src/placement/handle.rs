//! A placed request, which reports its progress and end to the scheduler that placed it.

use std::rc::Rc;

use hollowsail_routing::PlacementKey;
use hollowsail_targets::Target;

use super::GroupScheduler;
use crate::peers::{Link, Message, PlacementId, PlacementStep};
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

    /// Repeats the target's limit report to a remote scheduler once the target has answered,
    /// as a new owner of the scheduler may not have received it.
    pub fn repeat_limit_report(&self, cx: &Traffic, target: &Target) {
        if let SchedulerHandle::Peer(link, _) = &self.scheduler {
            target_reports::resend_limit(cx, target, link);
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
