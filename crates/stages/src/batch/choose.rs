//! Selection of the pieces for a call to a worker.
//!
//! Groups are taken in the order of [`BatchQueue::groups_for`], as long as the batch has
//! slots left and the worker has memory for the results. In the order by due time, a call
//! is no longer than the due time of its most urgent group allows.

use std::collections::HashMap;
use std::iter;

use super::eligible::{bytes, len, pieces, EligibleGroup};
use super::waiting::Cohort;
use super::{BatchQueue, GroupKey, HallKey, PieceKey, WorkerKey};
use crate::Millis;

/// Maximum share of a worker's free memory that part of a group may take to fill a call.
const PARTIAL_GROUP_MEMORY_SHARE: f64 = 0.6;
/// Smallest part of a batch to which a due time shortens a call. Much smaller calls would
/// lower the rate of the queue so far that the groups behind are late.
const MIN_CALL_SHARE: f64 = 0.5;

impl<T> BatchQueue<T> {
    /// The next call to one of the `free` workers: the least loaded one that finds pieces.
    pub(super) fn choose_call(
        &self,
        mut free: Vec<WorkerKey>,
        now: Millis,
    ) -> Option<(WorkerKey, Vec<PieceKey>)> {
        free.sort_by(|a, b| {
            self.load_score(*a, now)
                .total_cmp(&self.load_score(*b, now))
        });
        let free_from = self.halls_free_from(now);
        let mut groups_by_hall: HashMap<HallKey, Vec<EligibleGroup>> = HashMap::new();
        free.into_iter().find_map(|worker| {
            let hall = self.workers[worker].hall;
            let groups = groups_by_hall
                .entry(hall)
                .or_insert_with(|| self.groups_for(hall, &free_from, now));
            let pieces = self.choose_pieces(worker, groups, now);
            (!pieces.is_empty()).then_some((worker, pieces))
        })
    }

    /// Pieces for a call to a worker, group by group.
    fn choose_pieces(
        &self,
        worker: WorkerKey,
        groups: &[EligibleGroup],
        now: Millis,
    ) -> Vec<PieceKey> {
        let mut chosen = Vec::new();
        let mut free_memory = self.free_memory(worker, now);
        let reserves_memory = self.has_most_free_memory(worker, now);
        // A slow worker is probed with one group instead of a whole batch.
        let is_slow = self.is_probed(worker);
        let limits = self.slow_worker_limits(worker, now);
        let call_limit = self.call_limit(worker, groups.first(), now);
        for group in groups {
            if is_slow && !chosen.is_empty() {
                break;
            }
            let is_excluded = |limits| !self.is_within(limits, group, &chosen);
            if limits.as_ref().is_some_and(is_excluded) {
                continue;
            }
            let slots = call_limit - chosen.len();
            let key = group[0].order.group;
            if self.groups.get(&key).is_some_and(|group| group.is_isolated) {
                let isolated = take_fitting(group, slots, free_memory);
                if chosen.is_empty() && !isolated.is_empty() && !self.is_in_call(key) {
                    return isolated;
                }
                continue;
            }
            let bytes = bytes(group);
            if len(group) <= slots && bytes <= free_memory {
                free_memory -= bytes;
                chosen.extend(pieces(group));
            } else if chosen.is_empty() && self.can_split(group) {
                chosen.extend(take_fitting(group, slots, free_memory));
                break;
            } else if is_small(group, slots, free_memory) {
                // These pieces add no fixed cost to this call, and the rest of the group
                // goes first in the next one.
                chosen.extend(take_fitting(group, slots, free_memory));
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
    fn call_limit(&self, worker: WorkerKey, first: Option<&EligibleGroup>, now: Millis) -> usize {
        let full = self.rules.batch;
        let Some(first) = first.filter(|_| self.keeps_due_times) else {
            return full;
        };
        let due = first[0].order.due;
        let slowness = self.slowness(worker, now).max(1.0);
        let left_ms = due.saturating_sub(now) as f64 / slowness;
        let allowed = (left_ms - self.rules.call_ms) / self.rules.piece_ms.max(f64::MIN_POSITIVE);
        // The group is late in any call, so a shorter one gains nothing.
        if allowed < len(first) as f64 {
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

    pub(super) fn is_started(&self, group: GroupKey) -> bool {
        self.groups.get(&group).is_some_and(|group| group.started)
    }

    /// A group may be split when it is started already, or takes more than half a batch.
    fn can_split(&self, group: &[&Cohort]) -> bool {
        self.is_started(group[0].order.group) || len(group) > self.rules.batch / 2
    }
}

/// True when the results of the first `slots` pieces of a group take a small part of the free memory.
fn is_small(group: &[&Cohort], slots: usize, free_memory: u64) -> bool {
    let sizes = group
        .iter()
        .flat_map(|cohort| iter::repeat_n(cohort.order.result_bytes, cohort.len()));
    let bytes: u64 = sizes.take(slots).sum();
    bytes as f64 <= free_memory as f64 * PARTIAL_GROUP_MEMORY_SHARE
}

/// As many pieces of a group as slots and memory allow, each counted at the size of the largest
/// result.
fn take_fitting(group: &[&Cohort], slots: usize, free_memory: u64) -> Vec<PieceKey> {
    let sizes = group.iter().map(|cohort| cohort.order.result_bytes);
    let largest = sizes.max().unwrap_or(0);
    let fitting = free_memory
        .checked_div(largest)
        .map_or(usize::MAX, |count| count as usize);
    pieces(group).take(fitting.min(slots)).collect()
}
