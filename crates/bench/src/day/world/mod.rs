//! Event loop over simulated time that plays a day's requests with a policy.
//!
//! An attempt of a caller arrives and passes admission ([`forecast`]), runs through its stages
//! ([`stages`]) and then on an engine ([`answers`]). Each request is counted once.

mod answers;
mod forecast;
mod stages;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hollowsail_stages::{PieceIndex, PieceKey, StageGraph, StageSpec};
use slotmap::{new_key_type, SlotMap};

use super::draw::DrawnRequest;
use super::engines::{EnginePool, Run};
use super::model::{DayModel, KindModel};
use super::policy::DayPolicy;
use super::pool::Pool;
use super::report::{DayReport, KindReport, RequestOutcome};

new_key_type! {
    /// Key of an attempt in flight.
    struct RequestKey;
}

/// Predicted time from an engine's start to its first event, in milliseconds; same as the
/// daemon's value.
const ENGINE_MS: u64 = 250;
/// How long a caller waits for the first event: at least a time in milliseconds, and a
/// multiple of its target time.
const MIN_CALLER_TIMEOUT_MS: u64 = 2_000;
const CALLER_TIMEOUT_TARGETS: u64 = 4;
/// Delay before a refused caller retries, in milliseconds.
const RETRY_DELAY_MS: u64 = 400;
/// Interval of checks for overdue calls and expired pieces, in milliseconds; same as the
/// daemon's value.
const TICK_MS: u64 = 25;

/// One attempt of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    /// Index of the drawn request.
    drawn: usize,
    /// The caller retries after a refusal.
    is_retry: bool,
}

/// The queue entry of a piece.
#[derive(Debug, Clone, Copy)]
struct Job {
    request: RequestKey,
    index: PieceIndex,
    /// Its time as a multiple of the pool's.
    work: f64,
}

/// Location of a queued piece.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    pool: usize,
    queue: usize,
    piece: PieceKey,
}

/// Location of a result that a request still needs.
#[derive(Debug, Clone)]
struct RetainedResult {
    pool: usize,
    queue: usize,
    worker: usize,
    bytes: u64,
    handle: String,
}

/// An attempt in flight.
struct Request {
    attempt: Attempt,
    /// When the caller sent it, in milliseconds.
    requested_at: u64,
    graph: StageGraph,
    retained: HashMap<PieceIndex, RetainedResult>,
    waiting: HashMap<PieceIndex, Waiting>,
    run: Option<Run>,
}

impl Request {
    /// True once its first event has been produced.
    fn has_first_event(&self, now: u64) -> bool {
        self.run.is_some_and(|run| run.first_event_at <= now)
    }
}

/// A simulated event. Events at the same time are handled in the order of scheduling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(Attempt),
    CallEnd { pool: usize, worker: usize },
    EngineRetry(RequestKey),
    AnswerStart(RequestKey),
    RunEnd(RequestKey),
    CallerTimeout(RequestKey),
    EntriesDown,
    Tick,
}

/// State of the simulation.
struct World<'a> {
    day: &'a DayModel,
    policy: DayPolicy,
    drawn: &'a [DrawnRequest],
    /// Simulated time in milliseconds.
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Events scheduled so far; orders events at the same time.
    scheduled: u64,
    requests: SlotMap<RequestKey, Request>,
    pools: Vec<Pool<Job>>,
    engines: EnginePool,
    /// Handles issued so far.
    handles: u64,
    report: DayReport,
}

/// Plays drawn requests with a policy and returns the report under the given name.
pub fn play(
    day: &DayModel,
    drawn: &[DrawnRequest],
    name: &str,
    policy: DayPolicy,
    seed: u64,
) -> DayReport {
    let mut world = World::new(day, drawn, name, policy, seed);
    for (index, request) in drawn.iter().enumerate() {
        let attempt = Attempt {
            drawn: index,
            is_retry: false,
        };
        world.schedule(world.accepted_at(request.at_ms), Event::Arrival(attempt));
    }
    for restart in day.restarts() {
        world.schedule(restart.at_ms, Event::EntriesDown);
    }
    world.schedule(0, Event::Tick);
    world.run();
    world.report.recomputed_tokens = world.engines.recomputed_tokens;
    world.report
}

fn empty_report(kind: &KindModel) -> KindReport {
    KindReport {
        name: kind.name.clone(),
        ..KindReport::default()
    }
}

/// The stage graph of a drawn request; `pieces` holds the number of pieces of each stage.
fn graph_of(kind: &KindModel, pieces: &[usize]) -> StageGraph {
    let sizes = kind.stages.iter().zip(pieces);
    StageGraph::new(
        sizes
            .map(|(stage, &pieces)| StageSpec {
                pieces,
                after: stage.after.clone(),
            })
            .collect(),
    )
}

impl<'a> World<'a> {
    fn new(
        day: &'a DayModel,
        drawn: &'a [DrawnRequest],
        name: &str,
        policy: DayPolicy,
        seed: u64,
    ) -> Self {
        World {
            day,
            policy,
            drawn,
            now: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            requests: SlotMap::with_key(),
            pools: (0..day.pools.len())
                .map(|index| Pool::new(index, day, &policy, |job: &Job| job.work))
                .collect(),
            engines: EnginePool::new(day, &policy, seed),
            handles: 0,
            report: DayReport {
                policy: name.to_string(),
                kinds: day.kinds.iter().map(empty_report).collect(),
                ..DayReport::default()
            },
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(attempt) => self.arrive(attempt),
                Event::CallEnd { pool, worker } => self.end_call(pool, worker),
                Event::EngineRetry(key) => self.send_to_engine(key),
                Event::AnswerStart(key) => self.first_event(key),
                Event::RunEnd(key) => self.end_run(key),
                Event::CallerTimeout(key) => self.time_out(key),
                Event::EntriesDown => self.lose_in_flight(),
                Event::Tick => self.tick(),
            }
        }
    }

    /// When an entry accepts a request: on arrival, or at the end of a restart of all entries.
    fn accepted_at(&self, arrives_at: u64) -> u64 {
        let restart = self
            .day
            .restarts()
            .find(|restart| restart.is_active(arrives_at));
        restart.map_or(arrives_at, |restart| restart.at_ms + restart.for_ms)
    }

    /// Drops all requests in flight with their entries; their results are released.
    fn lose_in_flight(&mut self) {
        let in_flight: Vec<RequestKey> = self.requests.keys().collect();
        for key in in_flight {
            let is_counted = self.requests[key].has_first_event(self.now);
            let attempt = self.cancel_request(key);
            if let Some(attempt) = attempt.filter(|_| !is_counted) {
                self.count(attempt, RequestOutcome::Abandoned);
            }
        }
    }

    fn drawn(&self, attempt: Attempt) -> &'a DrawnRequest {
        &self.drawn[attempt.drawn]
    }

    fn kind(&self, attempt: Attempt) -> &'a KindModel {
        &self.day.kinds[self.drawn(attempt).kind]
    }

    fn arrive(&mut self, attempt: Attempt) {
        let requested_at = self.requested_at(attempt);
        if self.policy.forecast && !self.meets_target(attempt, requested_at) {
            self.refuse(attempt);
            return;
        }
        let kind = self.kind(attempt);
        let timeout_ms = (CALLER_TIMEOUT_TARGETS * kind.target_ms).max(MIN_CALLER_TIMEOUT_MS);
        let times_out_at = requested_at + timeout_ms.min(kind.deadline_ms);
        let key = self.requests.insert(Request {
            attempt,
            requested_at,
            graph: graph_of(kind, &self.drawn(attempt).pieces),
            retained: HashMap::new(),
            waiting: HashMap::new(),
            run: None,
        });
        self.schedule(times_out_at, Event::CallerTimeout(key));
        self.advance(key);
    }

    /// When the caller sent the attempt; a first attempt may have waited for an entry.
    fn requested_at(&self, attempt: Attempt) -> u64 {
        match attempt.is_retry {
            true => self.now,
            false => self.drawn(attempt).at_ms,
        }
    }

    /// Refuses an attempt; the caller retries once.
    fn refuse(&mut self, attempt: Attempt) {
        if attempt.is_retry {
            self.count(attempt, RequestOutcome::Refused);
            return;
        }
        let retry = Attempt {
            is_retry: true,
            ..attempt
        };
        self.schedule(self.now + RETRY_DELAY_MS, Event::Arrival(retry));
    }

    /// Abandons a request that has had no event when its caller times out.
    fn time_out(&mut self, key: RequestKey) {
        let request = self.requests.get(key);
        if request.is_none_or(|request| request.has_first_event(self.now)) {
            return;
        }
        if let Some(attempt) = self.cancel_request(key) {
            self.count(attempt, RequestOutcome::Abandoned);
        }
        self.start_calls();
    }

    /// Cancels a request: removes its pieces, releases its results and ends its run.
    fn cancel_request(&mut self, key: RequestKey) -> Option<Attempt> {
        let request = self.requests.remove(key)?;
        for Waiting { pool, queue, piece } in request.waiting.into_values() {
            self.pools[pool].cancel_piece(queue, piece);
        }
        request
            .retained
            .values()
            .for_each(|result| self.release(result));
        if let Some(run) = request.run {
            self.engines.end_run(run, false, self.now);
        }
        Some(request.attempt)
    }

    /// Refuses requests whose pieces have expired.
    fn tick(&mut self) {
        for pool in 0..self.pools.len() {
            for job in self.pools[pool].tick(self.now) {
                if let Some(attempt) = self.cancel_request(job.request) {
                    self.refuse(attempt);
                }
            }
        }
        self.start_calls();
        if !self.events.is_empty() {
            self.schedule(self.now + TICK_MS, Event::Tick);
        }
    }

    /// Counts the outcome of a caller's request; after a refusal it earns half of the credit.
    fn count(&mut self, attempt: Attempt, outcome: RequestOutcome) {
        let model = self.kind(attempt);
        let credit = match outcome {
            RequestOutcome::InTime => model.worth,
            RequestOutcome::Late => model.late_worth,
            RequestOutcome::Refused | RequestOutcome::Abandoned => 0.0,
        };
        let kind = &mut self.report.kinds[self.drawn[attempt.drawn].kind];
        kind.requests += 1;
        kind.possible_credit += model.worth;
        kind.credit += if attempt.is_retry {
            credit / 2.0
        } else {
            credit
        };
        match outcome {
            RequestOutcome::InTime => kind.in_time += 1,
            RequestOutcome::Late => kind.late += 1,
            RequestOutcome::Refused => kind.refused += 1,
            RequestOutcome::Abandoned => kind.abandoned += 1,
        }
    }
}
