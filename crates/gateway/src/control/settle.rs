//! Settles a registry of records some time after the store is reachable again.

use std::cell::RefCell;
use std::rc::Rc;

use hollowsail_fleet::TargetRegistry;

use super::source::Origin;
use super::Control;

/// Accessor of one registry of the control thread.
type RegistryOf<R> = fn(&Control) -> &RefCell<TargetRegistry<R>>;

impl Control {
    /// True if a deleted record may reappear, according to the origin of the change.
    pub(super) fn is_unsettled<R: PartialEq>(
        &self,
        registry: &RefCell<TargetRegistry<R>>,
        origin: Origin,
    ) -> bool {
        match origin {
            Origin::Store => registry.borrow().is_unsettled(self.clock.now()),
            Origin::Follower { unsettled_until } => unsettled_until.is_some(),
        }
    }

    /// Marks both registries if a store follower lost the store until recently. This entry
    /// may not have noticed, as it calls the store only now and then.
    pub(super) fn note_follower_outage(&self, origin: Origin) {
        let Origin::Follower {
            unsettled_until: Some(until),
        } = origin
        else {
            return;
        };
        let now = self.clock.now();
        self.registry.borrow_mut().outage_reported_until(now, until);
        self.peers.borrow_mut().outage_reported_until(now, until);
    }

    /// Removes records that are still missing once the registry has settled; `report_gone`
    /// gets their keys.
    pub(super) fn settle_later<R>(
        self: &Rc<Self>,
        registry: RegistryOf<R>,
        report_gone: fn(&Control, &[String]),
    ) where
        R: PartialEq + 'static,
    {
        let known = registry(self).borrow();
        let Some(due) = known
            .settles_at()
            .into_iter()
            .chain(known.promotes_at())
            .min()
        else {
            return;
        };
        drop(known);
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep_until(cx.clock.timer(due).into()).await;
            let now = cx.clock.now();
            let gone = registry(&cx).borrow_mut().settle(now);
            let is_changed = registry(&cx).borrow_mut().promote_restored(now);
            if !gone.is_empty() {
                report_gone(&cx, &gone);
            }
            if is_changed || !gone.is_empty() {
                cx.publish();
            }
            // Some records settle later than others.
            cx.settle_later(registry, report_gone);
        });
    }
}
