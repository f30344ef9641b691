//! Plays a day's requests with a policy: an event loop over emulated time.
//!
//! An attempt of a caller arrives and is judged ([`forecast`]), has its pieces
//! made stage by stage ([`stages`]), goes to an engine ([`answers`]), and is
//! counted once, however it ends.

mod answers;
mod forecast;
mod stages;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hollowsail_stages::{PieceAt, PieceKey, StageGraph, StageSize};
use slotmap::{new_key_type, SlotMap};

use super::draw::DrawnRequest;
use super::engines::{EnginePool, Run};
use super::model::{DayModel, KindModel};
use super::policy::DayPolicy;
use super::pool::Pool;
use super::report::{DayReport, End, KindReport};

new_key_type! {
    /// An attempt that is under way.
    struct RequestKey;
}

/// What an engine is taken to need before its first event, in milliseconds: the
/// daemon's figure.
const ENGINE_MS: u64 = 250;
/// Shortest time for which a caller waits for a first event, in milliseconds,
/// and how many targets long it waits else.
const LEAST_PATIENCE_MS: u64 = 2_000;
const PATIENCE_TARGETS: u64 = 4;
/// After which time a refused caller comes back, in milliseconds; once.
const BACK_AFTER_MS: u64 = 400;
/// Between two looks for what is over, in milliseconds: the daemon's figure.
const TICK_MS: u64 = 25;

/// One attempt of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    /// Position of the drawn request.
    drawn: usize,
    /// The caller was refused before and came back.
    is_second: bool,
}

/// A piece of a request, as its queue keeps it.
#[derive(Debug, Clone, Copy)]
struct Job {
    request: RequestKey,
    at: PieceAt,
    /// Its time over that of a plain piece.
    work: f64,
}

/// A piece that waits in a queue of a pool.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    pool: usize,
    queue: usize,
    piece: PieceKey,
}

/// A result that a request still needs.
#[derive(Debug, Clone)]
struct Held {
    pool: usize,
    queue: usize,
    worker: usize,
    bytes: u64,
    handle: String,
}

/// An attempt that is under way.
struct Request {
    attempt: Attempt,
    begun: u64,
    graph: StageGraph,
    held: HashMap<PieceAt, Held>,
    waiting: HashMap<PieceAt, Waiting>,
    run: Option<Run>,
}

impl Request {
    /// Its answer has begun.
    fn has_begun(&self, now: u64) -> bool {
        self.run.is_some_and(|run| run.first_event_at <= now)
    }
}

/// What happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(Attempt),
    CallEnds { pool: usize, worker: usize },
    AsksForEngine(RequestKey),
    AnswerBegins(RequestKey),
    RunEnds(RequestKey),
    CallerLeaves(RequestKey),
    EntriesGo,
    Tick,
}

/// The day as it goes.
struct World<'a> {
    day: &'a DayModel,
    policy: DayPolicy,
    drawn: &'a [DrawnRequest],
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    /// Events so far, for their order within a moment.
    scheduled: u64,
    requests: SlotMap<RequestKey, Request>,
    pools: Vec<Pool<Job>>,
    engines: EnginePool,
    /// Handles of results so far.
    handles: u64,
    report: DayReport,
}

/// Plays drawn requests to their end.
pub fn play(
    day: &DayModel,
    drawn: &[DrawnRequest],
    name: &str,
    policy: DayPolicy,
    seed: u64,
) -> DayReport {
    let mut world = World::new(day, drawn, name, policy, seed);
    for (at, request) in drawn.iter().enumerate() {
        let attempt = Attempt {
            drawn: at,
            is_second: false,
        };
        world.schedule(world.taken_at(request.at_ms), Event::Arrives(attempt));
    }
    for restart in day.restarts() {
        world.schedule(restart.at_ms, Event::EntriesGo);
    }
    world.schedule(0, Event::Tick);
    world.run();
    world.report.read_again = world.engines.read_again;
    world.report
}

fn empty_report(kind: &KindModel) -> KindReport {
    KindReport {
        name: kind.name.clone(),
        ..KindReport::default()
    }
}

/// The stages of a drawn request, with its numbers of pieces.
fn graph_of(kind: &KindModel, pieces: &[usize]) -> StageGraph {
    let sizes = kind.stages.iter().zip(pieces);
    StageGraph::new(
        sizes
            .map(|(stage, &pieces)| StageSize {
                pieces,
                after: stage.after.clone(),
            })
            .collect(),
    )
}

impl<'a> World<'a> {
    /// Before anything has happened.
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
                .map(|at| Pool::new(at, day, &policy, |job: &Job| job.work))
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
                Event::Arrives(attempt) => self.arrive(attempt),
                Event::CallEnds { pool, worker } => self.end_call(pool, worker),
                Event::AsksForEngine(key) => self.send_to_engine(key),
                Event::AnswerBegins(key) => self.first_event(key),
                Event::RunEnds(key) => self.end_run(key),
                Event::CallerLeaves(key) => self.caller_leaves(key),
                Event::EntriesGo => self.lose_all(),
                Event::Tick => self.tick(),
            }
        }
    }

    /// When an entry takes a request that comes at a moment: once entries are back.
    fn taken_at(&self, comes_at: u64) -> u64 {
        let away = self.day.restarts().find(|restart| restart.is_on(comes_at));
        away.map_or(comes_at, |restart| restart.at_ms + restart.for_ms)
    }

    /// All entries go, and with them what is under way. Its results are taken to be
    /// given up.
    fn lose_all(&mut self) {
        let under_way: Vec<RequestKey> = self.requests.keys().collect();
        for key in under_way {
            let has_counted = self.requests[key].has_begun(self.now);
            let attempt = self.drop_request(key);
            if let Some(attempt) = attempt.filter(|_| !has_counted) {
                self.count(attempt, End::Left);
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
        let begun = self.asked_at(attempt);
        if self.policy.forecast && !self.can_be_in_time(attempt, begun) {
            self.refuse(attempt);
            return;
        }
        let kind = self.kind(attempt);
        let patience = (PATIENCE_TARGETS * kind.target_ms).max(LEAST_PATIENCE_MS);
        let leaves = begun + patience.min(kind.deadline_ms);
        let key = self.requests.insert(Request {
            attempt,
            begun,
            graph: graph_of(kind, &self.drawn(attempt).pieces),
            held: HashMap::new(),
            waiting: HashMap::new(),
            run: None,
        });
        self.schedule(leaves, Event::CallerLeaves(key));
        self.go_on(key);
    }

    /// When the caller asked: a first attempt may have waited for an entry.
    fn asked_at(&self, attempt: Attempt) -> u64 {
        match attempt.is_second {
            true => self.now,
            false => self.drawn(attempt).at_ms,
        }
    }

    /// A refused caller comes back once.
    fn refuse(&mut self, attempt: Attempt) {
        if attempt.is_second {
            self.count(attempt, End::Refused);
            return;
        }
        let second = Attempt {
            is_second: true,
            ..attempt
        };
        self.schedule(self.now + BACK_AFTER_MS, Event::Arrives(second));
    }

    /// A caller without a first event leaves.
    fn caller_leaves(&mut self, key: RequestKey) {
        let request = self.requests.get(key);
        if request.is_none_or(|request| request.has_begun(self.now)) {
            return;
        }
        if let Some(attempt) = self.drop_request(key) {
            self.count(attempt, End::Left);
        }
        self.start_calls();
    }

    /// Ends a request that got no answer, and gives up all that it has.
    fn drop_request(&mut self, key: RequestKey) -> Option<Attempt> {
        let request = self.requests.remove(key)?;
        for Waiting { pool, queue, piece } in request.waiting.into_values() {
            self.pools[pool].drop_piece(queue, piece);
        }
        request.held.values().for_each(|held| self.free(held));
        if let Some(run) = request.run {
            self.engines.ended(run, false, self.now);
        }
        Some(request.attempt)
    }

    /// Refuses requests whose pieces waited for too long.
    fn tick(&mut self) {
        for pool in 0..self.pools.len() {
            for job in self.pools[pool].tick(self.now) {
                if let Some(attempt) = self.drop_request(job.request) {
                    self.refuse(attempt);
                }
            }
        }
        self.start_calls();
        if !self.events.is_empty() {
            self.schedule(self.now + TICK_MS, Event::Tick);
        }
    }

    /// Counts how a caller's request ended; one that was refused at first earns
    /// half.
    fn count(&mut self, attempt: Attempt, end: End) {
        let model = self.kind(attempt);
        let whole = match end {
            End::InTime => model.worth,
            End::Late => model.late_worth,
            End::Refused | End::Left => 0.0,
        };
        let kind = &mut self.report.kinds[self.drawn[attempt.drawn].kind];
        kind.asked += 1;
        kind.owed += model.worth;
        kind.credit += if attempt.is_second {
            whole / 2.0
        } else {
            whole
        };
        match end {
            End::InTime => kind.in_time += 1,
            End::Late => kind.late += 1,
            End::Refused => kind.refused += 1,
            End::Left => kind.left += 1,
        }
    }
}
