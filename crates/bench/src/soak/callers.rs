//! Callers of a soak run: each keeps a connection open, retries as the protocol allows, and
//! cancels some of its requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_emulator::body::StreamEvent;
use hollowsail_platform_emulator::caller::{
    CallerRequest, CallerResponse, Connection, Outcome, ResumedStream,
};
use hollowsail_platform_emulator::{api_key, RouteKind, RouteModel};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use super::contention::{self, Contender};
use super::crowding::{self, Crowding};
use super::plan::SoakPlan;
use super::processes::Fleet;
use super::report::{Failure, FailureKind};
use super::{brittle, departures, fragile, versions, SoakOptions};

/// Mean pause between requests of a caller, and the default retry delay.
const PAUSE: Duration = Duration::from_millis(200);
/// Share of requests that callers cancel, and the upper limit of the time until they do.
const CANCEL_SHARE: f64 = 0.04;
const MAX_CANCEL_DELAY_MS: u64 = 120;
/// Length of a body that comes later than its head.
const BODY_BYTES: usize = 64;
/// How long a caller waits beyond the route's timeout.
const TIMEOUT_GRACE: Duration = Duration::from_secs(2);

/// Number of retries of callers that retry at once.
const IMPATIENT_RETRIES: u32 = 3;
/// Maximum number of tries for a stream that may be resumed.
const MAX_STREAM_TRIES: u32 = 4;
/// Pause before a caller takes up a stream that was broken off.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(50);

/// Relative frequency of each route of the site.
const ROUTE_WEIGHTS: [usize; 3] = [4, 2, 4];

/// One attempt of a caller and its outcome.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub route: Rc<RouteModel>,
    /// Set if the caller contends for the workers of a stage service.
    pub contender: Option<Rc<Contender>>,
    pub entry: usize,
    pub sent: Instant,
    pub ended: Instant,
    /// `None` if the caller cancelled it.
    pub outcome: Option<Outcome>,
    /// Events received of a stream.
    pub events: Vec<StreamEvent>,
    /// The stream that it resumed.
    pub resumed: Option<ResumedStream>,
    /// When the last byte of the request was sent at the earliest.
    pub body_sent: Instant,
}

/// The callers of a run.
pub struct Load {
    shared: Rc<Shared>,
    callers: Vec<JoinHandle<()>>,
}

struct Shared {
    started: Instant,
    crowding: Crowding,
    attempts: RefCell<Vec<Attempt>>,
    is_over: Cell<bool>,
}

impl Load {
    /// Starts the callers of all routes.
    pub fn start(options: &SoakOptions, plan: &SoakPlan, fleet: &Rc<Fleet>) -> Self {
        let contenders = contention::contenders(&plan.burst).into_iter();
        let contenders = contenders.chain(versions::callers());
        let contenders = contenders.chain(brittle::callers());
        let contenders = contenders.chain(departures::callers());
        let contenders = contenders.chain(fragile::callers(plan.fragile));
        let contenders = contenders.chain(crowding::callers());
        let ordinary = std::iter::repeat_n(None, options.callers);
        let contenders = ordinary.chain(contenders.map(Some));
        Self::of_callers(options, plan, fleet, contenders)
    }

    /// Starts callers that have a route each.
    pub fn of_contenders(
        options: &SoakOptions,
        plan: &SoakPlan,
        fleet: &Rc<Fleet>,
        contenders: impl Iterator<Item = Contender>,
    ) -> Self {
        Self::of_callers(options, plan, fleet, contenders.map(Some))
    }

    /// Starts callers; those without a route of their own draw one for each request.
    fn of_callers(
        options: &SoakOptions,
        plan: &SoakPlan,
        fleet: &Rc<Fleet>,
        callers: impl Iterator<Item = Option<Contender>>,
    ) -> Self {
        let routes = plan.site.routes.iter().cloned().map(Rc::new);
        let routes: Rc<[Rc<RouteModel>]> = routes.collect();
        let shared = Rc::new(Shared {
            started: Instant::now(),
            crowding: plan.crowding.clone(),
            attempts: RefCell::default(),
            is_over: Cell::new(false),
        });
        let callers = callers.enumerate().map(|(number, contender)| {
            let caller = Caller {
                number,
                rng: SmallRng::seed_from_u64(options.seed ^ ((number as u64 + 1) << 32)),
                fleet: fleet.clone(),
                routes: routes.clone(),
                shared: shared.clone(),
                connection: None,
                requests: 0,
                contender: contender.map(Rc::new),
            };
            actix_rt::spawn(caller.run())
        });
        Load {
            callers: callers.collect(),
            shared,
        }
    }

    /// Waits for requests in flight and returns all attempts.
    pub async fn stop(self) -> Vec<Attempt> {
        self.shared.is_over.set(true);
        for caller in self.callers {
            if let Err(err) = caller.await {
                log::error!("caller task failed: {err}");
            }
        }
        self.shared.attempts.take()
    }
}

struct Caller {
    number: usize,
    rng: SmallRng,
    fleet: Rc<Fleet>,
    routes: Rc<[Rc<RouteModel>]>,
    shared: Rc<Shared>,
    connection: Option<(usize, Connection)>,
    requests: u64,
    contender: Option<Rc<Contender>>,
}

impl Caller {
    async fn run(mut self) {
        let contender = self.contender.clone();
        let active = contender.as_ref().and_then(|contender| contender.active);
        let end = active.map(|(start, end)| (Instant::now() + start, Instant::now() + end));
        if let Some((start, _)) = end {
            tokio::time::sleep_until(start.into()).await;
        }
        let is_past = || end.is_some_and(|(_, end)| Instant::now() >= end);
        while !self.shared.is_over.get() && !is_past() {
            let route = self.draw_route();
            match route.resumable {
                true => self.receive_stream(&route).await,
                false => self.send_with_retry(&route).await,
            }
            let pause = PAUSE.mul_f64(self.rng.random_range(0.0..2.0));
            tokio::time::sleep(pause).await;
        }
    }

    fn draw_route(&mut self) -> Rc<RouteModel> {
        if let Some(contender) = &self.contender {
            let mut routes = self.routes.iter();
            let route = routes.find(|route| route.path == contender.path);
            return route.expect("the site has the contended routes").clone();
        }
        let routes = self.routes.iter().zip(ROUTE_WEIGHTS);
        let uses = routes.flat_map(|(route, uses)| std::iter::repeat_n(route, uses));
        let uses: Vec<&Rc<RouteModel>> = uses.collect();
        uses[self.rng.random_range(0..uses.len())].clone()
    }

    /// Sends a request and retries it if allowed: after a refusal with the requested delay, and after
    /// an unknown outcome on a route that is safe to repeat. Impatient callers retry at once.
    async fn send_with_retry(&mut self, route: &Rc<RouteModel>) {
        let content = self.requests;
        let contender = self.contender.as_ref();
        let is_impatient = contender.is_some_and(|contender| contender.is_impatient);
        let retries = if is_impatient { IMPATIENT_RETRIES } else { 1 };
        for retry in 0..=retries {
            let outcome = self
                .attempt(route, content, None)
                .await
                .map(|attempt| attempt.outcome);
            let pause = match outcome.flatten() {
                Some(Outcome::NotRun { after, .. }) => after.unwrap_or(PAUSE),
                Some(Outcome::Unknown { .. }) if route.kind == RouteKind::Safe => PAUSE,
                _ => return,
            };
            let pause = if is_impatient { Duration::ZERO } else { pause };
            if retry == retries || pause.as_millis() as u64 > route.timeout_ms / 3 {
                return;
            }
            tokio::time::sleep(pause).await;
            self.connection = None;
        }
    }

    /// Requests a stream, and takes it up at another gateway where it is broken off.
    async fn receive_stream(&mut self, route: &Rc<RouteModel>) {
        let content = self.requests;
        let mut resumed: Option<ResumedStream> = None;
        for _ in 0..MAX_STREAM_TRIES {
            let Some(attempt) = self.attempt(route, content, resumed.clone()).await else {
                return;
            };
            if let Some(last) = attempt.events.last() {
                let first = resumed.map_or(attempt.id, |stream| stream.attempt);
                resumed = Some(ResumedStream {
                    attempt: first,
                    last: last.clone(),
                });
            }
            let pause = match attempt.outcome {
                Some(Outcome::NotRun { after, .. }) => after.unwrap_or(PAUSE),
                Some(Outcome::Unknown { .. }) => TAKE_UP_PAUSE,
                _ => return,
            };
            tokio::time::sleep(pause.min(Duration::from_millis(route.timeout_ms / 3))).await;
            self.connection = None;
        }
    }

    /// Sends a request once. Retries have the same `content`, by which gateways know them.
    async fn attempt(
        &mut self,
        route: &Rc<RouteModel>,
        content: u64,
        resumed: Option<ResumedStream>,
    ) -> Option<Attempt> {
        let is_cancelled = self.rng.random_bool(CANCEL_SHARE);
        let timeout = match is_cancelled {
            true => Duration::from_millis(self.rng.random_range(1..MAX_CANCEL_DELAY_MS)),
            false => Duration::from_millis(route.timeout_ms) + TIMEOUT_GRACE,
        };
        self.ensure_connected().await;
        let (entry, mut connection) = self.connection.take()?;
        self.requests += 1;
        let id = format!("{:08x}{:08x}", self.number + 1, self.requests);
        let mut request = CallerRequest::for_route(route, id.clone());
        request.resumed.clone_from(&resumed);
        if let Some(contender) = &self.contender {
            request.path = format!("{}{:x}-{content:x}", route.path, self.number);
            request.api_key = contender.organisation.map(api_key);
            request.middle_part = contender.part.map(str::to_string);
            if !contender.max_body_delay.is_zero() {
                let delay = contender.max_body_delay;
                request.body_after = Some(delay.mul_f64(self.rng.random_range(0.0..1.0)));
                request.body_bytes = BODY_BYTES;
            }
        }
        let sent = Instant::now();
        let response = tokio::time::timeout(timeout, connection.call(&request)).await;
        let response = match response {
            Ok(response) => Some(response),
            Err(_) if is_cancelled => None,
            Err(_) => Some(CallerResponse::from(Outcome::Unknown {
                why: "no answer".to_string(),
            })),
        };
        let (crowding, elapsed) = (&self.shared.crowding, self.shared.started.elapsed());
        let closes = crowding.closes(elapsed, &mut self.rng);
        if response.is_some() && connection.is_open() && !closes {
            self.connection = Some((entry, connection));
        }
        let (outcome, events) = response.map(|r| (r.outcome, r.events)).unzip();
        let attempt = Attempt {
            id,
            route: route.clone(),
            contender: self.contender.clone(),
            entry,
            sent,
            ended: Instant::now(),
            outcome,
            events: events.unwrap_or_default(),
            resumed,
            body_sent: sent + request.body_after.unwrap_or_default(),
        };
        self.shared.attempts.borrow_mut().push(attempt.clone());
        Some(attempt)
    }

    /// Keeps the open connection, or opens one to a ready gateway.
    async fn ensure_connected(&mut self) {
        let is_open = |(_, connection): &(usize, Connection)| connection.is_open();
        if self.connection.as_ref().is_some_and(is_open) {
            return;
        }
        self.connection = None;
        let ready = self.fleet.ready();
        let entries: Vec<usize> = ready.iter().map(|(entry, _)| *entry).collect();
        let (crowding, elapsed) = (&self.shared.crowding, self.shared.started.elapsed());
        let (entry, address) = ready[crowding.choose(elapsed, &entries, &mut self.rng)];
        match Connection::open(address).await {
            Ok(connection) => self.connection = Some((entry, connection)),
            Err(err) => {
                log::debug!("caller {}: {err}", self.number);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Sends a request on the added route to every ready gateway; returns a line per failure.
pub async fn check_added_route(plan: &SoakPlan, fleet: &Fleet) -> Vec<Failure> {
    let mut failures = Vec::new();
    for (entry, address) in fleet.ready() {
        let request = CallerRequest::for_route(&plan.added_route(), format!("added-{entry}"));
        let outcome = match Connection::open(address).await {
            Ok(mut connection) => connection.call(&request).await.outcome,
            Err(err) => Outcome::Unknown {
                why: err.to_string(),
            },
        };
        if outcome != Outcome::Whole {
            let description = format!("gateway {entry} on the added route: {outcome:?}");
            failures.push(Failure::new(FailureKind::AddedRoute, description));
        }
    }
    failures
}
