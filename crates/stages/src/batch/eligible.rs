//! Waiting pieces that the workers of a hall may take, by group and in the order in which groups
//! are taken.

use std::collections::HashMap;

use slotmap::SecondaryMap;

use super::waiting::Cohort;
use super::{BatchQueue, HallKey, PieceKey, PieceOrder, WorkerKey};
use crate::reservations::QueueOrder;
use crate::Millis;

/// Order in which groups are taken, lowest first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GroupOrder {
    /// Some of its pieces were started; partial results only occupy worker memory.
    Started,
    /// In the order by due time.
    Due(Millis),
    /// Meets its due time only if it starts with this call.
    LastChance { priority: u8 },
    /// Can also start with a later call, or is already late.
    Other { priority: u8, is_late: bool },
}

/// When a worker of a hall is expected to be free.
pub(super) type FreeFrom = HashMap<HallKey, Millis>;

/// Waiting pieces of a group that are eligible in one hall; never empty.
pub(super) type EligibleGroup<'a> = Vec<&'a Cohort>;

impl<T> BatchQueue<T> {
    /// Waiting pieces that are eligible for the workers of a hall, by group: started groups first,
    /// then those that a later call would make late, then the others. The last two are ordered by
    /// priority; late groups go last within a priority, unless their inputs occupy memory elsewhere.
    pub(super) fn groups_for(
        &self,
        hall: HallKey,
        free_from: &FreeFrom,
        now: Millis,
    ) -> Vec<EligibleGroup<'_>> {
        let earliest_end = now + self.rules.expected_ms(self.rules.batch) as Millis;
        let cohorts = self.waiting.cohorts();
        let eligible: Vec<&Cohort> = cohorts
            .filter(|cohort| is_eligible_in(hall, cohort, free_from, now))
            .collect();
        let mut groups: Vec<EligibleGroup> = eligible
            .chunk_by(|a, b| a.order.group == b.order.group)
            .map(<[&Cohort]>::to_vec)
            .collect();
        groups.sort_by_cached_key(|group| self.group_order(&group[0].order, earliest_end));
        groups
    }

    /// When a worker of each hall is expected to be free; without halls whose workers all drain or hang.
    pub(super) fn halls_free_from(&self, now: Millis) -> FreeFrom {
        let mut call_ends: SecondaryMap<WorkerKey, Millis> = SecondaryMap::new();
        for call in self.calls.values().filter(|call| !call.overdue) {
            let end = call.started + call.expected_ms as Millis;
            let earliest = call_ends
                .get(call.worker)
                .map_or(end, |other| end.min(*other));
            call_ends.insert(call.worker, earliest);
        }
        let mut free_from = FreeFrom::new();
        for (key, worker) in self.workers.iter().filter(|(_, worker)| !worker.draining) {
            let has_capacity = worker.calls < self.rules.running;
            let call_end = match has_capacity {
                true => Some(now),
                false => call_ends.get(key).copied(),
            };
            let Some(call_end) = call_end else { continue };
            let from = call_end.max(worker.next_call_at(now, self.limit_share));
            let earliest = free_from.entry(worker.hall).or_insert(from);
            *earliest = from.min(*earliest);
        }
        free_from
    }

    /// Order of a group, when a call that starts now ends at `earliest_end`.
    fn group_order(&self, order: &PieceOrder, earliest_end: Millis) -> GroupOrder {
        if self.is_started(order.group) {
            return GroupOrder::Started;
        }
        if self.order_in_force == QueueOrder::Deadline {
            return GroupOrder::Due(order.due);
        }
        let is_late = order.due < earliest_end && !order.has_large_inputs;
        // A group that can wait for the next call yields to a less urgent one that can't;
        // strict priority order would make the latter late without a gain for the former.
        let next_call = self.rules.expected_ms(self.rules.batch) as Millis;
        if !is_late && order.due < earliest_end + next_call {
            return GroupOrder::LastChance {
                priority: order.priority,
            };
        }
        GroupOrder::Other {
            priority: order.priority,
            is_late,
        }
    }
}

/// True when pieces may run in a hall now. They wait for their preferred hall only if a worker
/// there is expected to be free before the wait ends.
fn is_eligible_in(hall: HallKey, cohort: &Cohort, free_from: &FreeFrom, now: Millis) -> bool {
    if !cohort.order.halls.contains(hall) {
        return false;
    }
    let preferred = cohort.order.hall.filter(|preferred| *preferred != hall);
    preferred.is_none_or(|preferred| {
        let from = free_from.get(&preferred);
        cohort.anywhere_from <= now || from.is_none_or(|from| *from > cohort.anywhere_from)
    })
}

/// Number of pieces of a group.
pub(super) fn len(group: &[&Cohort]) -> usize {
    group.iter().map(|cohort| cohort.len()).sum()
}

/// Total size of a group's results, in bytes.
pub(super) fn bytes(group: &[&Cohort]) -> u64 {
    group.iter().map(|cohort| cohort.bytes()).sum()
}

pub(super) fn pieces<'a>(group: &'a [&Cohort]) -> impl Iterator<Item = PieceKey> + 'a {
    group.iter().flat_map(|cohort| cohort.pieces())
}
