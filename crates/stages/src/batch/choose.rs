//! Selection of the pieces for a call to a worker.
//!
//! Groups are taken in the order of [`BatchQueue::groups_for`], as long as the batch has
//! slots left and the worker has memory for the results. In the order by due time, a call
//! is no longer than the due time of its most urgent group allows.

use super::{BatchQueue, GroupKey, HallKey, PieceKey, WorkerKey};
use crate::reservations::QueueOrder;
use crate::Millis;

/// Maximum share of a worker's free memory that part of a group may take to fill a call.
const PARTIAL_GROUP_MEMORY_SHARE: f64 = 0.6;
/// Smallest part of a batch to which a due time shortens a call. Much smaller calls would
/// lower the rate of the queue so far that the groups behind are late.
const MIN_CALL_SHARE: f64 = 0.5;

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

impl<T> BatchQueue<T> {
    /// Pieces for a call to a worker, group by group.
    pub(super) fn choose_pieces(&self, worker: WorkerKey, now: Millis) -> Vec<PieceKey> {
        let mut chosen = Vec::new();
        let mut free_memory = self.free_memory(worker, now);
        let reserves_memory = self.has_most_free_memory(worker, now);
        // A slow worker is probed with one group instead of a whole batch.
        let is_slow = self.is_probed(worker);
        let limits = self.slow_worker_limits(worker, now);
        let groups = self.groups_for(worker, now);
        let call_limit = self.call_limit(worker, groups.first(), now);
        for group in groups {
            if is_slow && !chosen.is_empty() {
                break;
            }
            let is_excluded = |limits| !self.is_within(limits, &group, &chosen);
            if limits.as_ref().is_some_and(is_excluded) {
                continue;
            }
            let slots = call_limit - chosen.len();
            let key = self.group_of(group[0]);
            if self.groups.get(&key).is_some_and(|group| group.is_isolated) {
                let isolated = self.take_fitting(&group, slots, free_memory);
                if chosen.is_empty() && !isolated.is_empty() && !self.is_in_call(key) {
                    return isolated;
                }
                continue;
            }
            let bytes: u64 = group.iter().map(|key| self.result_bytes(*key)).sum();
            if group.len() <= slots && bytes <= free_memory {
                free_memory -= bytes;
                chosen.extend(group);
            } else if chosen.is_empty() && self.can_split(&group) {
                chosen.extend(self.take_fitting(&group, slots, free_memory));
                break;
            } else if self.is_small(&group[..slots.min(group.len())], free_memory) {
                // These pieces add no fixed cost to this call, and the rest of the group
                // goes first in the next one.
                chosen.extend(self.take_fitting(&group, slots, free_memory));
                break;
            } else if bytes > free_memory && reserves_memory {
                // Memory released from now on is reserved for this group; the groups
                // behind it get only what small results may take.
                free_memory = free_memory.min(self.small_results_memory());
            }
        }
        chosen
    }

    /// Maximum number of pieces of a call whose most urgent group is `first`.
    fn call_limit(&self, worker: WorkerKey, first: Option<&Vec<PieceKey>>, now: Millis) -> usize {
        let full = self.rules.batch;
        let Some(first) = first.filter(|_| self.keeps_due_times) else {
            return full;
        };
        let due = self.pieces[first[0]].order.due;
        let slowness = self.slowness(worker, now).max(1.0);
        let left_ms = due.saturating_sub(now) as f64 / slowness;
        let allowed = (left_ms - self.rules.call_ms) / self.rules.piece_ms.max(f64::MIN_POSITIVE);
        // The group is late in any call, so a shorter one gains nothing.
        if allowed < first.len() as f64 {
            return full;
        }
        let smallest = (full as f64 * MIN_CALL_SHARE).ceil();
        allowed.max(smallest).min(full as f64) as usize
    }

    /// True when a call in progress that isn't overdue contains a piece of the group.
    fn is_in_call(&self, group: GroupKey) -> bool {
        let mut calls = self.calls.values().filter(|call| !call.overdue);
        calls.any(|call| {
            let mut pieces = call.pieces.iter();
            let is_in_group = |key| {
                self.pieces
                    .get(key)
                    .is_some_and(|piece| piece.order.group == group)
            };
            pieces.any(|piece| is_in_group(piece.key))
        })
    }

    /// True when no other healthy worker in its hall has more free memory. Memory for a large
    /// group is reserved at this worker only; if all workers reserved it, most would stay unused.
    fn has_most_free_memory(&self, worker: WorkerKey, now: Millis) -> bool {
        let hall = self.workers[worker].hall;
        let own = (self.free_memory(worker, now), worker);
        let others = self.workers.iter();
        let mut healthy =
            others.filter(|(key, other)| other.hall == hall && self.is_healthy(*key, now));
        healthy.all(|(key, _)| (self.free_memory(key, now), key) <= own)
    }

    /// Waiting pieces that are eligible for a worker, by group: started groups first, then
    /// those that a later call would make late, then the others. The last two are ordered
    /// by priority; late groups go last within a priority, unless their inputs occupy
    /// memory elsewhere.
    fn groups_for(&self, worker: WorkerKey, now: Millis) -> Vec<Vec<PieceKey>> {
        let hall = self.workers[worker].hall;
        let earliest_end = now + self.rules.expected_ms(self.rules.batch) as Millis;
        let waiting = self.waiting.iter().map(|(_, key)| *key);
        let eligible: Vec<PieceKey> = waiting
            .filter(|key| self.is_eligible_in(hall, *key, now))
            .collect();
        let mut groups: Vec<Vec<PieceKey>> = eligible
            .chunk_by(|a, b| self.group_of(*a) == self.group_of(*b))
            .map(<[PieceKey]>::to_vec)
            .collect();
        groups.sort_by_cached_key(|group| self.group_order(group[0], earliest_end));
        groups
    }

    pub(super) fn group_of(&self, key: PieceKey) -> GroupKey {
        self.pieces[key].order.group
    }

    /// True when a piece may run in a hall now. A piece waits for its preferred hall only
    /// if a worker there is expected to be free before the wait ends.
    fn is_eligible_in(&self, hall: HallKey, key: PieceKey, now: Millis) -> bool {
        let piece = &self.pieces[key];
        if !piece.order.halls.contains(hall) {
            return false;
        }
        let preferred = piece.order.hall.filter(|preferred| *preferred != hall);
        preferred.is_none_or(|preferred| {
            let anywhere_from = piece.anywhere_from;
            anywhere_from <= now || !self.has_worker_free_by(preferred, anywhere_from)
        })
    }

    /// True when a worker of the hall is expected to be free by the given time.
    fn has_worker_free_by(&self, hall: HallKey, by: Millis) -> bool {
        self.workers.iter().any(|(key, worker)| {
            let unavailable = worker.draining || worker.next_call_at(by, self.limit_share) > by;
            let has_capacity = worker.calls < self.rules.running;
            worker.hall == hall
                && !unavailable
                && (has_capacity || self.has_call_ending_by(key, by))
        })
    }

    /// True when a call of the worker is expected to end by the given time.
    fn has_call_ending_by(&self, worker: WorkerKey, by: Millis) -> bool {
        let mut calls = self.calls.values().filter(|call| call.worker == worker);
        calls.any(|call| !call.overdue && call.started + call.expected_ms as Millis <= by)
    }

    /// Order of the group of a piece, when a call that starts now ends at `earliest_end`.
    fn group_order(&self, first: PieceKey, earliest_end: Millis) -> GroupOrder {
        let order = &self.pieces[first].order;
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

    pub(super) fn is_started(&self, group: GroupKey) -> bool {
        self.groups.get(&group).is_some_and(|group| group.started)
    }

    /// A group may be split when it is started already, or takes more than half a batch.
    fn can_split(&self, group: &[PieceKey]) -> bool {
        self.is_started(self.group_of(group[0])) || group.len() > self.rules.batch / 2
    }

    /// True when the results of `pieces` take a small part of the free memory.
    fn is_small(&self, pieces: &[PieceKey], free_memory: u64) -> bool {
        let bytes: u64 = pieces.iter().map(|key| self.result_bytes(*key)).sum();
        bytes as f64 <= free_memory as f64 * PARTIAL_GROUP_MEMORY_SHARE
    }

    /// As many pieces of a group as slots and memory allow, each counted at the size of the
    /// largest result.
    fn take_fitting(&self, group: &[PieceKey], slots: usize, free_memory: u64) -> Vec<PieceKey> {
        let largest = group
            .iter()
            .map(|key| self.result_bytes(*key))
            .max()
            .unwrap_or(0);
        let fitting = free_memory
            .checked_div(largest)
            .map_or(usize::MAX, |count| count as usize);
        let count = fitting.min(slots);
        group.iter().copied().take(count).collect()
    }

    fn result_bytes(&self, key: PieceKey) -> u64 {
        self.pieces[key].order.result_bytes
    }
}
