//! Targets that refuse requests with Retry-After and get none until it has passed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::{
    answer, backoff, chunk, event, last_chunk, stream_head,
};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::all_kinds::staged;
use crate::fixture::{
    eventually, gateway, generation, single_event_stream, stage_runs, wait_for_entries, Call,
    Fixture,
};

/// Retry-After of the targets, in seconds.
const BACKOFF_S: f64 = 1.5;
/// Time in which a target among others gets a first request.
const REFUSED_WITHIN: Duration = Duration::from_secs(10);

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 1, 20.0, 10.0)
        .service("plain")
        .route("/a/", "safe", "plain", json!({ "max_attempts": 3 }))
        .route("/once/", "stream", "engines", json!({ "max_attempts": 3 }))
        .route(
            "/staged/",
            "stream",
            "engines",
            json!({ "stages": stages, "timeout_ms": 30_000 }),
        )
}

fn plain() -> Call {
    Call::new("GET", "/a/x")
}

/// A target that refuses everything with Retry-After while `is_full` is set.
#[derive(Clone)]
struct RefusingTarget {
    target: TargetStandin,
    is_full: Rc<Cell<bool>>,
}

impl RefusingTarget {
    async fn start(serve: fn(&ReceivedRequest) -> Vec<Step>) -> Self {
        let is_full = Rc::new(Cell::new(false));
        let full = is_full.clone();
        let target = TargetStandin::start(move |request| match full.get() {
            true => vec![Step::Write(backoff(BACKOFF_S))],
            false => serve(request),
        })
        .await;
        RefusingTarget { target, is_full }
    }
}

fn served(request: &ReceivedRequest) -> Vec<Step> {
    vec![Step::Write(answer(request, 200, "served"))]
}

fn streamed(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Write(last_chunk()),
    ]
}

#[actix_rt::test]
async fn target_gets_nothing_during_backoff() {
    let fixture = Fixture::start(&deployment()).await;
    let (refusing, serving) = (
        RefusingTarget::start(served).await,
        RefusingTarget::start(served).await,
    );
    fixture.add("i-1", "plain", &refusing.target);
    fixture.add("i-2", "plain", &serving.target);
    refusing.is_full.set(true);
    let until = Instant::now() + REFUSED_WITHIN;
    while refusing.target.received().is_empty() {
        assert!(Instant::now() < until, "the target isn't tried");
        fixture.call(&plain()).await;
    }
    let (refused, started) = (refusing.target.received().len(), Instant::now());
    while started.elapsed() < Duration::from_secs_f64(BACKOFF_S * 0.8) {
        let got = plain().send(fixture.gateway.addrs.callers).await;
        assert_eq!(got.status, 200, "the other target serves");
    }
    assert_eq!(
        refusing.target.received().len(),
        refused,
        "it got requests in its backoff"
    );
    refusing.is_full.set(false);
    tokio::time::sleep(Duration::from_secs_f64(BACKOFF_S * 0.4)).await;
    for _ in 0..300 {
        plain().send(fixture.gateway.addrs.callers).await;
    }
    assert!(
        refusing.target.received().len() > refused + 50,
        "it got too few requests after its backoff"
    );
}

#[actix_rt::test]
async fn all_backing_off_refuses_at_once() {
    let fixture = Fixture::start(&deployment()).await;
    let refusing = RefusingTarget::start(served).await;
    fixture.add("i-1", "plain", &refusing.target);
    fixture.call(&plain()).await;
    refusing.is_full.set(true);
    plain().send(fixture.gateway.addrs.callers).await;
    let refused = refusing.target.received().len();
    for _ in 0..10 {
        let sent = Instant::now();
        let got = plain().send(fixture.gateway.addrs.callers).await;
        assert!(sent.elapsed() < Duration::from_millis(150));
        assert_eq!(got.status, 503);
        let after: f64 = got
            .header("Retry-After")
            .and_then(|value| value.parse().ok())
            .expect("a Retry-After header");
        assert!(
            after > 0.5 && after <= BACKOFF_S,
            "Retry-After must end with the backoff: {after} s"
        );
    }
    assert_eq!(refusing.target.received().len(), refused);
}

/// The other target is warming up and takes the next request within a second, so callers must
/// not get the Retry-After of the one that is backing off.
#[actix_rt::test]
async fn long_backoff_does_not_set_retry_after() {
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1)
        .service_with_warm_up("plain", 4.0)
        .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let refusing = TargetStandin::start(|_| vec![Step::Write(backoff(30.0))]).await;
    let warming_up = TargetStandin::start(served).await;
    store.put_target("i-1", "plain", refusing.addr, "hall-a", "ready");
    store.put_warming_up_target("i-2", "plain", warming_up.addr, Duration::from_secs(9));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is recorded", &store, 1).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..40 {
        let got = plain().send(gateway.addrs.callers).await;
        if got.status != 503 || refusing.received().is_empty() {
            continue;
        }
        let after: f64 = got
            .header("Retry-After")
            .and_then(|value| value.parse().ok())
            .expect("a Retry-After header");
        let is_overloaded = got.body.starts_with("overloaded");
        assert!(is_overloaded || after <= 1.0, "{after} s: {got:?}");
    }
    assert_eq!(
        refusing.received().len(),
        1,
        "it got requests in its backoff"
    );
}

/// The entry that schedules an engine may not be the one that the engine refused.
#[actix_rt::test]
async fn backoff_applies_at_remote_scheduler() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let engines = [
        RefusingTarget::start(streamed).await,
        RefusingTarget::start(streamed).await,
    ];
    for (number, engine) in engines.iter().enumerate() {
        let id = format!("i-{number}");
        store.put_target(&id, "engines", engine.target.addr, "hall-a", "ready");
    }
    let entries = [
        gateway(&store, "host-0", "hall-a").await,
        gateway(&store, "host-1", "hall-a").await,
        gateway(&store, "host-2", "hall-a").await,
    ];
    wait_for_entries("all are recorded", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for (number, entry) in entries.iter().enumerate() {
        generation(number).send(entry.addrs.callers).await;
    }
    let used = engines
        .iter()
        .find(|engine| !engine.target.received().is_empty());
    let used = used.expect("one engine has the cached prefix");
    used.is_full.set(true);
    for (number, entry) in entries.iter().enumerate() {
        generation(10 + number).send(entry.addrs.callers).await;
    }
    let refused = used.target.received().len();
    for number in 0..24 {
        let addr = entries[number % 3].addrs.callers;
        let got = generation(100 + number).send(addr).await;
        assert!(
            got.status == 200 && got.is_whole,
            "the other engine serves: {got:?}"
        );
    }
    assert_eq!(
        used.target.received().len(),
        refused,
        "it got requests in its backoff"
    );
}

#[actix_rt::test]
async fn stage_worker_gets_no_call_in_backoff() {
    let (fixture, _engine) = Fixture::serving(&deployment(), "engines", single_event_stream).await;
    let worker = RefusingTarget::start(|request| {
        vec![Step::Write(hollowsail_platform_standins::target::results(
            request, "producer",
        ))]
    })
    .await;
    fixture.add("i-2", "encoders", &worker.target);
    let staged = |number| staged(number).with("X-Deadline-Ms", "4000");
    until_staged_served(&fixture, &staged(1)).await;
    worker.is_full.set(true);
    let before = stage_runs(&worker.target).len();
    let addr = fixture.gateway.addrs.callers;
    let waiting = actix_rt::spawn(async move { staged(2).send(addr).await });
    eventually("the worker refused a call", || {
        stage_runs(&worker.target).len() > before
    })
    .await;
    worker.is_full.set(false);
    let (refused_at, runs_before) = (Instant::now(), stage_runs(&worker.target).len());
    let got = waiting.await.expect("the request is answered");
    assert!(
        got.is_whole && got.status == 200,
        "served after the backoff: {got:?}"
    );
    assert!(refused_at.elapsed() >= Duration::from_secs_f64(BACKOFF_S * 0.9));
    assert_eq!(stage_runs(&worker.target).len(), runs_before + 1);
}

async fn until_staged_served(fixture: &Fixture, call: &Call) {
    for _ in 0..200 {
        if fixture.call(call).await.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no request with stages was served within 200 attempts");
}
