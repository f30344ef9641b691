//! Stages before a request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform_standins::target::{
    chunk, event, failures, last_chunk, not_run, results, stream_head,
};
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, TargetStandin};
use serde_json::{json, Value};

use crate::fixture::{eventually, one_event, runs, Call, Fixture};

fn deployment() -> DeploymentJson {
    deployment_of(json!({}))
}

/// The deployment, with more words for its route.
fn deployment_of(more: Value) -> DeploymentJson {
    let stages = json!([
        { "service": "encoders", "after": [], "bytes": 1000 },
        { "service": "rankers", "after": [0], "bytes": 500 },
    ]);
    let mut route = json!({ "stages": stages, "target_latency_ms": 1000, "timeout_ms": 30000 });
    for (name, value) in more.as_object().into_iter().flatten() {
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

fn worker(maker: &'static str) -> impl Fn(&Seen) -> Vec<Step> {
    move |seen| {
        vec![
            Step::Wait(Duration::from_millis(20)),
            Step::Write(results(seen, maker)),
        ]
    }
}

/// Handles that were given up.
fn freed(target: &TargetStandin) -> Vec<String> {
    target
        .seen()
        .iter()
        .filter(|seen| seen.path == "/-/stage-free")
        .flat_map(|seen| {
            let call: serde_json::Value = serde_json::from_slice(&seen.body).expect("JSON");
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
    encoder: impl Fn(&Seen) -> Vec<Step> + 'static,
    ranker: impl Fn(&Seen) -> Vec<Step> + 'static,
) -> Staged {
    staged_on(&deployment(), encoder, ranker).await
}

async fn staged_on(
    deployment: &DeploymentJson,
    encoder: impl Fn(&Seen) -> Vec<Step> + 'static,
    ranker: impl Fn(&Seen) -> Vec<Step> + 'static,
) -> Staged {
    let fixture = Fixture::start(deployment).await;
    let encoder = TargetStandin::start(encoder).await;
    let ranker = TargetStandin::start(ranker).await;
    let engine = TargetStandin::start(one_event).await;
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
async fn pieces_of_a_stage_share_a_call_and_feed_the_next() {
    let staged = staged(worker("maker-1"), worker("maker-2")).await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    let first = runs(&staged.encoder);
    assert_eq!(first.len(), 1, "one call for both pieces");
    let pieces = first[0].pieces();
    assert_eq!(pieces.len(), 2);
    assert_eq!(
        (&pieces[0]["key"], &pieces[0]["inputs"]),
        (&json!("the-key"), &json!(null))
    );
    assert_eq!(first[0].header("x-expect-instance"), "i-encoder");
    let second = runs(&staged.ranker);
    let pieces = second[0].pieces();
    assert_eq!(pieces.len(), 3);
    assert_eq!(
        pieces[0]["key"],
        json!(null),
        "a later stage starts from results"
    );
    let inputs = pieces[0]["inputs"].as_array().expect("inputs");
    assert_eq!(inputs.len(), 2, "all of them, each once");
    let sent = staged.engine.seen().pop().expect("the request arrived");
    assert_eq!(
        sent.header("x-inputs").split(',').count(),
        3,
        "of the last stage only"
    );
}

#[actix_rt::test]
async fn results_are_given_up_as_soon_as_nothing_needs_them() {
    let staged = staged(worker("maker-1"), worker("maker-2")).await;
    assert!(staged.fixture.call(&request()).await.is_whole);
    eventually("the first stage's are given up", || {
        freed(&staged.encoder).len() == 2
    })
    .await;
    eventually("the last stage's are given up", || {
        freed(&staged.ranker).len() == 3
    })
    .await;
}

#[actix_rt::test]
async fn results_of_a_caller_that_left_are_given_up() {
    let slow = |seen: &Seen| {
        vec![
            Step::Wait(Duration::from_millis(400)),
            Step::Write(results(seen, "maker-2")),
        ]
    };
    let staged = staged(worker("maker-1"), slow).await;
    let at = staged.fixture.gateway.at.callers;
    let caller = request().begin(at).await;
    eventually("the second stage begins", || {
        !runs(&staged.ranker).is_empty()
    })
    .await;
    drop(caller);
    eventually("what was made is given up", || {
        freed(&staged.encoder).len() == 2
    })
    .await;
    eventually("also what comes late", || freed(&staged.ranker).len() == 3).await;
    assert!(staged.engine.seen().is_empty());
}

#[actix_rt::test]
async fn inputs_that_are_gone_are_made_again() {
    let told = Rc::new(Cell::new(false));
    let staged = staged(worker("maker-1"), move |seen| {
        let first = seen.path == "/-/stage-run" && !told.replace(true);
        let answer = if first {
            failures(seen, "gone")
        } else {
            results(seen, "maker-2")
        };
        vec![Step::Write(answer)]
    })
    .await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    assert_eq!(runs(&staged.encoder).len(), 2, "both pieces again");
    for call in runs(&staged.ranker) {
        for piece in call.pieces() {
            assert_eq!(
                piece["inputs"].as_array().map(Vec::len),
                Some(2),
                "never some of them"
            );
        }
    }
}

#[actix_rt::test]
async fn a_full_worker_and_a_failed_piece_are_tried_again() {
    let tries = Rc::new(Cell::new(0));
    let staged = staged(
        move |seen| {
            tries.set(tries.get() + 1);
            let answer = match tries.get() {
                1 => not_run(503),
                2 => failures(seen, "error"),
                3 => failures(seen, "room"),
                _ => results(seen, "maker-1"),
            };
            vec![Step::Write(answer)]
        },
        worker("maker-2"),
    )
    .await;
    let got = staged.fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
}

#[actix_rt::test]
async fn a_stage_that_is_too_late_ends_the_request_at_once() {
    let staged = staged(
        |seen| vec![Step::Write(failures(seen, "late"))],
        worker("maker-2"),
    )
    .await;
    let begun = std::time::Instant::now();
    let got = staged.fixture.call(&request()).await;
    assert_eq!(got.status, 503, "it has not run");
    assert!(got.header("retry-after").is_some());
    assert!(begun.elapsed() < Duration::from_millis(500));
    assert!(staged.engine.seen().is_empty());
}

#[actix_rt::test]
async fn a_request_still_in_its_stages_when_the_process_ends_is_told_that_it_has_not_run() {
    let silent = |_: &Seen| vec![Step::Wait(Duration::from_secs(9))];
    let staged = staged(silent, worker("maker-2")).await;
    let at = staged.fixture.gateway.at.callers;
    let call = request().with("X-Deadline-Ms", "30000");
    let waiting = actix_rt::spawn(async move { call.send(at).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    staged.fixture.gateway.stop().await;
    let got = waiting.await.expect("it is answered");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.starts_with("stopping"), "{got:?}");
    assert!(got.header("retry-after").is_some());
}

#[actix_rt::test]
async fn a_call_that_lasts_too_long_is_made_elsewhere() {
    let staged = staged(
        |_| vec![Step::Wait(Duration::from_secs(5))],
        worker("maker-2"),
    )
    .await;
    let other = TargetStandin::start(worker("maker-3")).await;
    staged.fixture.add("i-other", "encoders", &other);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..3 {
        let got = staged.fixture.call(&request()).await;
        assert!(got.is_whole, "{got:?}");
    }
    assert!(
        !runs(&staged.encoder).is_empty(),
        "the silent one was tried"
    );
}

#[actix_rt::test]
async fn results_that_the_engine_finds_gone_are_made_again() {
    let fixture = Fixture::start(&deployment()).await;
    let encoder = TargetStandin::start(worker("maker-1")).await;
    let ranker = TargetStandin::start(worker("maker-2")).await;
    let engine = TargetStandin::start(|seen| match seen.before {
        0 => vec![Step::Write(not_run(409))],
        _ => one_event(seen),
    })
    .await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = fixture.call(&request()).await;
    assert!(got.is_whole, "{got:?}");
    assert_eq!(engine.seen().len(), 2);
    assert_eq!(runs(&encoder).len(), 2, "from the first stage on");
}

/// Events one and two, the second after a while.
fn two_events(seen: &Seen) -> Vec<Step> {
    vec![
        Step::Write(stream_head(seen)),
        Step::Write(chunk(&event(1))),
        Step::Wait(Duration::from_millis(600)),
        Step::Write(chunk(&event(2))),
        Step::Write(last_chunk()),
    ]
}

#[actix_rt::test]
async fn results_are_given_up_at_the_first_event_also_where_the_stream_may_go_on_elsewhere() {
    let fixture = Fixture::start(&deployment_of(json!({ "stream_resume": true }))).await;
    let encoder = TargetStandin::start(worker("maker-1")).await;
    let ranker = TargetStandin::start(worker("maker-2")).await;
    let engine = TargetStandin::start(two_events).await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-ranker", "rankers", &ranker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let at = fixture.gateway.at.callers;
    let caller = actix_rt::spawn(async move { request().send(at).await });
    eventually("the engine has the request", || !engine.seen().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(freed(&ranker).len(), 3, "while the stream lasts");
    assert!(caller.await.expect("it is answered").is_whole);
}

#[actix_rt::test]
async fn a_broken_stream_whose_results_were_given_up_goes_on_after_its_stages_are_made_again() {
    let fixture = Fixture::start(&deployment_of(json!({ "stream_resume": true }))).await;
    let encoder = TargetStandin::start(worker("maker-1")).await;
    let ranker = TargetStandin::start(worker("maker-2")).await;
    let bad = TargetStandin::start(|seen| {
        vec![
            Step::Write(stream_head(seen)),
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
    let at = fixture.gateway.at.callers;
    let caller = actix_rt::spawn(async move { request().send(at).await });
    eventually("the engine has the request", || !bad.seen().is_empty()).await;
    let good = TargetStandin::start(|seen| {
        vec![
            Step::Write(stream_head(seen)),
            Step::Write(chunk(&event(2))),
            Step::Write(last_chunk()),
        ]
    })
    .await;
    fixture.add("i-good", "engines", &good);
    let got = caller.await.expect("it is answered");
    assert!(got.is_whole, "{got:?}");
    assert_eq!(got.body, event(1) + &event(2));
    let (first, again) = (&bad.seen()[0], &good.seen()[0]);
    assert_eq!(again.header("last-event-id"), "1");
    assert_eq!(again.request_id(), first.request_id());
    assert_ne!(again.header("x-inputs"), "");
    assert_eq!(runs(&ranker).len(), 2, "made again");
}

#[actix_rt::test]
async fn a_request_that_would_come_too_late_is_refused_at_once() {
    let slow = |seen: &Seen| {
        vec![
            Step::Wait(Duration::from_millis(300)),
            Step::Write(results(seen, "maker-1")),
        ]
    };
    let staged = staged(slow, worker("maker-2")).await;
    let at = staged.fixture.gateway.at.callers;
    let calls = (0..30).map(|number| {
        let call = request().with("X-Request-Id", &format!("{number:016x}"));
        actix_rt::spawn(async move { call.send(at).await })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep(Duration::from_millis(350)).await;
    let begun = std::time::Instant::now();
    let got = request().with("X-Request-Id", "ffff").send(at).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(
        begun.elapsed() < Duration::from_millis(250),
        "a quarter of its target latency"
    );
    let after: f64 = got
        .header("retry-after")
        .expect("it says")
        .parse()
        .expect("seconds");
    assert!(
        after > 0.0 && after <= 0.7,
        "within what the caller heeds: {after}"
    );
    drop(calls);
}

/// Ids of requests in the order in which an encoder of one piece a call gets their
/// pieces: a first one keeps it busy meanwhile.
async fn order_of(calls: &[(&'static str, &'static str, &'static str)]) -> Vec<String> {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let words =
        |priority: u8| json!({ "stages": stages, "priority": priority, "target_latency_ms": 2000 });
    let deployment = DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 1, 100.0, 10.0)
        .route("/dear/", "stream", "engines", words(0))
        .route("/cheap/", "stream", "engines", words(2))
        .ranked_organisation("first", "key-first", 0)
        .ranked_organisation("one", "key-one", 1)
        .ranked_organisation("two", "key-two", 1);
    let fixture = Fixture::start(&deployment).await;
    let encoder = TargetStandin::start(|seen| {
        vec![
            Step::Wait(Duration::from_millis(100)),
            Step::Write(results(seen, "maker")),
        ]
    })
    .await;
    let engine = TargetStandin::start(one_event).await;
    fixture.add("i-encoder", "encoders", &encoder);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let at = fixture.gateway.at.callers;
    let busy = [("/cheap/", "key-two", "00")];
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
        sent.push(actix_rt::spawn(async move { call.send(at).await }));
        eventually("the encoder is busy", || !runs(&encoder).is_empty()).await;
    }
    for answer in sent {
        assert_eq!(answer.await.expect("it is answered").status, 200);
    }
    let ids = runs(&encoder).into_iter().skip(1);
    ids.map(|run| {
        run.pieces()[0]["id"]
            .as_str()
            .unwrap_or_default()
            .to_string()
    })
    .collect()
}

#[actix_rt::test]
async fn among_organisations_of_equal_priority_that_of_the_route_decides() {
    let order = order_of(&[
        ("/cheap/", "key-one", "aa"),
        ("/dear/", "key-two", "bb"),
        ("/cheap/", "key-first", "cc"),
    ])
    .await;
    assert_eq!(order, ["cc", "bb", "aa"], "the organisation's goes first");
}
