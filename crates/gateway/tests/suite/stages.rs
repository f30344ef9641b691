//! Requests with stages: batching, inputs, retained results, retries and deadlines.
//!
//! The stand-ins are an encoder for the first stage, a ranker for the second and an engine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_gateway::Mechanisms;
use hollowsail_platform_standins::target::{
    chunk, event, failures, last_chunk, not_run, results, stream_head,
};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::{json, Value};

use crate::fixture::{eventually, single_event_stream, stage_runs, Call, Fixture};

fn deployment() -> DeploymentJson {
    deployment_with(json!({}))
}

/// The deployment with additional fields for its route.
fn deployment_with(route_fields: Value) -> DeploymentJson {
    let stages = json!([
        { "service": "encoders", "after": [], "bytes": 1000 },
        { "service": "rankers", "after": [0], "bytes": 500 },
    ]);
    let mut route = json!({ "stages": stages, "target_latency_ms": 1000, "timeout_ms": 30000 });
    for (name, value) in route_fields.as_object().into_iter().flatten() {
        route[name] = value.clone();
    }
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 4, 20.0, 10.0)
        .stage_service("rankers", 4, 20.0, 10.0)
        .route("/staged/", "stream", "engines", route)
}

fn request() -> Call {
    Call::new("POST", "/staged/")
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Pieces", "2,3")
        .with("X-Piece-Key", "the-key")
        .body("prompt")
}

fn worker(name: &'static str) -> impl Fn(&ReceivedRequest) -> Vec<Step> {
    move |request| {
        vec![
            Step::Wait(Duration::from_millis(20)),
            Step::Write(results(request, name)),
        ]
    }
}

/// Handles of results that were released.
fn released(target: &TargetStandin) -> Vec<String> {
    target
        .received()
        .iter()
        .filter(|request| request.path == "/-/stage-free")
        .flat_map(|request| {
            let call: serde_json::Value = serde_json::from_slice(&request.body).expect("JSON");
            let handles = call["handles"].as_array().cloned().unwrap_or_default();
            handles
                .into_iter()
                .map(|handle| handle.as_str().unwrap_or_default().to_string())
        })
        .collect()
}

struct Staged {
    fixture: Fixture,
    encoder: TargetStandin,
    ranker: TargetStandin,
    engine: TargetStandin,
}

async fn staged(
    encoder: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    ranker: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) -> Staged {
    staged_on(&deployment(), encoder, ranker).await
}

async fn staged_on(
    deployment: &DeploymentJson,
    encoder: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    ranker: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) -> Staged {
    let fixture = Fixture::start(deployment).await;
    let encoder = TargetStandin::start(encoder).await;
    let ranker = TargetStandin::start(ranker).await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    Staged {
        fixture,
        encoder,
        ranker,
        engine,
    }
}

#[actix_rt::test]
async fn stage_pieces_share_a_call_and_feed_the_next() {
    let staged = staged(worker("producer-1"), worker("producer-2")).await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    let first = stage_runs(&staged.encoder);
    assert_eq!(first.len(), 1, "one call for both pieces");
    let pieces = first[0].pieces();
    assert_eq!(pieces.len(), 2);
    assert_eq!(
        (&pieces[0]["key"], &pieces[0]["inputs"]),
        (&json!("the-key"), &json!(null))
    );
    assert_eq!(first[0].header("x-expect-instance"), "i-encoder");
    let second = stage_runs(&staged.ranker);
    let pieces = second[0].pieces();
    assert_eq!(pieces.len(), 3);
    assert_eq!(
        pieces[0]["key"],
        json!(null),
        "a later stage starts from results"
    );
    let inputs = pieces[0]["inputs"].as_array().expect("inputs");
    assert_eq!(inputs.len(), 2, "all inputs, each once");
    let sent = staged.engine.received().pop().expect("the request arrived");
    assert_eq!(
        sent.header("x-inputs").split(',').count(),
        3,
        "results of the last stage only"
    );
}

#[actix_rt::test]
async fn results_of_another_call_are_not_taken() {
    let calls = Cell::new(0);
    let encoder = move |request: &ReceivedRequest| {
        calls.set(calls.get() + 1);
        let text = String::from_utf8(results(request, "foreign")).expect("text");
        match calls.get() {
            1 => {
                let own = format!("X-Request-Id: {}", request.request_id());
                let named = text.replace(&own, "X-Request-Id: another");
                vec![Step::Write(named.into_bytes())]
            }
            _ => vec![Step::Write(results(request, "producer-1"))],
        }
    };
    let staged = staged(encoder, worker("producer-2")).await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    let used = stage_runs(&staged.ranker)[0].pieces();
    let inputs = used[0]["inputs"].to_string();
    assert!(!inputs.contains("foreign"), "{inputs}");
    assert!(inputs.contains("producer-1"), "{inputs}");
}

#[actix_rt::test]
async fn unneeded_results_are_released() {
    let staged = staged(worker("producer-1"), worker("producer-2")).await;
    assert!(staged.fixture.call(&request()).await.is_whole);
    eventually("the first stage's results are released", || {
        released(&staged.encoder).len() == 2
    })
    .await;
    eventually("the last stage's results are released", || {
        released(&staged.ranker).len() == 3
    })
    .await;
}

#[actix_rt::test]
async fn results_are_released_on_caller_disconnect() {
    let slow = |request: &ReceivedRequest| {
        vec![
            Step::Wait(Duration::from_millis(400)),
            Step::Write(results(request, "producer-2")),
        ]
    };
    let staged = staged(worker("producer-1"), slow).await;
    let addr = staged.fixture.gateway.addrs.callers;
    let caller = request().begin(addr).await;
    eventually("the second stage begins", || {
        !stage_runs(&staged.ranker).is_empty()
    })
    .await;
    drop(caller);
    eventually("completed results are released", || {
        released(&staged.encoder).len() == 2
    })
    .await;
    eventually("late results are released", || {
        released(&staged.ranker).len() == 3
    })
    .await;
    assert!(staged.engine.received().is_empty());
}

#[actix_rt::test]
async fn lost_inputs_are_reproduced() {
    let has_failed = Rc::new(Cell::new(false));
    let staged = staged(worker("producer-1"), move |request| {
        let is_first = request.path == "/-/stage-run" && !has_failed.replace(true);
        let answer = if is_first {
            failures(request, "gone")
        } else {
            results(request, "producer-2")
        };
        vec![Step::Write(answer)]
    })
    .await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    assert_eq!(
        stage_runs(&staged.encoder).len(),
        2,
        "both pieces are reproduced"
    );
    for call in stage_runs(&staged.ranker) {
        for piece in call.pieces() {
            assert_eq!(
                piece["inputs"].as_array().map(Vec::len),
                Some(2),
                "always all inputs"
            );
        }
    }
}

#[actix_rt::test]
async fn full_worker_and_failed_piece_are_retried() {
    let tries = Rc::new(Cell::new(0));
    let staged = staged(
        move |request| {
            tries.set(tries.get() + 1);
            let answer = match tries.get() {
                1 => not_run(503),
                2 => failures(request, "error"),
                3 => failures(request, "room"),
                _ => results(request, "producer-1"),
            };
            vec![Step::Write(answer)]
        },
        worker("producer-2"),
    )
    .await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
}

#[actix_rt::test]
async fn late_stage_refuses_the_request_at_once() {
    let staged = staged(
        |request| vec![Step::Write(failures(request, "late"))],
        worker("producer-2"),
    )
    .await;
    let started = std::time::Instant::now();
    let got = staged.fixture.call(&request()).await;
    assert_eq!(got.status, 503, "it has not run");
    assert!(got.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(staged.engine.received().is_empty());
}

#[actix_rt::test]
async fn stop_during_stages_is_503() {
    let silent = |_: &ReceivedRequest| vec![Step::Wait(Duration::from_secs(9))];
    let staged = staged(silent, worker("producer-2")).await;
    let addr = staged.fixture.gateway.addrs.callers;
    let call = request().with("X-Deadline-Ms", "30000");
    let waiting = actix_rt::spawn(async move { call.send(addr).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    staged.fixture.gateway.stop().await;
    let got = waiting.await.expect("it is answered");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.starts_with("stopping"), "{got:?}");
    assert!(got.header("retry-after").is_some());
}

#[actix_rt::test]
async fn overdue_call_moves_to_another_worker() {
    let staged = staged(
        |_| vec![Step::Wait(Duration::from_secs(5))],
        worker("producer-2"),
    )
    .await;
    let other = TargetStandin::start(worker("producer-3")).await;
    staged.fixture.add("i-other", "encoders", &other);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..3 {
        let got = staged.fixture.call(&request()).await;
        assert!(got.is_whole, "{got:?}");
    }
    assert!(
        !stage_runs(&staged.encoder).is_empty(),
        "the silent worker was tried"
    );
}

#[actix_rt::test]
async fn results_gone_at_the_engine_are_reproduced() {
    let fixture = Fixture::start(&deployment()).await;
    let encoder = TargetStandin::start(worker("producer-1")).await;
    let ranker = TargetStandin::start(worker("producer-2")).await;
    let engine = TargetStandin::start(|request| match request.earlier_requests {
        0 => vec![Step::Write(not_run(409))],
        _ => single_event_stream(request),
    })
    .await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    assert_eq!(engine.received().len(), 2);
    assert_eq!(
        stage_runs(&encoder).len(),
        2,
        "repeated from the first stage"
    );
}

/// A stream of two events, 600 ms apart.
fn two_events(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Wait(Duration::from_millis(600)),
        Step::Write(chunk(&event(2))),
        Step::Write(last_chunk()),
    ]
}

#[actix_rt::test]
async fn resumable_stream_releases_at_first_event() {
    let fixture = Fixture::start(&deployment_with(json!({ "stream_resume": true }))).await;
    let encoder = TargetStandin::start(worker("producer-1")).await;
    let ranker = TargetStandin::start(worker("producer-2")).await;
    let engine = TargetStandin::start(two_events).await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let addr = fixture.gateway.addrs.callers;
    let caller = actix_rt::spawn(async move { request().send(addr).await });
    eventually("the engine has the request", || {
        !engine.received().is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(released(&ranker).len(), 3, "while the stream lasts");
    assert!(caller.await.expect("it is answered").is_whole);
}

#[actix_rt::test]
async fn resume_after_release_reruns_the_stages() {
    let fixture = Fixture::start(&deployment_with(json!({ "stream_resume": true }))).await;
    let encoder = TargetStandin::start(worker("producer-1")).await;
    let ranker = TargetStandin::start(worker("producer-2")).await;
    let bad = TargetStandin::start(|request| {
        vec![
            Step::Write(stream_head(request)),
            Step::Write(chunk(&event(1))),
            Step::Wait(Duration::from_millis(50)),
            Step::Reset,
        ]
    })
    .await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-bad", "engines", &bad);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let addr = fixture.gateway.addrs.callers;
    let caller = actix_rt::spawn(async move { request().send(addr).await });
    eventually("the engine has the request", || !bad.received().is_empty()).await;
    let good = TargetStandin::start(|request| {
        vec![
            Step::Write(stream_head(request)),
            Step::Write(chunk(&event(2))),
            Step::Write(last_chunk()),
        ]
    })
    .await;
    fixture.add("i-good", "engines", &good);
    let got = caller.await.expect("it is answered");
    assert!(got.is_whole, "{got:?}");
    assert_eq!(got.body, event(1) + &event(2));
    let (first, again) = (&bad.received()[0], &good.received()[0]);
    assert_eq!(again.header("last-event-id"), "1");
    assert_eq!(again.request_id(), first.request_id());
    assert_ne!(again.header("x-inputs"), "");
    assert_eq!(stage_runs(&ranker).len(), 2, "reproduced");
}

#[actix_rt::test]
async fn late_forecast_refuses_the_request_at_once() {
    let slow = |request: &ReceivedRequest| {
        vec![
            Step::Wait(Duration::from_millis(300)),
            Step::Write(results(request, "producer-1")),
        ]
    };
    let staged = staged(slow, worker("producer-2")).await;
    let addr = staged.fixture.gateway.addrs.callers;
    let calls = (0..30).map(|number| {
        let call = request().with("X-Request-Id", &format!("{number:016x}"));
        actix_rt::spawn(async move { call.send(addr).await })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(350)).await;
    let started = std::time::Instant::now();
    let got = request().with("X-Request-Id", "ffff").send(addr).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(
        started.elapsed() < Duration::from_millis(250),
        "a quarter of its target latency"
    );
    let after: f64 = got
        .header("retry-after")
        .expect("a Retry-After header")
        .parse()
        .expect("seconds");
    assert!(
        after > 0.0 && after <= 0.7,
        "within the remaining time: {after}"
    );
    drop(calls);
}

/// Ids of requests in the order in which the encoder gets their pieces. Its calls have one piece
/// each, and a first request keeps it busy while the others queue.
async fn encoder_order(
    mechanisms: Mechanisms,
    calls: &[(&'static str, &'static str, &'static str)],
) -> Vec<String> {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let route_fields =
        |priority: u8| json!({ "stages": stages, "priority": priority, "target_latency_ms": 2000 });
    let deployment = DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 1, 100.0, 10.0)
        .route("/high/", "stream", "engines", route_fields(0))
        .route("/low/", "stream", "engines", route_fields(2))
        .organisation_with_priority("first", "key-first", 0)
        .organisation_with_priority("one", "key-one", 1)
        .organisation_with_priority("two", "key-two", 1);
    let fixture = Fixture::start_with(&deployment, mechanisms).await;
    let encoder = TargetStandin::start(|request| {
        vec![
            Step::Wait(Duration::from_millis(100)),
            Step::Write(results(request, "producer")),
        ]
    })
    .await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let addr = fixture.gateway.addrs.callers;
    let busy = [("/low/", "key-two", "00")];
    let mut sent = Vec::new();
    for &(path, key, id) in busy.iter().chain(calls) {
        let call = Call::new("POST", path)
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "aa:60,bb:40")
            .with("X-Pieces", "1")
            .with("X-Piece-Key", "the-key")
            .with("X-Request-Id", id)
            .with("Authorization", &format!("Bearer {key}"))
            .body("prompt");
        sent.push(actix_rt::spawn(async move { call.send(addr).await }));
        eventually("the encoder is busy", || !stage_runs(&encoder).is_empty()).await;
    }
    for answer in sent {
        assert_eq!(answer.await.expect("it is answered").status, 200);
    }
    let ids = stage_runs(&encoder).into_iter().skip(1);
    ids.map(|run| {
        run.pieces()[0]["id"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    })
    .collect()
}

/// Requests in the opposite order of their urgency.
const LEAST_URGENT_FIRST: [(&str, &str, &str); 3] = [
    ("/low/", "key-one", "aa"),
    ("/high/", "key-two", "bb"),
    ("/low/", "key-first", "cc"),
];

#[actix_rt::test]
async fn route_priority_breaks_organisation_ties() {
    let order = encoder_order(Mechanisms::default(), &LEAST_URGENT_FIRST).await;
    assert_eq!(
        order,
        ["cc", "bb", "aa"],
        "the organisation's priority comes first"
    );
}

/// Guards against another order of the pieces where operators turned reservations off.
#[actix_rt::test]
async fn without_reservations_pieces_go_by_priority() {
    let mechanisms = Mechanisms::without(&["reservations".into()]).expect("the name is known");
    let order = encoder_order(mechanisms, &LEAST_URGENT_FIRST).await;
    assert_eq!(order, ["cc", "bb", "aa"]);
}
