//! Targets that turn work away and say for how long they want none.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::{answer, chunk, event, last_chunk, rests, stream_head};
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, StoreStandin, TargetStandin};
use serde_json::json;

use crate::all_kinds::staged;
use crate::fixture::{
    eventually, gateway, generation, one_event, runs, until_entries, Call, Fixture,
};

/// How long the targets here want nothing, in seconds.
const REST_S: f64 = 1.5;

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

/// A target that turns everything away while it rests.
#[derive(Clone)]
struct Resting {
    target: TargetStandin,
    is_full: Rc<Cell<bool>>,
}

impl Resting {
    async fn start(serve: fn(&Seen) -> Vec<Step>) -> Self {
        let is_full = Rc::new(Cell::new(false));
        let full = is_full.clone();
        let target = TargetStandin::start(move |seen| match full.get() {
            true => vec![Step::Write(rests(REST_S))],
            false => serve(seen),
        })
        .await;
        Resting { target, is_full }
    }
}

fn served(seen: &Seen) -> Vec<Step> {
    vec![Step::Write(answer(seen, 200, "served"))]
}

fn streamed(seen: &Seen) -> Vec<Step> {
    vec![
        Step::Write(stream_head(seen)),
        Step::Write(chunk(&event(1))),
        Step::Write(last_chunk()),
    ]
}

#[actix_rt::test]
async fn a_target_gets_nothing_until_its_rest_is_over() {
    let fixture = Fixture::start(&deployment()).await;
    let (tired, fresh) = (Resting::start(served).await, Resting::start(served).await);
    fixture.add("i-1", "plain", &tired.target);
    fixture.add("i-2", "plain", &fresh.target);
    tired.is_full.set(true);
    for _ in 0..400 {
        fixture.call(&plain()).await;
        if !tired.target.seen().is_empty() {
            break;
        }
    }
    let (turned_away, begun) = (tired.target.seen().len(), Instant::now());
    while begun.elapsed() < Duration::from_secs_f64(REST_S * 0.8) {
        let got = plain().send(fixture.gateway.at.callers).await;
        assert_eq!(got.status, 200, "the other one serves");
    }
    assert_eq!(tired.target.seen().len(), turned_away, "it rests");
    tired.is_full.set(false);
    tokio::time::sleep(Duration::from_secs_f64(REST_S * 0.4)).await;
    for _ in 0..300 {
        plain().send(fixture.gateway.at.callers).await;
    }
    assert!(tired.target.seen().len() > turned_away + 50, "it is back");
}

#[actix_rt::test]
async fn where_all_rest_a_request_is_refused_at_once_until_the_first_is_back() {
    let fixture = Fixture::start(&deployment()).await;
    let tired = Resting::start(served).await;
    fixture.add("i-1", "plain", &tired.target);
    fixture.call(&plain()).await;
    tired.is_full.set(true);
    plain().send(fixture.gateway.at.callers).await;
    let turned_away = tired.target.seen().len();
    for _ in 0..10 {
        let asked = Instant::now();
        let got = plain().send(fixture.gateway.at.callers).await;
        assert!(asked.elapsed() < Duration::from_millis(150));
        assert_eq!(got.status, 503);
        let after: f64 = got
            .header("Retry-After")
            .and_then(|value| value.parse().ok())
            .expect("when to come back");
        assert!(
            after > 0.5 && after <= REST_S,
            "when the rest is over: {after}"
        );
    }
    assert_eq!(tired.target.seen().len(), turned_away);
}

/// One target rests for long, and the other is cold and has had its share: that one takes
/// the next request within a second, whatever the first asked for.
#[actix_rt::test]
async fn one_that_rests_for_long_sends_no_caller_away_for_as_long() {
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1)
        .service_with_cold_targets("plain", 4.0)
        .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let tired = TargetStandin::start(|_| vec![Step::Write(rests(30.0))]).await;
    let cold = TargetStandin::start(served).await;
    store.put_target("i-1", "plain", tired.addr, "hall-a", "ready");
    store.put_cold_target("i-2", "plain", cold.addr, Duration::from_secs(9));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    until_entries("the entry", &store, 1).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for _ in 0..40 {
        let got = plain().send(gateway.at.callers).await;
        if got.status != 503 || tired.seen().is_empty() {
            continue;
        }
        let after: f64 = got
            .header("Retry-After")
            .and_then(|value| value.parse().ok())
            .expect("when to come back");
        let is_turned_away = got.body.starts_with("overloaded");
        assert!(is_turned_away || after <= 1.0, "{after} s: {got:?}");
    }
    assert_eq!(tired.seen().len(), 1, "it rests");
}

/// Whoever names engines for all entries isn't the one that an engine turned away.
#[actix_rt::test]
async fn an_engine_that_another_entrys_desk_would_name_gets_nothing() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let engines = [
        Resting::start(streamed).await,
        Resting::start(streamed).await,
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
    until_entries("all are recorded", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    for (number, entry) in entries.iter().enumerate() {
        generation(number).send(entry.at.callers).await;
    }
    let used = engines
        .iter()
        .find(|engine| !engine.target.seen().is_empty());
    let used = used.expect("one has the shared part");
    used.is_full.set(true);
    for (number, entry) in entries.iter().enumerate() {
        generation(10 + number).send(entry.at.callers).await;
    }
    let turned_away = used.target.seen().len();
    for number in 0..24 {
        let at = entries[number % 3].at.callers;
        let got = generation(100 + number).send(at).await;
        assert!(
            got.status == 200 && got.is_whole,
            "the other serves: {got:?}"
        );
    }
    assert_eq!(used.target.seen().len(), turned_away, "it rests");
}

#[actix_rt::test]
async fn a_worker_of_stages_gets_no_call_while_it_rests() {
    let (fixture, _engine) = Fixture::serving(&deployment(), "engines", one_event).await;
    let worker = Resting::start(|seen| {
        vec![Step::Write(hollowsail_platform_standins::target::results(
            seen, "maker",
        ))]
    })
    .await;
    fixture.add("i-2", "encoders", &worker.target);
    let staged = |number| staged(number).with("X-Deadline-Ms", "4000");
    eventually_staged(&fixture, &staged(1)).await;
    worker.is_full.set(true);
    let before = runs(&worker.target).len();
    let at = fixture.gateway.at.callers;
    let waiting = actix_rt::spawn(async move { staged(2).send(at).await });
    eventually("it turned a call away", || {
        runs(&worker.target).len() > before
    })
    .await;
    worker.is_full.set(false);
    let (turned_away, begun) = (Instant::now(), runs(&worker.target).len());
    let got = waiting.await.expect("it is answered");
    assert!(
        got.is_whole && got.status == 200,
        "made after the rest: {got:?}"
    );
    assert!(turned_away.elapsed() >= Duration::from_secs_f64(REST_S * 0.9));
    assert_eq!(runs(&worker.target).len(), begun + 1);
}

async fn eventually_staged(fixture: &Fixture, call: &Call) {
    for _ in 0..200 {
        if fixture.call(call).await.status == 200 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no request with stages was served");
}
