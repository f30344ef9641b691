//! Orders to roll versions out, and the phases that leaders write for them.
//!
//! A phase is written to two keys in one transaction: one for entries, which names the
//! order, and one for operators. A verdict isn't overwritten while its order is in force.

use std::rc::Rc;

use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::operators::{
    decode_rollout, encode_rollout_status, rollout_service, rollout_status_key, RolloutState,
};
use hollowsail_platform::store::{Change, Changes, Item, Range, StoreError};
use hollowsail_rollout::Phase;

use super::backoff::Backoff;
use super::{Control, Shared};
use crate::rollouts::{Orders, PhaseReceiver, PlacedOrder, RecordPhase, RecordedPhase, PREFIX};

/// Attempts at writing a phase; after that the leader has to request it again.
const MAX_TRIES: u32 = 4;

/// Writes phases to the store as leaders decide them.
pub async fn persist(cx: Rc<Control>, decided: Shared<PhaseReceiver>) {
    let mut decided = decided.lock().await;
    while let Some(RecordPhase {
        placed,
        phase,
        reply,
    }) = decided.recv().await
    {
        let recorded = write_with_retries(&cx, &placed, phase).await;
        // The leader's task may have ended in the meantime.
        let _sent = recorded.map(|recorded| reply.send(recorded));
    }
}

/// Writes a phase, with up to [`MAX_TRIES`] attempts. Returns the phase stored afterwards.
async fn write_with_retries(cx: &Control, placed: &PlacedOrder, phase: Phase) -> Option<Phase> {
    let mut backoff = Backoff::default();
    for _ in 0..MAX_TRIES {
        let written = write(cx, placed, phase).await;
        log_recording(cx, placed, &written);
        match written {
            Ok(recorded) => return Some(recorded),
            Err(err) => cx.store_failed(&err),
        }
        backoff.pause().await;
    }
    None
}

async fn write(cx: &Control, placed: &PlacedOrder, phase: Phase) -> Result<Phase, StoreError> {
    let service = &placed.order.service;
    let key = format!("{PREFIX}{service}");
    let current = cx.store.get(&key).await?;
    let known = current.as_ref().and_then(|item| cx.decode_record(item));
    let known = known.filter(|known| known.order == placed.at);
    if let Some(known) = known.filter(|known| known.phase.is_final() || known.phase == phase) {
        return Ok(known.phase);
    }
    let recorded = RecordedPhase {
        order: placed.at,
        phase,
    };
    #[expect(clippy::expect_used, reason = "plain structs always encode")]
    let record = rmp_serde::to_vec(&recorded).expect("this type always encodes");
    let status_key = rollout_status_key(service);
    let status = encode_rollout_status(&placed.order, state_of(phase));
    let puts: [(&str, &[u8]); 2] = [(&key, &record), (&status_key, &status)];
    let expected = current.map(|item| item.at);
    cx.store.put_all(expected, &puts).await?;
    Ok(phase)
}

/// State that operators are shown for a phase.
fn state_of(phase: Phase) -> RolloutState {
    match phase {
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack => RolloutState::RolledBack,
        Phase::Waiting | Phase::Canary | Phase::Ramp | Phase::Full => RolloutState::Running,
    }
}

fn log_recording(cx: &Control, placed: &PlacedOrder, written: &Result<Phase, StoreError>) {
    let PlacedOrder { order, at } = placed;
    let (service, version) = (&order.service, &order.version);
    let outcome = match written {
        Ok(phase) => format!("phase={}", phase.name()),
        Err(err) => format!("phase=unwritten why={}", Quoted(&err)),
    };
    let fields = format_args!(
        "service={} version={} order={at} {outcome}",
        Field(&service),
        Field(&version)
    );
    cx.log.line(events::ROLLOUT_RECORDED, fields);
}

impl Control {
    /// Applies the complete list of orders.
    pub(super) fn apply_order_list(&self, range: &Range) {
        let items = range.items.iter();
        let listed = items.filter_map(|item| self.decode_order(item)).collect();
        self.update_orders(|orders| orders.apply_list(range.at, listed));
    }

    /// Applies orders that were given or withdrawn.
    pub(super) fn apply_order_changes(&self, changes: &Changes) {
        self.update_orders(|orders| {
            let mut changed = false;
            for change in &changes.changes {
                changed |= match change {
                    Change::Put(item) => {
                        let placed = self.decode_order(item);
                        placed.is_some_and(|placed| orders.put(placed))
                    }
                    Change::Deleted { key, at } => {
                        rollout_service(key).is_some_and(|service| orders.withdraw(service, *at))
                    }
                };
            }
            changed
        });
    }

    /// Merges orders received from a peer.
    pub(super) fn merge_orders(&self, received: Vec<PlacedOrder>) {
        self.update_orders(|orders| {
            let mut changed = false;
            for placed in received {
                changed |= orders.put(placed);
            }
            changed
        });
    }

    fn update_orders(&self, change: impl FnOnce(&mut Orders) -> bool) {
        let changed = change(&mut self.orders.borrow_mut());
        if changed {
            self.publish();
        }
    }

    /// Decodes an order; a malformed one is logged and ignored.
    fn decode_order(&self, item: &Item) -> Option<PlacedOrder> {
        let service = rollout_service(&item.key)?;
        match decode_rollout(service, &item.value) {
            Ok(order) => Some(PlacedOrder { order, at: item.at }),
            Err(err) => {
                let fields = format_args!(
                    "key={} at={} why={}",
                    Field(&item.key),
                    item.at,
                    Quoted(&err)
                );
                self.log.line(events::ROLLOUT_ORDER_UNREADABLE, fields);
                None
            }
        }
    }

    /// Applies the phases listed by the store.
    pub(super) fn apply_rollout_records(&self, items: &[Item]) {
        for item in items {
            self.apply_rollout_record(item);
        }
    }

    /// Applies one change. Returns true if the recorded phases changed.
    pub(super) fn apply_rollout_change(&self, change: &Change) -> bool {
        match change {
            Change::Put(item) => self.apply_rollout_record(item),
            // Entries don't delete phases; a withdrawn order is handled through the order's
            // own key.
            Change::Deleted { .. } => false,
        }
    }

    fn apply_rollout_record(&self, item: &Item) -> bool {
        let Some(service) = item.key.strip_prefix(PREFIX) else {
            return false;
        };
        let Some(recorded) = self.decode_record(item) else {
            return false;
        };
        let mut records = self.rollout_records.borrow_mut();
        records.insert(service.to_string(), recorded) != Some(recorded)
    }

    fn decode_record(&self, item: &Item) -> Option<RecordedPhase> {
        match rmp_serde::from_slice(&item.value) {
            Ok(recorded) => Some(recorded),
            Err(err) => {
                let fields = format_args!("key={} why={}", Field(&item.key), Quoted(&err));
                self.log.line(events::RECORD_UNREADABLE, fields);
                None
            }
        }
    }
}
