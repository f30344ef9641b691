//! One queue for all workers of a stage service.
//!
//! A call to a worker costs a fixed time and some for each piece, so pieces
//! share calls. They wait here, not at workers: whichever worker is free next
//! takes the most urgent ones, up to a whole batch. Pieces of all requests mix.
//!
//! The pieces of a request's stage are of use together only, so they go into
//! one call where they can, and what was begun is ended before anything else:
//! half of a request's results would only fill a worker's memory.
//!
//! A worker's memory for results is counted here too: a piece goes only where
//! its result has room, until [`BatchQueue::free`] tells that it was given up.
//!
//! A call that lasts much longer than it should makes its worker suspect: its
//! pieces go back to the queue for others ([`BatchQueue::take_overdue`]), and
//! the first result counts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use slotmap::{new_key_type, SlotMap};

use crate::Millis;

new_key_type! {
    /// One worker.
    pub struct WorkerKey;
    /// One piece, until its result is in or it is given up.
    pub struct PieceKey;
    /// One call under way.
    pub struct CallKey;
}

/// What one worker does, by the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRules {
    /// Calls at work at once.
    pub running: usize,
    /// Pieces in a call at most.
    pub batch: usize,
    /// Time of a call besides that of its pieces.
    pub call_ms: f64,
    /// About the time of a piece.
    pub piece_ms: f64,
    /// Memory for results.
    pub result_bytes: u64,
}

impl PoolRules {
    /// Time of a call with so many pieces.
    pub fn expected_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

/// How urgent a piece is, and what its result takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PieceOrder {
    /// 0 is the most urgent.
    pub priority: u8,
    /// When the result should be there.
    pub due: Millis,
    /// When the result is of no use any more.
    pub expires: Millis,
    /// About the size of the result.
    pub result_bytes: u64,
    /// Pieces of one group, the stage of a request, are of use together only.
    pub group: GroupKey,
    /// Where the result is wanted; another hall's workers make it only once it
    /// has waited a while.
    pub hall: Option<HallKey>,
}

/// Pieces that are of use together only, by a number of the caller's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GroupKey(pub u64);

/// How much work a queue has, for those who judge requests by it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Pieces made at a time.
    pub slots: f32,
    /// Pieces in calls.
    pub running: u32,
    /// Waiting pieces that can be in time, by priority.
    pub ahead: Vec<(u8, u32)>,
    /// Time of a whole batch, in milliseconds.
    pub call_ms: u32,
}

impl QueueLoad {
    /// Pieces that go before one of a priority.
    pub fn ahead_of(&self, priority: u8) -> u32 {
        let before = self.ahead.iter().filter(|(other, _)| *other <= priority);
        self.running + before.map(|(_, pieces)| pieces).sum::<u32>()
    }
}

/// A data hall, by a number of the caller's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HallKey(pub u16);

/// A call to make now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedCall {
    pub call: CallKey,
    pub worker: WorkerKey,
    pub pieces: Vec<StartedPiece>,
}

/// One piece of a call, and the memory that is set aside for its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartedPiece {
    pub key: PieceKey,
    pub result_bytes: u64,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The worker answered, whatever it says of the pieces.
    Answered,
    /// The worker was full; it did nothing.
    Refused,
    /// No answer.
    Failed,
}

/// Priority, due time, order of arrival: pieces that arrive together stay
/// together.
type Rank = (u8, Millis, u64);

/// Pieces of one group that aren't finished, and whether some were begun.
#[derive(Debug, Default)]
struct Group {
    pieces: usize,
    begun: bool,
}

#[derive(Debug)]
struct Piece<T> {
    order: PieceOrder,
    rank: Rank,
    /// When it may be made in any hall.
    anywhere_from: Millis,
    /// Calls under way that make it.
    calls: u32,
    job: T,
}

#[derive(Debug)]
struct Worker {
    hall: HallKey,
    calls: usize,
    held_bytes: u64,
    /// Takes nothing new before this.
    out_until: Millis,
    /// It said that its memory is full; only small results go there before
    /// this.
    full_until: Millis,
    /// Failures in a row.
    failures: u32,
    /// Takes nothing new ever; goes with its last call.
    leaving: bool,
    /// Recent times of its calls over the expected ones.
    slowness: f64,
}

#[derive(Debug)]
struct Call {
    worker: WorkerKey,
    pieces: Vec<StartedPiece>,
    started: Millis,
    expected_ms: f64,
    overdue: bool,
}

/// Weight of the newest call in a worker's slowness.
const NEW_WEIGHT: f64 = 0.4;
/// A call is overdue after this multiple of its expected time ...
const OVERDUE_FACTOR: f64 = 1.8;
/// ... and this many milliseconds; a worker's host may lag a little.
const OVERDUE_SLACK_MS: f64 = 80.0;
/// Slowness from which on a worker gets a call only now and then.
const SLOW_FACTOR: f64 = 2.0;
/// Between two calls to a slow worker, in milliseconds, to see whether it
/// recovered.
const PROBE_MS: Millis = 800;
/// How long a worker that failed takes nothing, in milliseconds; doubles with
/// each failure in a row.
const OUT_MS: Millis = 300;
/// Most doublings of [`OUT_MS`].
const MOST_DOUBLINGS: u32 = 4;
/// How long a worker that was full takes nothing, in milliseconds.
const FULL_MS: Millis = 20;
/// How long a worker whose memory is full gets only small results, in
/// milliseconds.
const MEMORY_FULL_MS: Millis = 40;
/// Calls for which a result stays at its worker, about: its own, the next
/// stage's, and some waiting.
const RESIDENCE_CALLS: f64 = 2.5;
/// What a queue without a working worker is taken for: far too little.
const LEAST_SLOTS: f64 = 0.25;
/// Part of a worker's memory that small results may take meanwhile.
const SMALL_SHARE: f64 = 0.02;
/// Part of a worker's free memory that a part of a group may take to fill a
/// call.
const SPLIT_ROOM_SHARE: f64 = 0.6;
/// Part of a worker's memory that is filled; the rest is for results whose
/// size was told too small.
const MEMORY_SHARE: f64 = 0.95;

/// How long a piece waits at least for a worker of the hall where its result is
/// wanted, in milliseconds.
const HALL_PATIENCE_MS: Millis = 60;

/// The queue of one stage service.
#[derive(Debug)]
pub struct BatchQueue<T> {
    rules: PoolRules,
    workers: SlotMap<WorkerKey, Worker>,
    pieces: SlotMap<PieceKey, Piece<T>>,
    calls: SlotMap<CallKey, Call>,
    waiting: BTreeSet<(Rank, PieceKey)>,
    groups: HashMap<GroupKey, Group>,
    arrivals: u64,
}

impl Worker {
    /// It takes so much longer than it should that waiting for another is
    /// better.
    fn is_slow(&self) -> bool {
        self.slowness >= SLOW_FACTOR
    }
}

impl<T> BatchQueue<T> {
    /// An empty queue.
    pub fn new(rules: PoolRules) -> Self {
        BatchQueue {
            rules,
            workers: SlotMap::with_key(),
            pieces: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            waiting: BTreeSet::new(),
            groups: HashMap::new(),
            arrivals: 0,
        }
    }

    /// Takes new rules for calls to come.
    pub fn set_rules(&mut self, rules: PoolRules) {
        self.rules = rules;
    }

    /// What a worker does.
    pub fn rules(&self) -> &PoolRules {
        &self.rules
    }

    /// A worker came.
    pub fn add_worker(&mut self, hall: HallKey) -> WorkerKey {
        self.workers.insert(Worker {
            hall,
            calls: 0,
            held_bytes: 0,
            out_until: 0,
            full_until: 0,
            failures: 0,
            leaving: false,
            slowness: 1.0,
        })
    }

    /// A worker leaves: it gets nothing new.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.leaving = true;
            if state.calls == 0 {
                self.workers.remove(worker);
            }
        }
    }

    /// A piece waits from now on.
    pub fn push(&mut self, order: PieceOrder, job: T, now: Millis) -> PieceKey {
        self.arrivals += 1;
        let rank = (order.priority, order.due, self.arrivals);
        let key = self.pieces.insert(Piece {
            order,
            rank,
            anywhere_from: self.anywhere_from(&order, now),
            calls: 0,
            job,
        });
        self.waiting.insert((rank, key));
        self.groups.entry(order.group).or_default().pieces += 1;
        key
    }

    /// When a piece may be made outside the hall where it is wanted: as late as
    /// it can still be in time, and not at once even when it is late.
    fn anywhere_from(&self, order: &PieceOrder, now: Millis) -> Millis {
        let whole_call = self.rules.expected_ms(self.rules.batch) as Millis;
        let latest_start = order.due.saturating_sub(whole_call);
        latest_start.max(now + HALL_PATIENCE_MS)
    }

    /// The job of a piece that isn't finished.
    pub fn job(&self, piece: PieceKey) -> Option<&T> {
        self.pieces.get(piece).map(|piece| &piece.job)
    }

    /// The same, to change it.
    pub fn job_mut(&mut self, piece: PieceKey) -> Option<&mut T> {
        self.pieces.get_mut(piece).map(|piece| &mut piece.job)
    }

    /// Ends a piece, made or given up. `None` when it ended before.
    pub fn finish(&mut self, piece: PieceKey) -> Option<T> {
        let piece_state = self.pieces.remove(piece)?;
        self.waiting.remove(&(piece_state.rank, piece));
        self.leave_group(piece_state.order.group);
        Some(piece_state.job)
    }

    fn leave_group(&mut self, key: GroupKey) {
        let Some(group) = self.groups.get_mut(&key) else {
            return;
        };
        group.pieces -= 1;
        if group.pieces == 0 {
            self.groups.remove(&key);
        }
    }

    /// A piece that is in no call any more waits again.
    pub fn requeue(&mut self, piece: PieceKey) {
        if let Some(state) = self.pieces.get(piece) {
            self.waiting.insert((state.rank, piece));
        }
    }

    /// What a piece that comes now finds.
    pub fn load(&self, now: Millis) -> QueueLoad {
        let mut ahead: BTreeMap<u8, u32> = BTreeMap::new();
        let mut bytes = 0;
        for (_, key) in &self.waiting {
            let order = &self.pieces[*key].order;
            bytes += order.result_bytes;
            // A late piece goes behind those that can be in time.
            if order.due >= now {
                *ahead.entry(order.priority).or_default() += 1;
            }
        }
        let average_bytes = bytes / self.waiting.len().max(1) as u64;
        let running: usize = self.calls.values().map(|call| call.pieces.len()).sum();
        QueueLoad {
            slots: self.slots(average_bytes),
            running: running as u32,
            ahead: ahead.into_iter().collect(),
            call_ms: self.rules.expected_ms(self.rules.batch) as u32,
        }
    }

    /// Pieces that the workers make at a time: whole batches, fewer where they
    /// are slow or where results of so many bytes fill their memory first.
    fn slots(&self, result_bytes: u64) -> f32 {
        let works = |worker: &&Worker| !worker.leaving && worker.failures == 0;
        let fitting = self.rules.result_bytes as f64 / result_bytes.max(1) as f64;
        let at_once = (fitting / RESIDENCE_CALLS).min(self.rules.batch as f64);
        let workers = self.workers.values().filter(works);
        let slots: f64 = workers
            .map(|worker| at_once / worker.slowness.max(1.0))
            .sum();
        slots.max(LEAST_SLOTS) as f32
    }

    /// Pieces that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls under way.
    pub fn running(&self) -> usize {
        self.calls.len()
    }

    /// Workers that take new work.
    pub fn usable_workers(&self, now: Millis) -> usize {
        let usable = |worker: &&Worker| !worker.leaving && worker.out_until <= now;
        self.workers.values().filter(usable).count()
    }

    /// Waiting pieces whose time is over; the caller finishes them.
    pub fn expired(&self, now: Millis) -> Vec<PieceKey> {
        self.waiting
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| self.pieces[*key].order.expires <= now)
            .collect()
    }

    /// The next call to make, if a worker is free and a piece waits.
    pub fn next_call(&mut self, now: Millis) -> Option<StartedCall> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut free = self.free_workers(now);
        free.sort_by(|a, b| self.burden(*a).total_cmp(&self.burden(*b)));
        free.into_iter().find_map(|worker| {
            let pieces = self.choose_pieces(worker, now);
            (!pieces.is_empty()).then(|| self.start(worker, pieces, now))
        })
    }

    /// Slowness and filled memory of a worker; the least burdened goes first.
    fn burden(&self, worker: WorkerKey) -> f64 {
        let worker = &self.workers[worker];
        worker.slowness + worker.held_bytes as f64 / self.rules.result_bytes.max(1) as f64
    }

    fn free_workers(&self, now: Millis) -> Vec<WorkerKey> {
        self.workers
            .iter()
            .filter(|(_, worker)| !worker.leaving && worker.out_until <= now)
            .filter(|(_, worker)| worker.calls < self.rules.running)
            .map(|(key, _)| key)
            .collect()
    }

    /// The pieces for a call: group after group, as they go together.
    fn choose_pieces(&self, worker: WorkerKey, now: Millis) -> Vec<PieceKey> {
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
    /// can still be in time before the late ones.
    fn groups_for(&self, worker: WorkerKey, now: Millis) -> Vec<Vec<PieceKey>> {
        let hall = self.workers[worker].hall;
        let soonest = now + self.rules.expected_ms(1) as Millis;
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
            let is_late = piece.order.due < soonest;
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

    fn small_room(&self) -> u64 {
        (self.rules.result_bytes as f64 * SMALL_SHARE) as u64
    }

    /// Memory of a worker that results may still take, by what is known of it.
    fn room(&self, worker: WorkerKey, now: Millis) -> u64 {
        let state = &self.workers[worker];
        let whole = self.rules.result_bytes as f64;
        if now < state.full_until {
            return self.small_room();
        }
        let usable = (whole * MEMORY_SHARE) as u64;
        usable.saturating_sub(state.held_bytes)
    }

    /// A worker had no memory for a result, though there should have been some:
    /// results differ in size, and freed ones are freed a little later there.
    pub fn no_room(&mut self, worker: WorkerKey, now: Millis) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.full_until = now + MEMORY_FULL_MS;
        }
    }

    fn start(&mut self, worker: WorkerKey, chosen: Vec<PieceKey>, now: Millis) -> StartedCall {
        let mut pieces = Vec::with_capacity(chosen.len());
        for key in chosen {
            let piece = &mut self.pieces[key];
            piece.calls += 1;
            let result_bytes = piece.order.result_bytes;
            pieces.push(StartedPiece { key, result_bytes });
            self.waiting.remove(&(piece.rank, key));
            if let Some(group) = self.groups.get_mut(&piece.order.group) {
                group.begun = true;
            }
            self.workers[worker].held_bytes += result_bytes;
        }
        self.workers[worker].calls += 1;
        let call = self.calls.insert(Call {
            worker,
            pieces: pieces.clone(),
            started: now,
            expected_ms: self.rules.expected_ms(pieces.len()),
            overdue: false,
        });
        StartedCall {
            call,
            worker,
            pieces,
        }
    }

    /// A call ended. If it was refused, the memory set aside for its results is
    /// free again; else [`BatchQueue::free`] frees it for each, also where no
    /// answer came: the results may lie at the worker all the same.
    /// Its pieces that aren't finished and are in no other call
    /// are given back: the caller finishes or requeues each.
    pub fn end_call(&mut self, call: CallKey, end: CallEnd, now: Millis) -> Vec<PieceKey> {
        let Some(call) = self.calls.remove(call) else {
            return Vec::new();
        };
        self.judge_worker(&call, end, now);
        let mut left = Vec::new();
        for StartedPiece { key, result_bytes } in call.pieces {
            if end == CallEnd::Refused {
                self.free(call.worker, result_bytes);
            }
            let Some(piece) = self.pieces.get_mut(key) else {
                continue;
            };
            piece.calls -= 1;
            if piece.calls == 0 && !self.waiting.contains(&(piece.rank, key)) {
                left.push(key);
            }
        }
        left
    }

    fn judge_worker(&mut self, call: &Call, end: CallEnd, now: Millis) {
        let Some(worker) = self.workers.get_mut(call.worker) else {
            return;
        };
        worker.calls -= 1;
        match end {
            CallEnd::Answered => {
                let ratio = (now - call.started) as f64 / call.expected_ms.max(1.0);
                worker.slowness += NEW_WEIGHT * (ratio - worker.slowness);
                worker.failures = 0;
                worker.out_until = if worker.is_slow() {
                    now + PROBE_MS
                } else {
                    now
                };
            }
            CallEnd::Refused => worker.out_until = now + FULL_MS,
            CallEnd::Failed => {
                let doublings = worker.failures.min(MOST_DOUBLINGS);
                worker.out_until = now + (OUT_MS << doublings);
                worker.failures += 1;
            }
        }
        if worker.leaving && worker.calls == 0 {
            self.workers.remove(call.worker);
        }
    }

    /// Pieces that wait and are in no call leave the queue, as it passes to
    /// another owner.
    pub fn take_waiting(&mut self) -> Vec<PieceKey> {
        let idle = |key: &PieceKey| self.pieces[*key].calls == 0;
        let waiting = self.waiting.iter().map(|(_, key)| *key);
        waiting.filter(idle).collect()
    }

    /// What is known of a worker, for the queue's next owner: memory that is
    /// taken, and the time until its calls end.
    pub fn worker_state(&self, worker: WorkerKey, now: Millis) -> (u64, Millis) {
        let held = self.workers.get(worker).map_or(0, |state| state.held_bytes);
        let ends = self
            .calls
            .values()
            .filter(|call| call.worker == worker)
            .map(|call| call.started + call.expected_ms as Millis);
        (held, ends.max().unwrap_or(0).saturating_sub(now))
    }

    /// Takes over what the owner before knew of a worker. The memory is freed
    /// with [`BatchQueue::free`].
    pub fn take_over(&mut self, worker: WorkerKey, held_bytes: u64, busy_until: Millis) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.held_bytes += held_bytes;
            state.out_until = state.out_until.max(busy_until);
        }
    }

    /// Results of so many bytes were given up at a worker.
    pub fn free(&mut self, worker: WorkerKey, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held_bytes = worker.held_bytes.saturating_sub(bytes);
        }
    }

    /// Pieces of calls that last far too long wait again, for other workers.
    /// Returns the workers that turned out slow.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<WorkerKey> {
        let mut slow = Vec::new();
        for call in self.calls.values_mut() {
            let limit = call.expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS;
            if call.overdue || ((now - call.started) as f64) < limit {
                continue;
            }
            call.overdue = true;
            slow.push(call.worker);
            for StartedPiece { key, .. } in &call.pieces {
                if let Some(piece) = self.pieces.get(*key) {
                    self.waiting.insert((piece.rank, *key));
                }
            }
        }
        for worker in &slow {
            if let Some(worker) = self.workers.get_mut(*worker) {
                worker.slowness = worker.slowness.max(SLOW_FACTOR);
            }
        }
        slow
    }

    /// When a call becomes overdue next.
    pub fn next_overdue(&self) -> Option<Millis> {
        self.calls
            .values()
            .filter(|call| !call.overdue)
            .map(|call| {
                call.started + (call.expected_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS) as Millis
            })
            .min()
    }
}
