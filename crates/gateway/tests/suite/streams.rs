//! Relaying of event streams.
//!
//! Events are relayed as they arrive, interrupted streams are resumed where the route allows it,
//! and engines see that their caller disconnected.

use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::{chunk, event, last_chunk, stream_head};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::json;
use tokio::io::AsyncReadExt;

use crate::fixture::{eventually, Call, Fixture};

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .engines("engines")
        .route("/once/", "stream", "engines", json!({}))
        .route(
            "/resumable/",
            "stream",
            "engines",
            json!({ "stream_resume": true }),
        )
}

fn request(path: &str) -> Call {
    Call::new("POST", path)
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .body("prompt")
}

/// Event ids after `Last-Event-Id`, up to 5.
fn events_after(request: &ReceivedRequest) -> Vec<u32> {
    let after: u32 = request.header("last-event-id").parse().unwrap_or(0);
    (after + 1..=5).collect()
}

fn complete(request: &ReceivedRequest) -> Vec<Step> {
    let mut steps = vec![Step::Write(stream_head(request))];
    steps.extend(
        events_after(request)
            .into_iter()
            .map(|id| Step::Write(chunk(&event(id)))),
    );
    steps.push(Step::Write(last_chunk()));
    steps
}

/// Two events, half of the third, then a reset.
fn broken(request: &ReceivedRequest) -> Vec<Step> {
    let third = event(3);
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Write(chunk(&(event(2) + &third[..6]))),
        Step::Wait(Duration::from_millis(50)),
        Step::Reset,
    ]
}

fn all_events() -> String {
    (1..=5).map(event).collect()
}

#[actix_rt::test]
async fn event_is_relayed_on_arrival() {
    let slow = |request: &ReceivedRequest| {
        vec![
            Step::Write(stream_head(request)),
            Step::Write(chunk(&event(1))),
            Step::Wait(Duration::from_millis(700)),
            Step::Write(chunk(&event(2))),
            Step::Write(last_chunk()),
        ]
    };
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", slow).await;
    assert!(fixture.call(&request("/once/")).await.is_whole);
    let started = Instant::now();
    let mut caller = request("/once/").begin(fixture.gateway.addrs.callers).await;
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("event 1") {
        let read = caller.read(&mut buf).await.expect("it answers");
        text += &String::from_utf8_lossy(&buf[..read]);
    }
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "before the second event is sent"
    );
}

#[actix_rt::test]
async fn broken_stream_resumes_after_its_last_event() {
    let fixture = Fixture::start(&deployment()).await;
    let bad = TargetStandin::start(broken).await;
    let good = TargetStandin::start(complete).await;
    fixture.add("i-1", "engines", &bad);
    fixture.add("i-2", "engines", &good);
    fixture.call(&request("/resumable/")).await;
    for shared in ["a1", "b2", "c3", "d4", "e5", "f6"] {
        let parts = format!("{shared}:60,bb:40");
        let call = request("/resumable/").with("X-Prompt-Prefix", &parts);
        let got = fixture.call(&call).await;
        assert!(got.is_whole);
        assert_eq!(got.body, all_events());
    }
    assert!(
        !bad.received().is_empty(),
        "some streams started at the bad engine"
    );
    let resumed = good
        .received()
        .into_iter()
        .find(|request| request.header("last-event-id") == "2");
    assert!(
        resumed.is_some(),
        "resumed after event 2, the last complete one"
    );
}

#[actix_rt::test]
async fn non_resumable_stream_breaks_at_the_caller() {
    let (fixture, bad) = Fixture::serving(&deployment(), "engines", broken).await;
    let got = fixture.call(&request("/once/")).await;
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(got.body, event(1) + &event(2), "complete events only");
    assert_eq!(bad.received().len(), 1);
}

#[actix_rt::test]
async fn caller_disconnect_reaches_the_engine() {
    let endless = |request: &ReceivedRequest| {
        vec![
            Step::Write(stream_head(request)),
            Step::Write(chunk(&event(1))),
            Step::Wait(Duration::from_secs(5)),
        ]
    };
    let (fixture, target) = Fixture::serving(&deployment(), "engines", endless).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut caller = request("/once/").begin(fixture.gateway.addrs.callers).await;
    let mut buf = [0; 64];
    caller.read_exact(&mut buf).await.expect("it answers");
    drop(caller);
    eventually("the engine sees the disconnect", || {
        target.disconnects() == 1
    })
    .await;
}

/// Guards against buffering an event without an end for as long as its target sends.
#[actix_rt::test]
async fn stream_with_an_event_without_an_end_is_broken_off() {
    let endless = |request: &ReceivedRequest| {
        let mut steps = vec![
            Step::Write(stream_head(request)),
            Step::Write(chunk(&event(1))),
            Step::Write(chunk("data: ")),
        ];
        let part = chunk(&"x".repeat(64 << 10));
        steps.extend((0..64).map(|_| Step::Write(part.clone())));
        steps.push(Step::Wait(Duration::from_secs(10)));
        steps
    };
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", endless).await;
    let began = Instant::now();
    let got = fixture.call(&request("/once/")).await;
    assert!(!got.is_whole, "{} bytes", got.body.len());
    assert!(got.body.starts_with("id: 1"));
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}");
}
