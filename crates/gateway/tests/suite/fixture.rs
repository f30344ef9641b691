//! A gateway, a store, and callers for the tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::RepeatAllowance;
use hollowsail_platform_standins::target::{chunk, event, last_chunk, results, stream_head};
use hollowsail_platform_standins::{
    DeploymentJson, HostLinks, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for conditions that have to come true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` is true; panics with `description` after a timeout.
pub async fn eventually(description: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < until,
            "timed out after {WAIT_TIMEOUT:?}: {description}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Settings of a gateway in a hall, with the store at `store`.
pub fn settings(host: &str, hall: &str, store: SocketAddr) -> Settings {
    let text = format!(
        "node: {host}\nrole: gateway\nip: 127.0.0.1\nzone: {hall}\n\
         listen:\n  front: 127.0.0.1:0\n  readiness: 127.0.0.1:0\n  control: 127.0.0.1:0\n  \
         metrics: 127.0.0.1:0\n\
         seeds: []\nlimits:\n  memory_mb: 260\n  max_fds: 4100\n\
         bounds:\n  drain_ms: 2000\n  grace_s: 3\n  config_apply_ms: 2000\n  \
         retry_budget_ratio: 0.2\n  retry_window_s: 10\n  retry_extra: 50\n\
         platform:\n  address: {store}\nheartbeat_ms: 1200\nreservation_workers: 1\n"
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// The same with the repeats that are allowed.
pub fn settings_allowing(allowance: &RepeatAllowance, host: &str, store: SocketAddr) -> Settings {
    let mut settings = settings(host, "hall-a", store);
    settings.bounds.retry_ratio = allowance.ratio;
    settings.bounds.retry_extra = allowance.extra;
    settings.bounds.retry_window_s = allowance.window.as_secs_f64();
    settings
}

/// A store with a route whose requests have pieces of a stage service, its workers, and an engine.
pub struct StageSite {
    pub store: StoreStandin,
    pub workers: Vec<TargetStandin>,
    _engine: TargetStandin,
}

impl StageSite {
    /// Starts workers that take `work` for each call of up to `batch` pieces.
    pub async fn start(workers: usize, batch: u32, work: Duration, timeout_ms: u64) -> Self {
        let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
        let route =
            json!({ "stages": stages, "target_latency_ms": 1500, "timeout_ms": timeout_ms });
        let deployment = DeploymentJson::new(1)
            .engines("engines")
            .stage_service("encoders", batch, 20.0, 10.0)
            .route("/staged/", "stream", "engines", route);
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment.bytes());
        let engine = TargetStandin::start(single_event_stream).await;
        store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
        let mut started = Vec::new();
        for number in 0..workers {
            let worker = TargetStandin::start(move |request| {
                vec![Step::Wait(work), Step::Write(results(request, "producer"))]
            })
            .await;
            let id = format!("i-{number}");
            store.put_target(&id, "encoders", worker.addr, "hall-a", "ready");
            started.push(worker);
        }
        StageSite {
            store,
            workers: started,
            _engine: engine,
        }
    }
}

/// A request of four pieces on the route of a [`StageSite`].
pub fn staged_call(id: &str, deadline_ms: u64) -> Call {
    Call::new("POST", "/staged/")
        .with("X-Request-Id", id)
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Deadline-Ms", &deadline_ms.to_string())
        .with("X-Pieces", "4")
        .with("X-Piece-Key", "the-key")
        .body("prompt")
}

/// A configuration with one route for safe requests to one plain service.
pub fn plain_deployment(version: u64, prefix: &str) -> DeploymentJson {
    DeploymentJson::new(version)
        .service("plain")
        .route(prefix, "safe", "plain", json!({}))
}

/// A generation whose prompt shares a prefix with all others, so that one engine caches it.
pub fn generation(number: usize) -> Call {
    Call::new("POST", "/once/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "1000,10")
        .with("X-Prompt-Prefix", "aa:900,bb:100")
        .body("prompt")
}

/// An engine's answer: a complete stream with one event.
pub fn single_event_stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Write(last_chunk()),
    ]
}

/// Calls that run pieces, without those that release results.
pub fn stage_runs(target: &TargetStandin) -> Vec<ReceivedRequest> {
    let runs = |request: &ReceivedRequest| request.path == "/-/stage-run";
    target.received().into_iter().filter(runs).collect()
}

/// When pieces arrived at workers, each with a name that its repeats share.
pub fn piece_arrivals(workers: &[TargetStandin]) -> Vec<(Instant, String)> {
    let calls = workers.iter().flat_map(stage_runs);
    let arrivals = calls.flat_map(|call| {
        let work = |piece: Value| format!("{}/{}", piece["id"], piece["piece"]);
        let pieces: Vec<String> = call.pieces().into_iter().map(work).collect();
        pieces.into_iter().map(move |work| (call.received_at, work))
    });
    arrivals.collect()
}

/// Path of messages between entries.
pub const MESSAGES_PATH: &str = "/hollowsail/messages";

/// Fields of an entry's encoded record: run, host, address, hall, capacity.
pub type EntryRecord = (u64, String, SocketAddr, String, u32);

/// Puts an entry's record into the store.
pub fn put_entry_record(store: &StoreStandin, record: &EntryRecord) {
    let value = rmp_serde::to_vec(record).expect("records always encode");
    store.put(
        &format!("hollowsail/peers/{}-{}", record.1, record.0),
        &value,
    );
}

/// Run of the only entry that has a record in the store.
pub fn run_of_entry(store: &StoreStandin) -> u64 {
    let keys = store.keys("hollowsail/peers/");
    assert_eq!(keys.len(), 1, "{keys:?}");
    let value = store.value(&keys[0]).expect("the entry has a record");
    let record: EntryRecord = rmp_serde::from_slice(&value).expect("a record");
    record.0
}

/// Waits until the store has `entries` records of entries.
pub async fn wait_for_entries(description: &str, store: &StoreStandin, entries: usize) {
    eventually(description, || {
        store.keys("hollowsail/peers/").len() == entries
    })
    .await;
}

/// A gateway and its store.
pub struct Fixture {
    pub store: StoreStandin,
    pub gateway: Running,
}

impl Fixture {
    /// Starts both and waits until the gateway is ready.
    pub async fn start(deployment: &DeploymentJson) -> Self {
        Self::start_with(deployment, Mechanisms::default()).await
    }

    /// Starts both, the gateway with some mechanisms, and waits until it is ready.
    pub async fn start_with(deployment: &DeploymentJson, mechanisms: Mechanisms) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment.bytes());
        let settings = settings("host-1", "hall-a", store.addr);
        let gateway = gateway_with(settings, mechanisms).await;
        Fixture { store, gateway }
    }

    /// Starts both and a target of a service, with its record in the store.
    pub async fn serving(
        deployment: &DeploymentJson,
        service: &str,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    ) -> (Self, TargetStandin) {
        let fixture = Self::start(deployment).await;
        let target = TargetStandin::start(script).await;
        fixture.add("i-1", service, &target);
        (fixture, target)
    }

    /// Adds a target of a service to the store.
    pub fn add(&self, id: &str, service: &str, target: &TargetStandin) {
        self.store
            .put_target(id, service, target.addr, "hall-a", "ready");
    }

    /// Sends a request until a target receives it; records take a moment to arrive.
    pub async fn call(&self, req: &Call) -> Answer {
        call_until_served(self.gateway.addrs.callers, req).await
    }
}

/// Starts a gateway and waits until it is ready.
pub async fn gateway(store: &StoreStandin, host: &str, hall: &str) -> Running {
    gateway_at(settings(host, hall, store.addr)).await
}

/// Starts gateways in one hall, each with links of its own, and waits until they know each other.
pub async fn gateways_behind_links(
    store: &StoreStandin,
    count: usize,
) -> Vec<(Running, HostLinks)> {
    let mut hosts = Vec::new();
    for number in 0..count {
        let (endpoint, links) = store.add_host().await;
        let settings = settings(&format!("host-{number}"), "hall-a", endpoint.addr);
        hosts.push((gateway_at(settings).await, links));
    }
    wait_for_entries("all entries", store, count).await;
    hosts
}

/// Starts a gateway with some settings and waits until it is ready.
pub async fn gateway_at(settings: Settings) -> Running {
    gateway_with(settings, Mechanisms::default()).await
}

/// Starts a gateway with some mechanisms and waits until it is ready.
pub async fn gateway_with(settings: Settings, mechanisms: Mechanisms) -> Running {
    let running = start(settings, mechanisms)
        .await
        .expect("the gateway starts");
    let until = Instant::now() + WAIT_TIMEOUT;
    while ready_status(running.addrs.readiness).await != 200 {
        assert!(Instant::now() < until, "the gateway did not become ready");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    running
}

/// Text of a gateway's metrics. All gateways of a test process share them.
pub async fn scrape(gateway: &Running) -> String {
    let addr = gateway.addrs.metrics.expect("metrics are enabled");
    let scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    String::from_utf8(exchange(addr, scrape).await).expect("metrics are UTF-8")
}

/// Status of the readiness check.
pub async fn ready_status(addr: SocketAddr) -> u16 {
    let bytes = exchange(
        addr,
        b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
    )
    .await;
    Answer::parse(&bytes).map_or(0, |answer| answer.status)
}

/// Sends a request until it is answered with 200.
pub async fn eventually_served(addr: SocketAddr, req: &Call) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while req.send(addr).await.status != 200 {
        assert!(Instant::now() < until, "{req:?} is never served");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn call_until_served(addr: SocketAddr, req: &Call) -> Answer {
    let until = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = req.send(addr).await;
        if !answer.body.starts_with("no_target") || Instant::now() > until {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    /// A request with an id and a deadline of two seconds.
    pub fn new(method: &'static str, path: &str) -> Self {
        Call {
            method,
            path: path.to_string(),
            headers: vec![
                ("Host".into(), "host.example".into()),
                ("X-Request-Id".into(), "00000000deadbeef".into()),
                ("X-Deadline-Ms".into(), "2000".into()),
            ],
            body: String::new(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_string();
        self
    }

    /// The encoded request.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        format!("{text}Connection: close\r\n\r\n{}", self.body).into_bytes()
    }

    /// Sends the request on a new connection; the answer is left to be read.
    pub async fn begin(&self, addr: SocketAddr) -> TcpStream {
        let mut caller = TcpStream::connect(addr).await.expect("the server listens");
        caller
            .write_all(&self.bytes())
            .await
            .expect("the server reads");
        caller
    }

    /// Sends the request on a new connection and reads until the connection closes.
    pub async fn send(&self, addr: SocketAddr) -> Answer {
        let bytes = exchange(addr, &self.bytes()).await;
        Answer::parse(&bytes).expect("a complete response head is received")
    }
}

/// Posts a body to a path of a gateway for its peers; returns the whole answer.
pub async fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    exchange(addr, &[head.as_bytes(), body].concat()).await
}

/// A peer's answer with this body.
pub fn peer_answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Writes bytes and reads until the other side closes the connection.
pub async fn exchange(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    stream.write_all(bytes).await.expect("the server reads");
    let mut all = Vec::new();
    // After a broken connection, returns what was received.
    let _ended = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut all)).await;
    all
}

/// An answer received by a caller.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    /// Decoded from chunks.
    pub body: String,
    /// The body was received to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let lower = head.to_ascii_lowercase();
        let (body, is_whole) = if lower.contains("transfer-encoding: chunked") {
            unchunk(body)
        } else {
            let length = lower
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.split("\r\n").next())
                .and_then(|length| length.parse::<usize>().ok());
            (
                body.to_string(),
                length.is_some_and(|length| length == body.len()),
            )
        };
        Some(Answer {
            status,
            head: head.to_string(),
            body,
            is_whole,
        })
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .split("\r\n")
            .filter_map(|line| line.split_once(": "))
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            body += after;
            return (body, false);
        };
        body += chunk;
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
