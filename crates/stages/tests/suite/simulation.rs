//! Plays the load of a stage service: callers ask for room, the pieces of admitted ones
//! arrive later, calls take their time, and results stay in memory for a while.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hollowsail_routing::RequestDigest;
use hollowsail_stages::{
    BatchQueue, CallEnd, CallKey, Flow, GroupKey, HallKey, Halls, Millis, PieceOrder, PoolRules,
    QueueOrder, RefusalCause, ReservationKey, RoomDecision, RoomRequest, StageRoom, StartedCall,
    WorkerKey,
};

/// Rules of a usual stage service: a full call takes 430 ms.
pub const RULES: PoolRules = PoolRules {
    running: 1,
    batch: 38,
    call_ms: 240.0,
    piece_ms: 5.0,
    result_bytes: 6_700_000,
};

/// One caller with one request.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub at: Millis,
    pub flow: Flow,
    pub weight: f64,
    pub pieces: u32,
    pub bytes: u64,
    /// Time from the request until its pieces arrive, in milliseconds.
    pub ready_in: Millis,
    /// Time from the request until its results are due, in milliseconds.
    pub due_in: Millis,
    /// Time after which a refused caller gives up, in milliseconds.
    pub patience: Millis,
    /// Returns this much earlier than it was told, in milliseconds.
    pub early_by: Millis,
}

impl Caller {
    pub fn new(at: Millis, urgency: u8, organisation: u64) -> Self {
        Caller {
            at,
            flow: Flow {
                urgency,
                organisation,
            },
            weight: 1.0,
            pieces: 4,
            bytes: 1_000,
            ready_in: 20,
            due_in: 1_300,
            patience: 0,
            early_by: 0,
        }
    }
}

/// What became of a caller.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub refusals: Vec<(Millis, RefusalCause, Millis)>,
    pub admitted_at: Option<Millis>,
    pub due: Millis,
    pub done_at: Option<Millis>,
}

impl Outcome {
    pub fn is_in_time(&self) -> bool {
        self.done_at.is_some_and(|done| done <= self.due)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    Arrive(usize),
    CallEnd(CallKey),
    Release(WorkerKey, u64, Millis),
    LoseWorkers(usize),
}

pub struct Simulation {
    pub queue: BatchQueue<usize>,
    pub callers: Vec<Caller>,
    pub outcomes: Vec<Outcome>,
    pub workers: Vec<WorkerKey>,
    /// Time that results stay after their call, in milliseconds.
    pub retention_after: Millis,
    /// Actual duration of calls, as a share of the expected one.
    pub call_factor: f64,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    reservations: HashMap<usize, ReservationKey>,
    unfinished: HashMap<usize, u32>,
    calls: HashMap<CallKey, StartedCall>,
}

impl Simulation {
    pub fn new(workers: usize, callers: Vec<Caller>) -> Self {
        Self::with_rules(RULES, workers, callers)
    }

    pub fn with_rules(rules: PoolRules, workers: usize, callers: Vec<Caller>) -> Self {
        let mut queue = BatchQueue::new(rules);
        queue.set_order(QueueOrder::Deadline);
        let workers = (0..workers).map(|_| queue.add_worker(HallKey(0)));
        let workers = workers.collect();
        let mut simulation = Simulation {
            queue,
            outcomes: vec![Outcome::default(); callers.len()],
            workers,
            retention_after: 100,
            call_factor: 1.0,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            reservations: HashMap::new(),
            unfinished: HashMap::new(),
            calls: HashMap::new(),
            callers,
        };
        for index in 0..simulation.callers.len() {
            let at = simulation.callers[index].at;
            simulation.schedule(at, Event::Ask(index));
        }
        simulation
    }

    /// Removes the last `count` workers at a time; their calls fail.
    pub fn lose_workers(&mut self, at: Millis, count: usize) {
        self.schedule(at, Event::LoseWorkers(count));
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Plays all events.
    pub fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.apply(event);
            let is_last_of_instant = self
                .events
                .peek()
                .is_none_or(|Reverse((next, ..))| *next > at);
            if is_last_of_instant {
                self.pump();
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Ask(index) => self.ask(index),
            Event::Arrive(index) => self.arrive(index),
            Event::CallEnd(key) => self.end_call(key),
            Event::Release(worker, bytes, started) => {
                self.queue.release_memory(worker, bytes);
                self.queue.record_retention(bytes, self.now - started);
            }
            Event::LoseWorkers(count) => {
                for worker in self.workers.split_off(self.workers.len() - count) {
                    let calls = self.calls.values();
                    let calls: Vec<CallKey> = calls
                        .filter(|call| call.worker == worker)
                        .map(|call| call.call)
                        .collect();
                    for key in calls {
                        self.calls.remove(&key);
                        for piece in self.queue.end_call(key, CallEnd::Failed, self.now) {
                            self.queue.requeue(piece);
                        }
                    }
                    self.queue.remove_worker(worker);
                }
            }
        }
    }

    pub fn room_request(&self, index: usize) -> RoomRequest {
        let caller = self.callers[index];
        RoomRequest {
            flow: caller.flow,
            weight: caller.weight,
            digest: RequestDigest((index as u128).to_be_bytes()),
            max_return_ms: caller.patience.min(2_000),
            stages: vec![StageRoom {
                pieces: caller.pieces,
                result_bytes: caller.bytes,
                ready: self.now + caller.ready_in,
                due: self.now + caller.due_in,
            }],
        }
    }

    fn ask(&mut self, index: usize) {
        let caller = self.callers[index];
        let request = self.room_request(index);
        match self.queue.reserve(self.now, &request) {
            RoomDecision::Reserved(key) => {
                self.reservations.insert(index, key);
                self.outcomes[index].admitted_at = Some(self.now);
                self.outcomes[index].due = self.now + caller.due_in;
                self.schedule(self.now + caller.ready_in, Event::Arrive(index));
            }
            RoomDecision::Refused(refusal) => {
                let refusals = &mut self.outcomes[index].refusals;
                refusals.push((self.now, refusal.cause, refusal.retry_after_ms));
                let wait = refusal.retry_after_ms.saturating_sub(caller.early_by);
                let back_at = self.now + wait.max(1);
                if back_at <= caller.at + caller.patience {
                    self.schedule(back_at, Event::Ask(index));
                }
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let caller = self.callers[index];
        if let Some(key) = self.reservations.remove(&index) {
            self.queue.begin_reserved(key, caller.pieces);
        }
        let due = self.outcomes[index].due;
        let order = PieceOrder {
            priority: caller.flow.urgency,
            due,
            expires: due + 2_000,
            halls: Halls::ALL,
            result_bytes: caller.bytes,
            group: GroupKey(index as u64),
            has_large_inputs: false,
            hall: None,
        };
        for _ in 0..caller.pieces {
            self.queue.push(order, index, self.now);
        }
        self.unfinished.insert(index, caller.pieces);
    }

    fn pump(&mut self) {
        for piece in self.queue.expired(self.now) {
            self.queue.finish(piece);
        }
        while let Some(call) = self.queue.next_call(self.now) {
            let expected = self.queue.rules().expected_ms(call.pieces.len());
            let ends = self.now + (expected * self.call_factor) as Millis;
            self.schedule(ends, Event::CallEnd(call.call));
            self.calls.insert(call.call, call);
        }
    }

    fn end_call(&mut self, key: CallKey) {
        let Some(call) = self.calls.remove(&key) else {
            return;
        };
        for piece in &call.pieces {
            let release_at = self.now + self.retention_after;
            let release = Event::Release(call.worker, piece.result_bytes, call.at);
            self.schedule(release_at, release);
            let Some(index) = self.queue.finish(piece.key) else {
                continue;
            };
            let left = self.unfinished.entry(index).or_default();
            *left -= 1;
            if *left == 0 {
                self.outcomes[index].done_at = Some(self.now);
            }
        }
        self.queue.end_call(key, CallEnd::Answered, self.now);
    }

    /// Callers that match, with their outcomes.
    pub fn of(&self, matches: impl Fn(&Caller) -> bool) -> Vec<&Outcome> {
        let all = self.callers.iter().zip(&self.outcomes);
        all.filter(|(caller, _)| matches(caller))
            .map(|(_, outcome)| outcome)
            .collect()
    }

    /// Share of the matching callers that were served in time.
    pub fn served(&self, matches: impl Fn(&Caller) -> bool) -> f64 {
        let outcomes = self.of(matches);
        let served = outcomes.iter().filter(|outcome| outcome.is_in_time());
        served.count() as f64 / outcomes.len().max(1) as f64
    }
}

/// Callers at even intervals with a fixed irregularity, `per_s` from `from` to `until`.
pub fn steady(from: Millis, until: Millis, per_s: f64, caller: Caller) -> Vec<Caller> {
    let count = ((until - from) as f64 / 1_000.0 * per_s) as u64;
    let at = |index: u64| {
        // Up to two intervals late, so that callers bunch up.
        let irregular = (index * 7_919 % 64) as f64 / 32.0;
        from + ((index as f64 + irregular) / per_s * 1_000.0) as Millis
    };
    let callers = (0..count).map(|index| Caller {
        at: at(index),
        ..caller
    });
    callers.collect()
}
