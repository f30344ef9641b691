//! Requests that crash the targets that run them.
//!
//! Guards against one fatal request crashing target after target when its caller repeats it
//! under new ids and at other entries: crashes are counted by content, across all entries.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head, unframed,
};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;
use tokio::io::AsyncReadExt;

use crate::fixture::{eventually, gateway, wait_for_entries, Answer, Call};

/// Engines that may crash under one request.
const MAX_CRASHES: usize = 3;
/// Number of times that the caller sends its request.
const SENDS: usize = 9;

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, 20.0, 10.0)
        .route("/once/", "stream", "engines", json!({}))
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
        .service("plain")
        .route("/safe/", "safe", "plain", json!({ "max_attempts": 6 }))
}

/// A request with its own id.
fn request(number: usize, body: &str) -> Call {
    Call::new("POST", "/once/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .body(body)
}

/// Crashes at the first token of a fatal request; serves a long one slowly, so that it runs
/// alongside others.
fn fragile(request: &ReceivedRequest) -> Vec<Step> {
    let body = String::from_utf8_lossy(&request.body);
    if body.starts_with("fatal") {
        return vec![
            Step::Write(stream_head(request)),
            Step::Wait(Duration::from_millis(50)),
            Step::Crash,
        ];
    }
    let mut steps = vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
    ];
    if body.starts_with("long") {
        steps.push(Step::Wait(Duration::from_millis(250)));
    }
    steps.push(Step::Write(chunk(&event(2))));
    steps.push(Step::Write(last_chunk()));
    steps
}

/// The steps of a target for each request.
pub type Script = fn(&ReceivedRequest) -> Vec<Step>;

/// Targets of a service, each of which is replaced under a new id after a crash.
pub struct Targets {
    store: StoreStandin,
    service: &'static str,
    script: Script,
    started: RefCell<Vec<(String, TargetStandin)>>,
}

impl Targets {
    pub async fn start(
        store: &StoreStandin,
        service: &'static str,
        script: Script,
        count: usize,
    ) -> Rc<Self> {
        let targets = Rc::new(Targets {
            store: store.clone(),
            service,
            script,
            started: RefCell::default(),
        });
        for _ in 0..count {
            targets.start_one().await;
        }
        targets
    }

    pub async fn start_one(&self) {
        let target = TargetStandin::start(self.script).await;
        let id = format!("i-{}-{}", self.service, self.started.borrow().len());
        self.store
            .put_target(&id, self.service, target.addr, "hall-a", "ready");
        self.started.borrow_mut().push((id, target));
    }

    /// Replaces each crashed target, whose record is deleted.
    pub async fn replace_crashed(&self) {
        let crashed: Vec<String> = {
            let started = self.started.borrow();
            let crashed = started.iter().filter(|(_, target)| target.has_crashed());
            let crashed = crashed.map(|(id, _)| format!("servers/{id}"));
            let recorded = self.store.keys("servers/");
            crashed.filter(|key| recorded.contains(key)).collect()
        };
        for key in crashed {
            self.store.delete(&key);
            self.start_one().await;
        }
    }

    /// Ids of all targets so far, with whether each has crashed.
    pub fn ids(&self) -> Vec<(String, bool)> {
        let started = self.started.borrow();
        let ids = started.iter();
        ids.map(|(id, target)| (id.clone(), target.has_crashed()))
            .collect()
    }

    /// Requests that all targets have received.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        let started = self.started.borrow();
        let received = started.iter().flat_map(|(_, target)| target.received());
        received.collect()
    }

    pub fn crashed(&self) -> usize {
        let started = self.started.borrow();
        started
            .iter()
            .filter(|(_, target)| target.has_crashed())
            .count()
    }
}

/// A store, engines, and entries that know each other.
async fn fleet(entries: usize, engines: usize) -> (StoreStandin, Rc<Targets>, Vec<Running>) {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let engines = Targets::start(&store, "engines", fragile, engines).await;
    let mut gateways = Vec::new();
    for number in 0..entries {
        gateways.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    wait_for_entries("all entries are registered", &store, entries).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    (store, engines, gateways)
}

/// Sends the same fatal request repeatedly, to one entry after the other.
async fn send_fatal(engines: &Targets, gateways: &[Running]) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..SENDS {
        let addr = gateways[number % gateways.len()].addrs.callers;
        answers.push(request(number, "fatal").send(addr).await);
        tokio::time::sleep(Duration::from_millis(150)).await;
        engines.replace_crashed().await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    answers
}

#[actix_rt::test]
async fn request_is_refused_after_three_crashes() {
    let (_store, engines, gateways) = fleet(3, 4).await;
    let answers = send_fatal(&engines, &gateways).await;
    assert_eq!(
        engines.crashed(),
        MAX_CRASHES,
        "of {SENDS} sends: {answers:?}"
    );
    for refused in &answers[MAX_CRASHES..] {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(
            refused.header("retry-after").is_some(),
            "the refusal has a Retry-After header"
        );
    }
    let good = request(100, "short").send(gateways[0].addrs.callers).await;
    assert!(good.is_whole, "other requests are served: {good:?}");
}

#[actix_rt::test]
async fn bystanders_of_fatal_request_are_served() {
    let (_store, engines, gateways) = fleet(2, 1).await;
    let broken = |number: usize| {
        let addr = gateways[number % 2].addrs.callers;
        async move {
            let mut good = request(100 + number, "long").begin(addr).await;
            let mut buf = [0; 64];
            good.read_exact(&mut buf).await.expect("the stream begins");
            request(number, "fatal").send(addr).await
        }
    };
    // One engine, so that all requests run alongside the fatal one.
    for number in 0..2 {
        broken(number).await;
        eventually("the engine crashes", || engines.crashed() == number + 1).await;
        engines.replace_crashed().await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let again = request(200, "long").send(gateways[0].addrs.callers).await;
    assert!(again.is_whole, "served between two crashes: {again:?}");
    broken(2).await;
    eventually("the third engine crashes", || engines.crashed() == 3).await;
    engines.replace_crashed().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let again = request(201, "long").send(gateways[1].addrs.callers).await;
    assert!(again.is_whole, "it did not cause the crash: {again:?}");
}

#[actix_rt::test]
async fn new_entry_refuses_known_fatal_request() {
    let (store, engines, gateways) = fleet(2, 4).await;
    send_fatal(&engines, &gateways).await;
    let crashed = engines.crashed();
    let late = gateway(&store, "host-late", "hall-a").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = request(300, "fatal").send(late.addrs.callers).await;
    assert_eq!((got.status, engines.crashed()), (503, crashed), "{got:?}");
}

/// Prefix of the ids of requests whose pieces crash their worker.
const FATAL_ID: &str = "fa7a1";

fn has_fatal_piece(request: &ReceivedRequest) -> bool {
    let is_fatal = |piece: &serde_json::Value| {
        let id = piece["id"].as_str().unwrap_or_default();
        id.starts_with(FATAL_ID)
    };
    request.pieces().iter().any(is_fatal)
}

fn fragile_worker(request: &ReceivedRequest) -> Vec<Step> {
    let work = Step::Wait(Duration::from_millis(20));
    match has_fatal_piece(request) {
        true => vec![work, Step::Crash],
        false => vec![work, Step::Write(results(request, "producer"))],
    }
}

/// Crashes halfway through its answer, which has no length.
fn fragile_worker_without_length(request: &ReceivedRequest) -> Vec<Step> {
    let mut results = unframed(results(request, "producer"));
    if has_fatal_piece(request) {
        results.truncate(results.len() - 10);
    }
    let end = match has_fatal_piece(request) {
        true => Step::Crash,
        false => Step::Close,
    };
    let work = Step::Wait(Duration::from_millis(20));
    vec![work.clone(), Step::Write(results), work, end]
}

/// A request with two pieces.
fn staged(id: &str, body: &str) -> Call {
    Call::new("POST", "/staged/x")
        .with("X-Request-Id", id)
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Pieces", "2")
        .with("X-Piece-Key", "the-key")
        .with("X-Deadline-Ms", "8000")
        .body(body)
}

/// Guards against repeating a piece that crashes its workers, and against failing other pieces
/// in the same calls.
#[actix_rt::test]
async fn fatal_pieces_run_isolated_then_refused() {
    assert_fatal_pieces_are_refused(fragile_worker).await;
}

/// Guards against taking a call's answer that a crash cut off for a malformed one.
#[actix_rt::test]
async fn fatal_pieces_whose_answers_are_cut_off_run_isolated_then_refused() {
    assert_fatal_pieces_are_refused(fragile_worker_without_length).await;
}

async fn assert_fatal_pieces_are_refused(worker: Script) {
    let (store, _engines, gateways) = fleet(2, 2).await;
    let workers = Targets::start(&store, "encoders", worker, 3).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut last = None;
    for send in 0..4 {
        let addr = |number: usize| gateways[number % 2].addrs.callers;
        let fatal = staged(&format!("{FATAL_ID}{send:011x}"), "fatal");
        let good = (0..6).map(|number| {
            let id = format!("{send:08x}{number:08x}");
            async move { staged(&id, &format!("good {id}")).send(addr(number)).await }
        });
        let replacing = async {
            for _ in 0..12 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                workers.replace_crashed().await;
            }
        };
        let (got, served, ()) =
            futures_util::future::join3(fatal.send(addr(send)), join_all(good), replacing).await;
        for answer in served {
            assert!(answer.is_whole, "send {send}: {answer:?}");
        }
        last = Some(got);
    }
    let last = last.expect("the request was sent");
    assert_eq!(last.status, 503, "{last:?}");
    assert!(last.body.starts_with("ends_targets"), "{last:?}");
    // Two calls may contain its pieces when the first worker crashes.
    assert!(
        workers.crashed() <= 4,
        "{} workers crashed",
        workers.crashed()
    );
}

fn fragile_plain(request: &ReceivedRequest) -> Vec<Step> {
    match request.body.starts_with(b"fatal") {
        true => vec![Step::Wait(Duration::from_millis(10)), Step::Crash],
        false => vec![Step::Write(answer(request, 200, "good"))],
    }
}

/// Guards against retrying a fatal request at all of the six targets that its route allows.
#[actix_rt::test]
async fn fatal_request_retries_stop_at_two_crashes() {
    let (store, _engines, gateways) = fleet(2, 1).await;
    let targets = Targets::start(&store, "plain", fragile_plain, 8).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let send = |number: usize, body: &'static str| {
        let id = format!("{number:016x}");
        let call = Call::new("POST", "/safe/x")
            .with("X-Request-Id", &id)
            .body(body);
        let addr = gateways[number % 2].addrs.callers;
        async move { call.send(addr).await }
    };
    let first = send(0, "fatal").await;
    assert_eq!((first.status, targets.crashed()), (502, 2), "{first:?}");
    for number in 1..4 {
        // Time for the verdict to reach the other entry.
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(number, "fatal").await;
    }
    assert_eq!(targets.crashed(), MAX_CRASHES);
    assert_eq!(send(5, "fatal").await.status, 503);
    assert!(send(6, "good").await.is_whole);
}
