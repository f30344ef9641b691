//! Plays a day's requests with a policy: an event loop over emulated time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hollowsail_routing::{admit, longest_way, ServiceLoad, StageDemand, StageExpectation, Verdict};
use hollowsail_stages::{GroupKey, PieceAt, PieceKey, PieceOrder, StageGraph, StageSize};
use slotmap::{new_key_type, SlotMap};

use super::draw::DrawnRequest;
use super::engines::{EnginePool, Prompt, Run};
use super::model::{DayModel, KindModel};
use super::policy::{DayPolicy, Kept};
use super::pool::{MadePiece, Pool};
use super::report::{DayReport, End, KindReport};

new_key_type! {
    /// One attempt of a caller.
    struct RequestKey;
}

/// What an engine is taken to need before its first event, in milliseconds: the
/// daemon's figure.
const ENGINE_MS: u64 = 250;
/// Time before its target by which a request has to be foreseen to end, in
/// milliseconds: the daemon's figure.
const MARGIN_MS: u64 = 150;
/// Bytes of inputs that are worth heeding: the daemon's figure.
const LARGE_BYTES: u64 = 100_000;
/// Shortest time for which a caller waits for a first event, in milliseconds,
/// and how many targets long it waits else.
const LEAST_PATIENCE_MS: u64 = 2_000;
const PATIENCE_TARGETS: u64 = 4;
/// After which time a refused caller comes back, in milliseconds; once.
const BACK_AFTER_MS: u64 = 400;
/// Between two looks for what is over, in milliseconds: the daemon's figure.
const TICK_MS: u64 = 25;

/// A piece of a request, as its queue keeps it.
#[derive(Debug, Clone, Copy)]
struct Job {
    request: RequestKey,
    at: PieceAt,
    /// Its time over that of a plain piece.
    work: f64,
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

/// One attempt of a caller that is under way.
struct Request {
    drawn: usize,
    /// The caller was refused before and came back.
    is_second: bool,
    begun: u64,
    graph: StageGraph,
    held: HashMap<PieceAt, Held>,
    waiting: HashMap<PieceAt, (usize, usize, PieceKey)>,
    run: Option<Run>,
}

/// What happens at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { drawn: usize, is_second: bool },
    CallEnds { pool: usize, worker: usize },
    AnswerBegins(RequestKey),
    RunEnds(RequestKey),
    CallerLeaves(RequestKey),
    Tick,
}

/// The day as it goes.
pub struct World<'a> {
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
    let pools = day.pools.iter();
    let mut world = World {
        day,
        policy,
        drawn,
        now: 0,
        events: BinaryHeap::new(),
        scheduled: 0,
        requests: SlotMap::with_key(),
        pools: pools
            .map(|pool| Pool::new(pool, day, &policy, |job: &Job| job.work))
            .collect(),
        engines: EnginePool::new(day, &policy, seed),
        handles: 0,
        report: DayReport {
            policy: name.to_string(),
            kinds: day.kinds.iter().map(empty_report).collect(),
            ..DayReport::default()
        },
    };
    for (at, request) in drawn.iter().enumerate() {
        let arrives = Event::Arrives {
            drawn: at,
            is_second: false,
        };
        world.schedule(request.at_ms, arrives);
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

impl World<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrives { drawn, is_second } => self.arrive(drawn, is_second),
                Event::CallEnds { pool, worker } => self.end_call(pool, worker),
                Event::AnswerBegins(key) => self.first_event(key),
                Event::RunEnds(key) => self.end_run(key),
                Event::CallerLeaves(key) => self.caller_leaves(key),
                Event::Tick => self.tick(),
            }
        }
    }

    fn kind(&self, drawn: usize) -> &KindModel {
        &self.day.kinds[self.drawn[drawn].kind]
    }

    fn arrive(&mut self, drawn: usize, is_second: bool) {
        if self.policy.forecast && !self.can_be_in_time(drawn) {
            self.refuse(drawn, is_second);
            return;
        }
        let kind = self.kind(drawn);
        let patience = (PATIENCE_TARGETS * kind.target_ms).max(LEAST_PATIENCE_MS);
        let leaves = self.now + patience.min(kind.deadline_ms);
        let sizes = kind.stages.iter().zip(&self.drawn[drawn].pieces);
        let graph = StageGraph::new(
            sizes
                .map(|(stage, pieces)| StageSize {
                    pieces: *pieces,
                    after: stage.after.clone(),
                })
                .collect(),
        );
        let key = self.requests.insert(Request {
            drawn,
            is_second,
            begun: self.now,
            graph,
            held: HashMap::new(),
            waiting: HashMap::new(),
            run: None,
        });
        self.schedule(leaves, Event::CallerLeaves(key));
        self.go_on(key);
    }

    /// The daemon's forecast: its stages behind what waits, and its engine.
    fn can_be_in_time(&self, drawn: usize) -> bool {
        let kind = self.kind(drawn);
        let request = &self.drawn[drawn];
        let demands = kind
            .stages
            .iter()
            .zip(&request.pieces)
            .map(|(stage, &pieces)| {
                let pool = &self.day.pools[stage.pool];
                let queue = self.pools[stage.pool].queue_of(request.entry);
                let load = self.pools[stage.pool].load(queue, self.now);
                let demand = (pieces > 0).then(|| StageDemand {
                    expected: StageExpectation::fixed(
                        pool.expected_ms(pieces.min(pool.batch)) as u64
                    ),
                    load: ServiceLoad {
                        slots: f64::from(load.slots),
                        ahead: f64::from(load.ahead_of(kind.priority)) + pieces as f64 - 1.0,
                    },
                });
                (stage.after.as_slice(), demand)
            });
        let mut way = longest_way(demands);
        way.push(StageDemand {
            expected: StageExpectation::fixed(ENGINE_MS),
            load: ServiceLoad {
                slots: 1.0,
                ahead: 0.0,
            },
        });
        admit(kind.target_ms.saturating_sub(MARGIN_MS), &way, 0.0) == Verdict::Admit
    }

    /// A refused caller comes back once.
    fn refuse(&mut self, drawn: usize, is_second: bool) {
        if is_second {
            self.count(drawn, is_second, End::Refused);
        } else {
            let arrives = Event::Arrives {
                drawn,
                is_second: true,
            };
            self.schedule(self.now + BACK_AFTER_MS, arrives);
        }
    }

    /// Hands pieces that may start to their queues, or the request to an engine
    /// when all are made.
    fn go_on(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        if request.graph.is_done() {
            self.send_to_engine(key);
            return;
        }
        let ready = request.graph.start_ready();
        for at in ready {
            self.push_piece(key, at);
        }
        self.start_calls();
    }

    fn push_piece(&mut self, key: RequestKey, at: PieceAt) {
        let request = &self.requests[key];
        let kind = self.kind(request.drawn);
        let stage = &kind.stages[at.stage];
        let kept_ms = request.graph.ms_after(at.stage, &|later| {
            let pool = &self.day.pools[kind.stages[later].pool];
            match self.policy.kept {
                Kept::Ms(ms) => ms,
                Kept::Calls(calls) => (pool.expected_ms(pool.batch) * calls) as u64,
            }
        });
        let held = request.held.iter();
        let inputs = held.filter(|(held_at, _)| stage.after.contains(&held_at.stage));
        let input_bytes: u64 = inputs.map(|(_, result)| result.bytes).sum();
        let order = PieceOrder {
            priority: kind.priority,
            due: (request.begun + kind.target_ms).saturating_sub(ENGINE_MS + kept_ms),
            expires: request.begun + kind.deadline_ms,
            result_bytes: stage.result_bytes,
            group: GroupKey((request.drawn * 64 + at.stage) as u64),
            holds_inputs: self.policy.holders_first && input_bytes >= LARGE_BYTES,
            hall: None,
        };
        let job = Job {
            request: key,
            at,
            work: stage.work,
        };
        let pool = stage.pool;
        let entry = self.drawn[request.drawn].entry;
        let queue = self.pools[pool].queue_of(entry);
        let piece = self.pools[pool].push(queue, order, job, self.now);
        self.requests[key].waiting.insert(at, (pool, queue, piece));
    }

    fn start_calls(&mut self) {
        for pool in 0..self.pools.len() {
            let begun = self.pools[pool].start_calls(self.day, pool, self.now);
            for call in begun {
                let worker = call.worker;
                self.schedule(call.ends_at, Event::CallEnds { pool, worker });
            }
        }
    }

    fn end_call(&mut self, pool: usize, worker: usize) {
        let (made, begun) = self.pools[pool].end_call(self.day, pool, worker, self.now);
        self.report.calls += 1;
        self.report.pieces += made.len() as u32;
        if let Some(call) = begun {
            self.schedule(call.ends_at, Event::CallEnds { pool, worker });
        }
        let mut changed: Vec<RequestKey> = Vec::new();
        for piece in made {
            let key = piece.job.request;
            self.take_made(pool, piece);
            if !changed.contains(&key) {
                changed.push(key);
            }
        }
        changed.into_iter().for_each(|key| self.go_on(key));
        self.start_calls();
    }

    /// A result is there; what nothing needs any more is given up.
    fn take_made(&mut self, pool: usize, made: MadePiece<Job>) {
        self.handles += 1;
        let handle = self.handles.to_string();
        let request = &mut self.requests[made.job.request];
        request.waiting.remove(&made.job.at);
        request.graph.made(made.job.at, handle.clone());
        let held = Held {
            pool,
            queue: made.queue,
            worker: made.worker,
            bytes: made.bytes,
            handle,
        };
        request.held.insert(made.job.at, held);
        let spent = request.graph.take_spent();
        let is_spent = |held: &Held| spent.contains(&held.handle);
        let given_up: Vec<PieceAt> = request
            .held
            .iter()
            .filter(|(_, held)| is_spent(held))
            .map(|(at, _)| *at)
            .collect();
        for at in given_up {
            let held = self.requests[made.job.request].held.remove(&at);
            held.into_iter().for_each(|held| self.free(&held));
        }
    }

    fn free(&mut self, held: &Held) {
        self.pools[held.pool].free(held.queue, held.worker, held.bytes);
    }

    fn send_to_engine(&mut self, key: RequestKey) {
        let request = &self.requests[key];
        let drawn = &self.drawn[request.drawn];
        let kind = &self.day.kinds[drawn.kind];
        let results = request.held.values();
        let prompt = Prompt {
            part: format!("{}-{}", kind.name, drawn.part),
            shared_tokens: kind.shared_tokens,
            own_tokens: drawn.own_tokens,
            events: drawn.events,
            hall: drawn.entry % self.day.halls,
            results: results
                .map(|held| (held.worker % self.day.halls, held.bytes))
                .collect(),
        };
        let Some(run) = self.engines.send(&prompt, self.now) else {
            return;
        };
        self.requests[key].run = Some(run);
        self.schedule(run.first_event_at, Event::AnswerBegins(key));
        self.schedule(run.ends_at, Event::RunEnds(key));
    }

    fn first_event(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let held = std::mem::take(&mut request.held);
        let (drawn, is_second) = (request.drawn, request.is_second);
        let took = self.now - request.begun;
        if let Some(run) = request.run {
            self.engines.first_event(run, self.now);
        }
        held.values().for_each(|held| self.free(held));
        let end = match took <= self.kind(drawn).target_ms {
            true => End::InTime,
            false => End::Late,
        };
        self.count(drawn, is_second, end);
        self.start_calls();
    }

    fn end_run(&mut self, key: RequestKey) {
        let run = self.requests.remove(key).and_then(|request| request.run);
        if let Some(run) = run {
            self.engines.ended(run, true, self.now);
        }
    }

    /// A caller without a first event leaves.
    fn caller_leaves(&mut self, key: RequestKey) {
        let has_begun = |request: &Request| {
            request
                .run
                .is_some_and(|run| run.first_event_at <= self.now)
        };
        if self.requests.get(key).is_none_or(has_begun) {
            return;
        }
        let ended = self.drop_request(key);
        if let Some((drawn, is_second)) = ended {
            self.count(drawn, is_second, End::Left);
        }
        self.start_calls();
    }

    /// Ends a request that got no answer, and gives up all that it has.
    fn drop_request(&mut self, key: RequestKey) -> Option<(usize, bool)> {
        let request = self.requests.remove(key)?;
        for (pool, queue, piece) in request.waiting.into_values() {
            self.pools[pool].drop_piece(queue, piece);
        }
        request.held.values().for_each(|held| self.free(held));
        if let Some(run) = request.run {
            self.engines.ended(run, false, self.now);
        }
        Some((request.drawn, request.is_second))
    }

    fn tick(&mut self) {
        for pool in 0..self.pools.len() {
            for job in self.pools[pool].tick(self.now) {
                if let Some((drawn, is_second)) = self.drop_request(job.request) {
                    self.refuse(drawn, is_second);
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
    fn count(&mut self, drawn: usize, is_second: bool, end: End) {
        let at = self.drawn[drawn].kind;
        let model = &self.day.kinds[at];
        let whole = match end {
            End::InTime => model.worth,
            End::Late => model.late_worth,
            End::Refused | End::Left => 0.0,
        };
        let kind = &mut self.report.kinds[at];
        kind.asked += 1;
        kind.owed += model.worth;
        kind.credit += if is_second { whole / 2.0 } else { whole };
        match end {
            End::InTime => kind.in_time += 1,
            End::Late => kind.late += 1,
            End::Refused => kind.refused += 1,
            End::Left => kind.left += 1,
        }
    }
}
