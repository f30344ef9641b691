//! Which pieces go into a call to a worker.
//!
//! Group after group, in the order of [`BatchQueue::groups_for`], as long as
//! the call has places and the worker has room for the results.

use super::{BatchQueue, PieceKey, WorkerKey};
use crate::Millis;

/// Part of a worker's free memory that a part of a group may take to fill a
/// call.
const SPLIT_ROOM_SHARE: f64 = 0.6;

impl<T> BatchQueue<T> {
    /// The pieces for a call: group after group, as they go together.
    pub(super) fn choose_pieces(&self, worker: WorkerKey, now: Millis) -> Vec<PieceKey> {
        let mut chosen = Vec::new();
        let mut room = self.room(worker, now);
        // A slow worker is only tried: one group, not a whole batch.
        let is_slow = self.workers[worker].is_slow();
        for group in self.groups_for(worker, now) {
            if is_slow && !chosen.is_empty() {
                break;
            }
            let places = self.rules.batch - chosen.len();
            let bytes: u64 = group.iter().map(|key| self.result_bytes(*key)).sum();
            if group.len() <= places && bytes <= room {
                room -= bytes;
                chosen.extend(group);
            } else if chosen.is_empty() && self.may_split(&group) {
                chosen.extend(self.those_that_fit(&group, places, room));
                break;
            } else if self.is_small(&group[..places.min(group.len())], room) {
                // The call costs the same without them, and the rest goes first
                // in the next one.
                chosen.extend(self.those_that_fit(&group, places, room));
                break;
            } else if bytes > room {
                // The memory that comes free is for this group: those behind it
                // get only what is small.
                room = room.min(self.small_room());
            }
        }
        chosen
    }

    /// Waiting pieces that are wanted at a worker, by group: first groups that
    /// were begun, whose results lie idle; then by priority; in each, those that
    /// can still be in time before the late ones, unless these hold memory elsewhere.
    fn groups_for(&self, worker: WorkerKey, now: Millis) -> Vec<Vec<PieceKey>> {
        let hall = self.workers[worker].hall;
        let soonest = now + self.rules.expected_ms(self.rules.batch) as Millis;
        let mut ranked: Vec<((u8, u8, bool), Vec<PieceKey>)> = Vec::new();
        let mut last = None;
        for (_, key) in &self.waiting {
            let piece = &self.pieces[*key];
            let is_wanted_here =
                piece.order.hall.is_none_or(|wanted| wanted == hall) || piece.anywhere_from <= now;
            if !is_wanted_here {
                continue;
            }
            if last == Some(piece.order.group) {
                ranked
                    .last_mut()
                    .expect("a group was just pushed")
                    .1
                    .push(*key);
                continue;
            }
            last = Some(piece.order.group);
            let begun = self.groups.get(&piece.order.group).is_some_and(|g| g.begun);
            let is_late = piece.order.due < soonest && !piece.order.holds_inputs;
            let class = match begun {
                true => (0, 0, false),
                false => (1, piece.order.priority, is_late),
            };
            ranked.push((class, vec![*key]));
        }
        ranked.sort_by_key(|(class, _)| *class);
        ranked.into_iter().map(|(_, group)| group).collect()
    }

    /// A group is split when it is begun already, or too large for most calls.
    fn may_split(&self, group: &[PieceKey]) -> bool {
        let key = self.pieces[group[0]].order.group;
        let begun = self.groups.get(&key).is_some_and(|group| group.begun);
        begun || group.len() > self.rules.batch / 2
    }

    /// True when results of some pieces take little of the room.
    fn is_small(&self, pieces: &[PieceKey], room: u64) -> bool {
        let bytes: u64 = pieces.iter().map(|key| self.result_bytes(*key)).sum();
        bytes as f64 <= room as f64 * SPLIT_ROOM_SHARE
    }

    fn those_that_fit(&self, group: &[PieceKey], places: usize, room: u64) -> Vec<PieceKey> {
        let each = group
            .iter()
            .map(|key| self.result_bytes(*key))
            .max()
            .unwrap_or(0);
        let fitting = room
            .checked_div(each)
            .map_or(usize::MAX, |fit| fit as usize);
        let most = fitting.min(places);
        group.iter().copied().take(most).collect()
    }

    fn result_bytes(&self, key: PieceKey) -> u64 {
        self.pieces[key].order.result_bytes
    }
}
