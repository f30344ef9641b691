//! Targets of every kind, many in one server.
//!
//! One `actix-web` server listens on a port per target and tells them apart by
//! the port a call came in on. A call waits for one of the target's slots,
//! is written down, takes its time, and is answered as its faults allow.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use bytes::Bytes;
use futures_util::stream;
use hollowsail_config::{Deployment, ServiceKind};
use hollowsail_platform::target::{
    Answer, Call, TokenEvent, DISPATCH_HEADER, LEAVING_HEADER, LOAD_HEADER, ORGANISATION_HEADER,
};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::engine::{EngineTimes, PrefixCache};
use crate::faults::TargetFaults;
use crate::output;
use crate::record::{Execution, ExecutionLog};

/// How long "never answers" is.
const HANG: Duration = Duration::from_secs(600);

/// How old a reported load may be.
const LOAD_LAG: Duration = Duration::from_millis(300);

/// Speeds of the stand-ins.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    pub encoder_ms: f64,
    pub retriever_ms: f64,
    pub reranker_ms: f64,
    pub plain_ms: f64,
    pub engine: EngineTimes,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            encoder_ms: 4.0,
            retriever_ms: 8.0,
            reranker_ms: 10.0,
            plain_ms: 5.0,
            engine: EngineTimes::default(),
        }
    }
}

impl Profile {
    /// No waiting at all: for measuring what an entry adds.
    pub fn instant() -> Self {
        Profile {
            encoder_ms: 0.0,
            retriever_ms: 0.0,
            reranker_ms: 0.0,
            plain_ms: 0.0,
            engine: EngineTimes {
                prefill_per_token: 0.0,
                token: 0.0,
                token_per_sequence: 0.0,
            },
        }
    }

    fn base_ms(&self, kind: ServiceKind) -> f64 {
        match kind {
            ServiceKind::Encoder => self.encoder_ms,
            ServiceKind::Retriever => self.retriever_ms,
            ServiceKind::Reranker => self.reranker_ms,
            ServiceKind::Plain => self.plain_ms,
            ServiceKind::Engine => 0.0,
        }
    }
}

/// One target's state.
struct TargetState {
    name: String,
    hall: String,
    kind: ServiceKind,
    reports_load: bool,
    concurrency: u32,
    slots: Arc<Semaphore>,
    held: Arc<AtomicU32>,
    running: Arc<AtomicU32>,
    cache: Mutex<PrefixCache>,
    faults: Mutex<TargetFaults>,
    load: Mutex<LaggingLoad>,
    /// Slot-time of the whole service in microseconds.
    busy: Arc<AtomicU64>,
    profile: Profile,
    log: ExecutionLog,
}

/// A load as it was some time ago.
#[derive(Default)]
struct LaggingLoad {
    seen: Option<(Instant, u32)>,
}

impl LaggingLoad {
    fn read(&mut self, now: u32) -> u32 {
        match self.seen {
            Some((at, load)) if at.elapsed() < LOAD_LAG => load,
            _ => {
                self.seen = Some((Instant::now(), now));
                now
            }
        }
    }
}

impl TargetState {
    /// What the target says of its load: late, or frozen by a fault.
    fn reported_load(&self, faults: &TargetFaults) -> u32 {
        let now = self.held.load(Ordering::Relaxed);
        let lagging = self.load.lock().expect("no panic while held").read(now);
        faults.frozen_load.unwrap_or(lagging)
    }

    fn faults(&self) -> TargetFaults {
        self.faults.lock().expect("no panic while held").clone()
    }
}

/// Adds the time it lives to a service's busy time.
struct Busy {
    since: Instant,
    /// Slot-time of the service in microseconds.
    total: Arc<AtomicU64>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        let micros = self.since.elapsed().as_micros() as u64;
        self.total.fetch_add(micros, Ordering::Relaxed);
    }
}

/// Counts a call for as long as it lives.
struct Counted(Arc<AtomicU32>);

impl Counted {
    fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Counted(counter.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All running stand-ins of one deployment's targets.
pub struct TargetStandIns {
    /// Address of each target, by name.
    pub addresses: HashMap<String, SocketAddr>,
    pub log: ExecutionLog,
    states: HashMap<String, Arc<TargetState>>,
    /// Slots of one target and slot-time, by service.
    busy: Vec<(String, u32, Arc<AtomicU64>)>,
    handle: ServerHandle,
}

impl TargetStandIns {
    /// Starts one listener per target on loopback, port 0.
    pub fn start(deployment: &Deployment, profile: Profile) -> std::io::Result<Self> {
        let log = ExecutionLog::default();
        let mut addresses = HashMap::new();
        let mut states = HashMap::new();
        let mut by_port = HashMap::new();
        let mut listeners = Vec::new();
        let busy: Vec<Arc<AtomicU64>> =
            deployment.services.iter().map(|_| Arc::default()).collect();
        for target in &deployment.targets {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let service = deployment.service(target.service);
            let state = Arc::new(TargetState {
                name: target.name.clone(),
                hall: deployment.hall(target.hall).name.clone(),
                kind: service.kind,
                reports_load: service.reports_load,
                concurrency: service.concurrency,
                slots: Arc::new(Semaphore::new(service.concurrency as usize)),
                held: Arc::default(),
                running: Arc::default(),
                cache: Mutex::default(),
                faults: Mutex::default(),
                load: Mutex::default(),
                busy: busy[target.service.index()].clone(),
                profile,
                log: log.clone(),
            });
            addresses.insert(target.name.clone(), address);
            by_port.insert(address.port(), state.clone());
            states.insert(target.name.clone(), state);
            listeners.push(listener);
        }
        let handle = serve(listeners, by_port)?;
        Ok(TargetStandIns {
            addresses,
            log,
            states,
            busy: deployment
                .services
                .iter()
                .zip(busy)
                .map(|(service, busy)| (service.name.clone(), service.concurrency, busy))
                .collect(),
            handle,
        })
    }

    /// Replaces the faults of one target; unknown names are ignored.
    pub fn set_faults(&self, target: &str, faults: TargetFaults) {
        if let Some(state) = self.states.get(target) {
            *state.faults.lock().expect("no panic while held") = faults;
        }
    }

    /// Seconds of whole targets spent so far, by service: slot-time over the
    /// slots of a target, wasted work included.
    pub fn target_seconds(&self) -> Vec<(String, f64)> {
        self.busy
            .iter()
            .map(|(service, slots, micros)| {
                let seconds = micros.load(Ordering::Relaxed) as f64 / 1e6;
                (service.clone(), seconds / f64::from(*slots))
            })
            .collect()
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

type ByPort = HashMap<u16, Arc<TargetState>>;

fn serve(listeners: Vec<TcpListener>, by_port: ByPort) -> std::io::Result<ServerHandle> {
    let by_port = web::Data::new(by_port);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(by_port.clone())
            .app_data(web::JsonConfig::default().limit(4 * 1024 * 1024))
            .route("/call", web::post().to(handle_call))
    })
    .workers(2)
    // A caller that goes away ends its call, as on an engine that can cancel.
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    let running = server.run();
    let handle = running.handle();
    actix_rt::spawn(running);
    Ok(handle)
}

async fn handle_call(
    req: HttpRequest,
    by_port: web::Data<ByPort>,
    call: web::Json<Call>,
) -> HttpResponse {
    let port = req.app_config().local_addr().port();
    let Some(state) = by_port.get(&port).cloned() else {
        return HttpResponse::NotFound().finish();
    };
    let faults = state.faults();
    if let Some(refusal) = refuse(&state, &faults) {
        return refusal;
    }
    let held = Counted::new(&state.held);
    let Ok(slot) = state.slots.clone().acquire_owned().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let busy = Busy {
        since: Instant::now(),
        total: state.busy.clone(),
    };
    let place = state.log.begin(Execution {
        target: state.name.clone(),
        hall: state.hall.clone(),
        org: header(&req, ORGANISATION_HEADER),
        dispatch: call.dispatch.clone(),
        finished: false,
    });
    let run = Run {
        state,
        faults,
        call: call.into_inner(),
        place,
        _held: held,
        _busy: busy,
        _slot: slot,
    };
    run.answer().await
}

fn refuse(state: &TargetState, faults: &TargetFaults) -> Option<HttpResponse> {
    if faults.leaving {
        let refusal = HttpResponse::ServiceUnavailable()
            .insert_header((LEAVING_HEADER, "1"))
            .finish();
        return Some(refusal);
    }
    if let Some(address) = faults.redirect {
        let refusal = HttpResponse::TemporaryRedirect()
            .insert_header(("location", format!("http://{address}/call")))
            .finish();
        return Some(refusal);
    }
    let status = StatusCode::from_u16(faults.refuse?).ok()?;
    let mut refusal = HttpResponse::build(status);
    if state.reports_load {
        refusal.insert_header((LOAD_HEADER, state.reported_load(faults).to_string()));
    }
    Some(refusal.finish())
}

fn header(req: &HttpRequest, name: &str) -> String {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_string()
}

/// One call that has its slot.
struct Run {
    state: Arc<TargetState>,
    faults: TargetFaults,
    call: Call,
    place: usize,
    _held: Counted,
    _busy: Busy,
    _slot: OwnedSemaphorePermit,
}

impl Run {
    async fn answer(self) -> HttpResponse {
        if self.faults.hang {
            tokio::time::sleep(HANG).await;
        }
        match self.state.kind {
            ServiceKind::Engine => self.answer_stream().await,
            _ => self.answer_whole().await,
        }
    }

    async fn wait(&self, time: Duration) {
        let time = time.mul_f64(self.faults.slow_factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    fn echo(&self) -> String {
        match self.faults.cross_answers {
            true => "another-request/stage/1".to_string(),
            false => self.call.dispatch.clone(),
        }
    }

    fn response(&self) -> actix_web::HttpResponseBuilder {
        let mut res = HttpResponse::Ok();
        res.insert_header((DISPATCH_HEADER, self.echo()));
        if self.state.reports_load {
            let load = self.state.reported_load(&self.faults);
            res.insert_header((LOAD_HEADER, load.to_string()));
        }
        res
    }

    async fn answer_whole(self) -> HttpResponse {
        let running = Counted::new(&self.state.running);
        let crowding =
            f64::from(running.0.load(Ordering::Relaxed)) / f64::from(self.state.concurrency);
        let base = self.state.profile.base_ms(self.state.kind);
        self.wait(Duration::from_secs_f64(base * (0.5 + crowding) / 1000.0))
            .await;
        let output = output::answer_for(self.state.kind, &self.call);
        self.state.log.finish(self.place);
        let mut length = output.to_string().len();
        if self.faults.wrong_length {
            length += 1;
        }
        let answer = Answer {
            dispatch: self.echo(),
            length,
            output,
        };
        let body = serde_json::to_vec(&answer).expect("an answer always serializes");
        if self.faults.cut_answer {
            let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
            return self.response().streaming(cut_after(vec![half]));
        }
        self.response().content_type("application/json").body(body)
    }

    async fn answer_stream(self) -> HttpResponse {
        let cached = match &self.call.session {
            Some(session) => self.state.cache.lock().expect("no panic").touch(session),
            None => false,
        };
        let prefill = self.state.profile.engine.prefill(cached);
        self.wait(prefill).await;
        let mut res = self.response();
        let events = stream::unfold(StreamRun::new(self), |mut run| async move {
            let item = run.next().await?;
            Some((item, run))
        });
        res.content_type("text/event-stream").streaming(events)
    }
}

/// A body that breaks off after the given pieces.
fn cut_after(
    pieces: Vec<Bytes>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let cut = Err(std::io::Error::other("cut by a fault"));
    stream::iter(pieces.into_iter().map(Ok).chain([cut]))
}

/// A token stream under way.
struct StreamRun {
    run: Run,
    _running: Counted,
    next: u32,
    total: u32,
    ended: bool,
}

impl StreamRun {
    fn new(run: Run) -> Self {
        let running = Counted::new(&run.state.running);
        StreamRun {
            next: run.call.from_token,
            total: output::token_count(&run.call),
            ended: false,
            _running: running,
            run,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        let resumed = self.run.call.from_token > 0;
        if self.run.faults.cut_stream_after == Some(self.next) && !resumed {
            self.ended = true;
            return Some(Err(std::io::Error::other("cut by a fault")));
        }
        if self.next >= self.total {
            return self.end();
        }
        let batch = self.run.state.running.load(Ordering::Relaxed);
        let time = self.run.state.profile.engine.token(batch);
        self.run.wait(time).await;
        let event = TokenEvent::Token {
            dispatch: self.run.echo(),
            offset: self.next,
            text: output::token(&self.run.call, self.next),
        };
        self.next += 1;
        let mut text = render(&event);
        if self.run.faults.double_tokens {
            text = text.repeat(2);
        }
        Some(Ok(Bytes::from(text)))
    }

    fn end(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        self.ended = true;
        self.run.state.log.finish(self.run.place);
        if self.run.faults.drop_end_marker {
            return None;
        }
        let event = TokenEvent::End {
            dispatch: self.run.echo(),
            tokens: self.total,
        };
        Some(Ok(Bytes::from(render(&event))))
    }
}

fn render(event: &TokenEvent) -> String {
    let data = serde_json::to_string(event).expect("an event always serializes");
    format!("data: {data}\n\n")
}
