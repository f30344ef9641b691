//! A soak run on hosts with a fraction of a core and a narrow link, of which one gets most new
//! connections for a time.
//!
//! Each gateway runs in turn with a few others, so that it has a share of a core, and what its callers
//! and targets send it and get from it passes a link of limited bandwidth. Callers ask for streams with
//! stages and for plain answers, with bodies of very different sizes. They come back once, to another
//! gateway, as the protocol says: at once if their request wasn't read, after the time that a refusal
//! names. Served is what was answered in time at the first try that was read.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::caller::{CallerRequest, Connection, Outcome};
use hollowsail_platform_emulator::entry::HostLimits;
use hollowsail_platform_emulator::{LinkRate, RouteKind, RouteModel};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::processes::{Fleet, Observations};
use super::report::{Failure, FailureKind, SoakReport};
use super::turns::Turns;
use super::{SoakError, SoakOptions, SETTLE};

/// Number of groups of gateways that run in turn: each has an eighth of a core.
const GROUPS: usize = 8;
/// Share of the link that callers may use, and that targets may use: both processes that play them
/// know only their own part of what the link carries.
const LINK_PART: f64 = 0.85;
/// Share of a core of each host.
const CORE_SHARE: f64 = 0.12;
/// When most new connections go to one gateway, and when that ends, from the start of the load.
const CROWDED_FROM: Duration = Duration::from_secs(9);
const CROWDED_UNTIL: Duration = Duration::from_secs(19);
/// End of the load.
const LENGTH: Duration = Duration::from_secs(27);
/// Time at the start of the load that isn't judged.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time from the beginning of the crowded time, and from its end, until requests have to be served as
/// before.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// When the crowded gateway is killed in some runs, and for how long.
const KILLED_AT: Duration = Duration::from_secs(14);
const KILLED_FOR: Duration = Duration::from_millis(1_000);
/// Share of the new connections that go to the crowded gateway.
const CROWDED_SHARE: f64 = 0.85;
/// Share of the answers after which a caller closes its connection, in the crowded time and otherwise.
const CLOSE_SHARE: f64 = 0.7;
const USUAL_CLOSE_SHARE: f64 = 0.4;
/// Least share of the service before, and least number of requests on each side.
const MIN_SHARE: f64 = 0.75;
const MIN_REQUESTS: usize = 50;
/// Maximum number of tries of a request.
const MAX_TRIES: usize = 2;
/// Mean pause between the requests of a caller.
const PAUSE: Duration = Duration::from_secs(1);
/// How long a caller waits after a refusal that names no time.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a caller waits beyond the route's timeout.
const TIMEOUT_GRACE: Duration = Duration::from_millis(500);
/// The limit of the configuration.
const MAX_BODY_BYTES: f64 = 64_000.0;

const SECTIONS: &str = "\
[service.makers]
kind = stage
targets = 24
slots = 1
queue = 2
batch = 40
work_ms = 150
piece_ms = 3

[service.pool]
kind = engines
targets = 24
slots = 64
queue = 64
connections = 800
work_ms = 30
events = 20

[service.plain]
kind = plain
targets = 4
slots = 16
queue = 24
connections = 500
work_ms = 20

[route.large]
kind = stream
path = /large/
service = pool
stages = makers
target_ms = 1650
timeout_ms = 8000

[route.small]
kind = stream
path = /small/
service = pool
stages = makers
target_ms = 700
timeout_ms = 8000

[route.plain]
kind = safe
path = /plain/
service = plain
target_ms = 200
timeout_ms = 1500
";

/// What callers ask on a route.
struct Demand {
    /// Relative frequency.
    weight: usize,
    mean_body_bytes: f64,
    /// Pieces of each stage.
    pieces: u32,
}

const DEMANDS: [Demand; 3] = [
    Demand {
        weight: 3,
        mean_body_bytes: 17_000.0,
        pieces: 10,
    },
    Demand {
        weight: 4,
        mean_body_bytes: 4_000.0,
        pieces: 4,
    },
    Demand {
        weight: 3,
        mean_body_bytes: 800.0,
        pieces: 1,
    },
];

/// Which callers' new connections go to the crowded gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Crowd {
    /// Those of its hall.
    Hall,
    All,
}

/// What a run does, by its seed.
struct Plan {
    entry: usize,
    crowd: Crowd,
    kills: bool,
}

impl Plan {
    fn draw(seed: u64, entries: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Plan {
            entry: rng.random_range(0..entries),
            crowd: match seed % 3 {
                0 => Crowd::Hall,
                _ => Crowd::All,
            },
            kills: seed % 4 == 1,
        }
    }

    /// The times that are compared, from the start of the load.
    fn judged(&self) -> [(&'static str, Range<Duration>); 3] {
        [
            ("before", WARM_UP..CROWDED_FROM),
            ("crowded", CROWDED_FROM + CONTACT_TIME..CROWDED_UNTIL),
            ("after", CROWDED_UNTIL + CONTACT_TIME..LENGTH),
        ]
    }
}

/// A request with its tries.
#[derive(Debug)]
struct Asked {
    sent: Duration,
    /// The gateway of its last try.
    entry: usize,
    /// Answered in time at the first try that was read.
    is_served: bool,
    /// Tries whose connection closed before they were read.
    unread: u32,
    /// How the first try that was read ended.
    end: End,
    /// Why an answer was one that no caller may get.
    wrong: Option<String>,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    /// Whole, after the target latency of its route.
    Late,
    Refused,
    Failed,
    Unanswered,
    /// The connections of all tries closed before they were read.
    NeverRead,
}

struct Shared {
    plan: Plan,
    fleet: Rc<Fleet>,
    started: Instant,
    routes: Vec<Rc<RouteModel>>,
    links: Vec<Rc<LinkRate>>,
    asked: RefCell<Vec<Asked>>,
    requests: Cell<u64>,
}

impl Shared {
    /// Id of the next try of a caller.
    fn next_id(&self, number: usize) -> String {
        self.requests.set(self.requests.get() + 1);
        format!("{:08x}{:08x}", number + 1, self.requests.get())
    }

    /// Share of the answers after which a caller closes its connection now.
    fn close_share(&self) -> f64 {
        match (CROWDED_FROM..CROWDED_UNTIL).contains(&self.started.elapsed()) {
            true => CLOSE_SHARE,
            false => USUAL_CLOSE_SHARE,
        }
    }
}

/// Runs once, and judges what callers got.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = Plan::draw(options.seed, options.entries);
    let kill = plan.kills.then_some(PlannedFault {
        fault: EntryFault::Kill,
        entry: plan.entry,
        at: KILLED_AT,
        duration: KILLED_FOR,
    });
    let limits = HostLimits {
        core_share: CORE_SHARE,
        link_mbps: options.link_mbps,
    };
    let link_mbps = limits.link_mbps * LINK_PART;
    let sections = format!("link_mbps = {link_mbps}\n\n{SECTIONS}");
    let mut soak_plan = SoakPlan::of_site(options, &sections, kill.into_iter().collect(), LENGTH);
    soak_plan.turns = if options.whole_cores { 1 } else { GROUPS };
    let fleet = Rc::new(Fleet::start(options, &soak_plan, limits).await?);
    let turns = Turns::start(&soak_plan, &fleet);
    let shared = Rc::new(Shared {
        plan,
        fleet: fleet.clone(),
        started: Instant::now(),
        routes: soak_plan.site.routes.iter().cloned().map(Rc::new).collect(),
        links: (0..options.entries)
            .map(|_| Rc::new(LinkRate::new(link_mbps)))
            .collect(),
        asked: RefCell::default(),
        requests: Cell::new(0),
    });
    let callers = (0..options.callers).map(|number| {
        let rng = SmallRng::seed_from_u64(options.seed ^ ((number as u64 + 1) << 32));
        actix_rt::spawn(call_until_end(shared.clone(), number, rng))
    });
    let callers: Vec<_> = callers.collect();
    fleet.run_faults(&soak_plan).await;
    tokio::time::sleep(SETTLE).await;
    for caller in callers {
        if let Err(err) = caller.await {
            log::error!("caller task failed: {err}");
        }
    }
    if let Some(turns) = turns {
        turns.stop().await;
    }
    let observations = fleet.shut_down().await;
    Ok(evaluate(options, &shared, &observations))
}

async fn call_until_end(shared: Rc<Shared>, number: usize, mut rng: SmallRng) {
    let mut connection = None;
    while shared.started.elapsed() < LENGTH {
        let pause = PAUSE.mul_f64(rng.random_range(0.0..2.0));
        tokio::time::sleep(pause).await;
        let asked = ask(&shared, number, &mut connection, &mut rng).await;
        shared.asked.borrow_mut().push(asked);
    }
}

type OpenConnection = Option<(usize, Connection)>;

/// A kind of request, drawn by its frequency, as an index of the routes.
fn draw_kind(rng: &mut SmallRng) -> usize {
    let kinds = DEMANDS.iter().enumerate();
    let kinds = kinds.flat_map(|(kind, demand)| std::iter::repeat_n(kind, demand.weight));
    let kinds: Vec<usize> = kinds.collect();
    kinds[rng.random_range(0..kinds.len())]
}

/// Length of a body, with an exponential distribution.
fn draw_body_bytes(demand: &Demand, rng: &mut SmallRng) -> usize {
    let bytes = -demand.mean_body_bytes * (1.0 - rng.random::<f64>()).ln();
    bytes.min(MAX_BODY_BYTES) as usize
}

/// Sends a request, and a second time where the protocol allows it.
async fn ask(
    shared: &Shared,
    number: usize,
    connection: &mut OpenConnection,
    rng: &mut SmallRng,
) -> Asked {
    let kind = draw_kind(rng);
    let (route, demand) = (&shared.routes[kind], &DEMANDS[kind]);
    let body_bytes = draw_body_bytes(demand, rng);
    let request = |id| CallerRequest {
        body_bytes,
        pieces: vec![demand.pieces; route.stages.len()],
        ..CallerRequest::for_route(route, id)
    };
    let sent = shared.started.elapsed();
    let mut asked = Asked {
        sent,
        entry: 0,
        is_served: false,
        unread: 0,
        end: End::NeverRead,
        wrong: None,
    };
    for try_number in 0..MAX_TRIES {
        if connection.is_none() {
            let avoided = (try_number > 0).then_some(asked.entry);
            *connection = connect(shared, number, avoided, &mut asked, rng).await;
        }
        let Some((entry, mut open)) = connection.take() else {
            asked.unread += 1;
            continue;
        };
        asked.entry = entry;
        let timeout = Duration::from_millis(route.timeout_ms) + TIMEOUT_GRACE;
        let request = request(shared.next_id(number));
        let response = tokio::time::timeout(timeout, open.call(&request)).await;
        let response = response.ok();
        let began = response.as_ref().and_then(|response| response.began);
        if open.is_open() && !rng.random_bool(shared.close_share()) {
            *connection = Some((entry, open));
        }
        let outcome = response.map(|response| response.outcome);
        let Some((end, pause)) = read_outcome(outcome.as_ref(), route) else {
            asked.unread += 1;
            continue;
        };
        if let Some(Outcome::Wrong { why }) = outcome {
            asked.wrong = Some(why);
        }
        if asked.end == End::NeverRead {
            let target = Duration::from_millis(route.target_ms);
            let is_in_time = began.is_some_and(|began| began <= shared.started + sent + target);
            asked.is_served = end == End::Whole && is_in_time;
            asked.end = match end {
                End::Whole if !is_in_time => End::Late,
                end => end,
            };
        }
        match pause {
            Some(pause) if pause.as_millis() as u64 <= route.timeout_ms / 3 => {
                tokio::time::sleep(pause).await;
                *connection = None;
            }
            _ => break,
        }
    }
    asked
}

/// How a try ended, and when the caller comes back, if it does; `None` for one that wasn't read.
fn read_outcome(outcome: Option<&Outcome>, route: &RouteModel) -> Option<(End, Option<Duration>)> {
    Some(match outcome {
        Some(Outcome::Whole) => (End::Whole, None),
        Some(Outcome::NotRun { after, .. }) => (End::Refused, Some(after.unwrap_or(RETRY_PAUSE))),
        Some(Outcome::Unknown { why }) if is_unread(why) => return None,
        Some(Outcome::Unknown { .. }) => {
            let may_repeat = route.kind == RouteKind::Safe;
            (End::Failed, may_repeat.then_some(Duration::ZERO))
        }
        Some(Outcome::Wrong { .. }) => (End::Failed, None),
        None => (End::Unanswered, None),
    })
}

/// Opens a connection, and notes to which gateway, also if it refuses.
async fn connect(
    shared: &Shared,
    number: usize,
    avoided: Option<usize>,
    asked: &mut Asked,
    rng: &mut SmallRng,
) -> OpenConnection {
    let (entry, addr) = choose(shared, number, avoided, rng)?;
    asked.entry = entry;
    let link = shared.links[entry].clone();
    let opened = Connection::open_over(addr, link).await;
    opened.ok().map(|connection| (entry, connection))
}

/// True for a connection that ended without any answer.
fn is_unread(why: &str) -> bool {
    !why.starts_with("status") && why.contains("connection")
}

/// The gateway to which the balancer leads a new connection. Second tries meet other gateways than
/// first ones.
fn choose(
    shared: &Shared,
    number: usize,
    avoided: Option<usize>,
    rng: &mut SmallRng,
) -> Option<(usize, SocketAddr)> {
    let now = shared.started.elapsed();
    let ready = shared.fleet.ready();
    let is_same_hall = |entry: usize, other: usize| entry % 2 == other % 2;
    let Plan { entry, crowd, .. } = shared.plan;
    let is_led = avoided.is_none()
        && (CROWDED_FROM..CROWDED_UNTIL).contains(&now)
        && (crowd == Crowd::All || is_same_hall(number, entry))
        && ready.iter().any(|(ready, _)| *ready == entry)
        && rng.random_bool(CROWDED_SHARE);
    let others = ready.iter().filter(|(ready, _)| Some(*ready) != avoided);
    let others: Vec<_> = others.collect();
    let is_eligible = |ready: usize| match is_led {
        true => ready == entry,
        false => is_same_hall(number, ready),
    };
    let eligible = others.iter().copied();
    let eligible: Vec<_> = eligible.filter(|(ready, _)| is_eligible(*ready)).collect();
    // A hall without another gateway leads to the next one.
    let eligible = if eligible.is_empty() {
        others
    } else {
        eligible
    };
    eligible.choose(rng).map(|chosen| **chosen)
}

fn evaluate(options: &SoakOptions, shared: &Shared, observations: &Observations) -> SoakReport {
    let asked = shared.asked.borrow();
    let mut failures: Vec<Failure> = observations.broken.clone();
    let processes = observations.exit_failures.iter();
    failures.extend(processes.map(|failure| Failure::new(FailureKind::Process, failure)));
    failures.extend(observations.grants.evaluate(&observations.arrivals));
    let mut lines = vec![format!(
        "with --small-hosts --callers {} --link-mbps {}: gateway {} crowded by {:?}, killed: {}",
        options.callers, options.link_mbps, shared.plan.entry, shared.plan.crowd, shared.plan.kills
    )];
    let mut usual = None;
    for (name, time) in shared.plan.judged() {
        let inside = asked.iter().filter(|asked| {
            let sent = shared.started + asked.sent;
            let is_killed = !observations.is_undisturbed(asked.entry, sent, sent, CONTACT_TIME);
            time.contains(&asked.sent) && !is_killed
        });
        let inside: Vec<&Asked> = inside.collect();
        let served = inside.iter().filter(|asked| asked.is_served).count();
        let share = served as f64 / inside.len().max(1) as f64;
        lines.push(describe(name, share, &inside));
        let usual = *usual.get_or_insert(share);
        if share < MIN_SHARE * usual && inside.len() >= MIN_REQUESTS {
            let description = format!(
                "{name}: {served} of {} requests were served at the first try that was read, \
                 {usual:.2} before",
                inside.len()
            );
            failures.push(Failure::new(FailureKind::Crowded, description));
        }
    }
    let wrong = asked.iter().filter_map(|asked| asked.wrong.as_ref());
    failures.extend(wrong.map(|why| Failure::new(FailureKind::WrongResponse, why)));
    let count = |ends: &[End]| {
        let ended = asked.iter().filter(|asked| ends.contains(&asked.end));
        ended.count()
    };
    SoakReport {
        seed: options.seed,
        seconds: options.seconds,
        entries: options.entries,
        attempts: asked.len(),
        whole: count(&[End::Whole, End::Late]),
        not_run: count(&[End::Refused]),
        unknown: count(&[End::Failed, End::Unanswered, End::NeverRead]),
        ran: observations.ran.len(),
        room: lines.join("\n"),
        streams: String::new(),
        failures,
        mode: Some("--small-hosts"),
        ..SoakReport::default()
    }
}

fn describe(name: &str, share: f64, asked: &[&Asked]) -> String {
    let count = |end| asked.iter().filter(|asked| asked.end == end).count();
    let unread: u32 = asked.iter().map(|asked| asked.unread).sum();
    format!(
        "{name}: {} requests, {share:.2} served at the first try that was read; {} late, {} refused, \
         {} failed, {} without an answer, {} never read; {unread} tries not read",
        asked.len(),
        count(End::Late),
        count(End::Refused),
        count(End::Failed),
        count(End::Unanswered),
        count(End::NeverRead),
    )
}
