//! Streams of services that run several software versions.
//!
//! Versions write streams that don't fit together, so a stream resumes only at the version that
//! began it: within an answer, and over the tries of a caller.

use std::collections::BTreeSet;
use std::time::Duration;

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{chunk, last_chunk, stream_head};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway, wait_for_entries, Answer, Call, Fixture};

/// Number of events in a stream, and those sent before it is broken off.
const EVENTS: u32 = 5;
const BROKEN_AFTER: u32 = 2;
/// Pause before a reset, so that the events are read first.
const BEFORE_RESET: Duration = Duration::from_millis(20);
/// Enough streams that some would change versions by chance.
const STREAMS: usize = 12;

/// Streams on one route are resumed within an answer; on the other one only by their caller.
fn deployment() -> DeploymentJson {
    let resumable = |attempts: u32| json!({ "stream_resume": true, "max_attempts": attempts });
    DeploymentJson::new(1)
        .engines("engines")
        .route("/resumed/", "stream", "engines", resumable(4))
        .route("/broken/", "stream", "engines", resumable(1))
}

/// A request whose id and prompt depend on its number.
fn stream(path: &str, number: usize) -> Call {
    Call::new("POST", path)
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", &format!("{number:x}a:60,bb:40"))
        .body("prompt")
}

fn event_of(version: &str, id: u32) -> String {
    format!("id: {id}\ndata: {version}\n\n")
}

/// Breaks off new streams, and completes those that are resumed.
fn breaks_new_streams(version: &str, request: &ReceivedRequest) -> Vec<Step> {
    let after = request.header("last-event-id").parse().unwrap_or(0);
    let is_resumed = after > 0;
    let last = if is_resumed { EVENTS } else { BROKEN_AFTER };
    let events: String = (after + 1..=last).map(|id| event_of(version, id)).collect();
    // In one write: a reset discards what was delayed behind the head.
    let begin = Step::Write([stream_head(request), chunk(&events)].concat());
    match is_resumed {
        true => vec![begin, Step::Write(last_chunk())],
        false => vec![begin, Step::Wait(BEFORE_RESET), Step::Reset],
    }
}

async fn add_engine(store: &StoreStandin, id: &str, version: &'static str) -> TargetStandin {
    let script = move |request: &ReceivedRequest| breaks_new_streams(version, request);
    let engine = TargetStandin::start(script).await;
    store.put_target_version(id, "engines", engine.addr, version);
    engine
}

/// Two engines of each of two versions.
async fn add_engines(store: &StoreStandin) -> Vec<TargetStandin> {
    let mut engines = Vec::new();
    for (id, version) in [("i-1", "v1"), ("i-2", "v2"), ("i-3", "v1"), ("i-4", "v2")] {
        engines.push(add_engine(store, id, version).await);
    }
    engines
}

/// The versions that wrote the events of a stream.
fn versions(body: &str) -> BTreeSet<&str> {
    body.split("data: ")
        .skip(1)
        .filter_map(|event| event.split('\n').next())
        .collect()
}

/// Takes up a stream under a new id, with a prompt that has another engine's prefix.
async fn take_up(at: &Running, path: &str, number: usize, resumes: &str) -> Answer {
    stream(path, number)
        .with("X-Request-Id", &format!("{:016x}", number + 0x1000))
        .with("X-Prompt-Prefix", &format!("{:x}b:60,bb:40", number))
        .with("Resumes", resumes)
        .with("Last-Event-Id", &BROKEN_AFTER.to_string())
        .send(at.addrs.callers)
        .await
}

#[actix_rt::test]
async fn broken_stream_does_not_resume_at_another_version() {
    let fixture = Fixture::start(&deployment()).await;
    let _engines = add_engines(&fixture.store).await;
    fixture.call(&stream("/resumed/", 0)).await;
    for number in 1..=STREAMS {
        let got = fixture.call(&stream("/resumed/", number)).await;
        assert_eq!(versions(&got.body).len(), 1, "stream {number}: {got:?}");
        assert!(got.is_whole, "stream {number}: {got:?}");
    }
}

#[actix_rt::test]
async fn caller_does_not_take_a_stream_up_at_another_version() {
    let fixture = Fixture::start(&deployment()).await;
    let other = gateway(&fixture.store, "host-2", "hall-b").await;
    wait_for_entries("both gateways", &fixture.store, 2).await;
    let _engines = add_engines(&fixture.store).await;
    fixture.call(&stream("/broken/", 0)).await;
    for number in 1..=STREAMS {
        let call = stream("/broken/", number);
        let begun = fixture.call(&call).await;
        assert!(!begun.is_whole, "broken off: {begun:?}");
        let resumed = take_up(&other, "/broken/", number, &format!("{number:016x}")).await;
        assert_eq!((resumed.status, resumed.is_whole), (200, true));
        assert_eq!(
            versions(&resumed.body),
            versions(&begun.body),
            "stream {number}"
        );
    }
}
