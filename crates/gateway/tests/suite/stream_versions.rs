//! Streams of services that run several software versions.
//!
//! Versions write streams that don't fit together, so a stream resumes only at the version that
//! began it: within an answer, and over the tries of a caller.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{backoff, chunk, last_chunk, stream_head};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use hollowsail_streams::RETENTION_MS;
use serde_json::json;

use crate::fixture::{gateway, put_entry_record, wait_for_entries, Answer, Call, Fixture};

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

/// A stream route with a time limit that is far shorter than callers may stay away.
fn short_deployment() -> DeploymentJson {
    broken_deployment(1, 400)
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

/// A request that takes up a stream under a new id, with a prompt that has another engine's prefix.
fn resuming(path: &str, number: usize, resumes: &str) -> Call {
    stream(path, number)
        .with("X-Request-Id", &format!("{:016x}", number + 0x1000))
        .with("X-Prompt-Prefix", &format!("{number:x}b:60,bb:40"))
        .with("Resumes", resumes)
        .with("Last-Event-Id", &BROKEN_AFTER.to_string())
}

async fn take_up(at: &Running, number: usize) -> Answer {
    let call = resuming("/broken/", number, &format!("{number:016x}"));
    call.send(at.addrs.callers).await
}

/// Begins a stream that is broken off; returns the version that began it.
async fn begin(at: &Running, number: usize) -> String {
    let begun = stream("/broken/", number).send(at.addrs.callers).await;
    assert_eq!((begun.status, begun.is_whole), (200, false), "{begun:?}");
    let versions = versions(&begun.body);
    versions.first().expect("an event").to_string()
}

fn assert_goes_on(resumed: &Answer, version: &str) {
    assert_eq!(
        (resumed.status, resumed.is_whole),
        (200, true),
        "{resumed:?}"
    );
    assert_eq!(versions(&resumed.body), BTreeSet::from([version]));
}

/// A refusal that tells the caller to begin anew.
fn assert_gone(refused: &Answer) {
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.starts_with("stream_version_gone"),
        "{refused:?}"
    );
    assert_eq!(refused.header("Retry-After"), None);
}

/// A refusal that tells the caller to come back.
fn assert_away(refused: &Answer) {
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.starts_with("stream_version_away"),
        "{refused:?}"
    );
    assert!(refused.header("Retry-After").is_some());
}

/// Number of requests that engines got with an id.
fn runs(engines: &[TargetStandin], id: &str) -> usize {
    let received = engines.iter().flat_map(TargetStandin::received);
    received
        .filter(|request| request.request_id() == id)
        .count()
}

/// Three gateways in three halls before engines of two versions, the first one serving.
async fn fleet() -> (Fixture, [Running; 2], Vec<TargetStandin>) {
    let fixture = Fixture::start(&deployment()).await;
    let second = gateway(&fixture.store, "host-2", "hall-b").await;
    let third = gateway(&fixture.store, "host-3", "hall-c").await;
    wait_for_entries("all gateways", &fixture.store, 3).await;
    let engines = add_engines(&fixture.store).await;
    fixture.call(&stream("/broken/", 0)).await;
    for other in [&second, &third] {
        serving(other).await;
    }
    (fixture, [second, third], engines)
}

/// Waits until a gateway serves streams.
async fn serving(gateway: &Running) {
    let until = Instant::now() + Duration::from_secs(5);
    while stream("/broken/", 0xfff)
        .send(gateway.addrs.callers)
        .await
        .status
        != 200
    {
        assert!(Instant::now() < until, "the gateway doesn't serve");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
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
    let (fixture, [other, _third], _engines) = fleet().await;
    for number in 1..=STREAMS {
        let version = begin(&fixture.gateway, number).await;
        assert_goes_on(&take_up(&other, number).await, &version);
        assert_goes_on(&take_up(&fixture.gateway, number).await, &version);
    }
}

#[actix_rt::test]
async fn stream_goes_on_after_the_entry_that_began_it_is_gone() {
    let (fixture, others, _engines) = fleet().await;
    let mut begun = Vec::new();
    for number in 1..=STREAMS {
        begun.push((number, begin(&fixture.gateway, number).await));
    }
    fixture.gateway.stop().await;
    for (number, version) in begun {
        assert_goes_on(&take_up(&others[number % 2], number).await, &version);
    }
}

#[actix_rt::test]
async fn tries_that_overlap_go_on_at_one_version() {
    let (fixture, [second, third], _engines) = fleet().await;
    for number in 1..=STREAMS {
        let version = begin(&fixture.gateway, number).await;
        let (at_second, at_third) = tokio::join!(take_up(&second, number), take_up(&third, number));
        assert_goes_on(&at_second, &version);
        assert_goes_on(&at_third, &version);
    }
}

/// A caller whose next try was broken off, too, may name that one or the first.
#[actix_rt::test]
async fn stream_that_was_taken_up_is_known_by_both_ids() {
    let (fixture, [second, third], _engines) = fleet().await;
    for number in 1..=STREAMS {
        let version = begin(&fixture.gateway, number).await;
        assert_goes_on(&take_up(&second, number).await, &version);
        let latest = resuming("/broken/", number, &format!("{:016x}", number + 0x1000));
        let resumed = latest.send(third.addrs.callers).await;
        assert_goes_on(&resumed, &version);
    }
}

#[actix_rt::test]
async fn unknown_stream_does_not_run_where_several_versions_served() {
    let (fixture, [other, _third], engines) = fleet().await;
    begin(&fixture.gateway, 1).await;
    let own = format!("{:016x}", 1);
    let without_attempt = stream("/broken/", 1).with("Last-Event-Id", "2");
    let others = [
        ("an unknown id", resuming("/broken/", 1, "ffffffffffffffff")),
        ("another body", resuming("/broken/", 1, &own).body("other")),
        ("another path", resuming("/broken/other", 1, &own)),
        ("no attempt", without_attempt),
    ];
    for (what, call) in others {
        for at in [&fixture.gateway, &other] {
            let call = call.clone().with("X-Request-Id", "000000000000abcd");
            let refused = call.send(at.addrs.callers).await;
            assert_gone(&refused);
            assert_eq!(runs(&engines, "000000000000abcd"), 0, "{what}");
        }
    }
}

#[actix_rt::test]
async fn attempt_without_a_last_event_runs_only_at_its_version() {
    let (fixture, [other, _third], _engines) = fleet().await;
    for number in 1..=STREAMS {
        let version = begin(&fixture.gateway, number).await;
        let mut call = resuming("/broken/", number, &format!("{number:016x}"));
        call.headers.retain(|(name, _)| name != "Last-Event-Id");
        let again = call.send(other.addrs.callers).await;
        assert_eq!(versions(&again.body), BTreeSet::from([version.as_str()]));
    }
}

#[actix_rt::test]
async fn malformed_resumption_is_rejected() {
    let (fixture, _others, engines) = fleet().await;
    for (name, value) in [("Resumes", ""), ("Last-Event-Id", "")] {
        let call = resuming("/broken/", 1, "0000000000000001").with(name, value);
        let rejected = call.send(fixture.gateway.addrs.callers).await;
        assert_eq!(rejected.status, 400);
        assert!(rejected.body.contains(name), "{rejected:?}");
    }
    assert_eq!(runs(&engines, "0000000000001001"), 0);
}

/// Takes up an unknown stream until it goes on; returns the first answer.
async fn wait_until_only_version(at: &Running) -> Answer {
    let call = resuming("/broken/", 1, "ffffffffffffffff");
    let first = call.send(at.addrs.callers).await;
    let until = Instant::now() + Duration::from_millis(RETENTION_MS) + Duration::from_secs(10);
    while call.send(at.addrs.callers).await.status != 200 {
        assert!(Instant::now() < until, "it doesn't go on");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    first
}

#[actix_rt::test]
async fn unknown_stream_goes_on_only_once_one_version_can_have_served() {
    let fixture = Fixture::start(&short_deployment()).await;
    let _engine = add_engine(&fixture.store, "i-1", "v1").await;
    fixture.call(&stream("/broken/", 0)).await;
    let began = Instant::now();
    assert_gone(&wait_until_only_version(&fixture.gateway).await);
    let shortest = Duration::from_millis(RETENTION_MS) - Duration::from_secs(10);
    assert!(began.elapsed() > shortest, "callers may still come back");
    let resumed = resuming("/broken/", 2, "ffffffffffffffff");
    assert_goes_on(&resumed.send(fixture.gateway.addrs.callers).await, "v1");
}

#[actix_rt::test]
async fn stream_that_began_before_another_version_appeared_goes_on() {
    let fixture = Fixture::start(&short_deployment()).await;
    let other = gateway(&fixture.store, "host-2", "hall-b").await;
    wait_for_entries("both gateways", &fixture.store, 2).await;
    let _old = add_engine(&fixture.store, "i-1", "v1").await;
    fixture.call(&stream("/broken/", 0)).await;
    wait_until_only_version(&fixture.gateway).await;
    for number in 1..=STREAMS {
        assert_eq!(begin(&fixture.gateway, number).await, "v1");
    }
    let _new = add_engine(&fixture.store, "i-2", "v2").await;
    let mut number = 0x2000;
    while begin(&other, number).await != "v2" {
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fixture.gateway.stop().await;
    for number in 1..=STREAMS {
        assert_goes_on(&take_up(&other, number).await, "v1");
    }
}

#[actix_rt::test]
async fn stream_is_refused_at_once_when_its_version_drains() {
    let (fixture, [other, _third], engines) = fleet().await;
    let number = begin_at(&fixture.gateway, "v1", 1).await;
    for (id, engine) in [("i-1", &engines[0]), ("i-3", &engines[2])] {
        let addr = engine.addr;
        fixture
            .store
            .put_draining_version(id, "engines", addr, "v1");
    }
    let until = Instant::now() + Duration::from_secs(5);
    while take_up(&other, number).await.status == 200 {
        assert!(Instant::now() < until, "a draining engine gets new work");
    }
    let began = Instant::now();
    assert_gone(&take_up(&other, number).await);
    assert!(began.elapsed() < Duration::from_millis(200));
}

#[actix_rt::test]
async fn caller_comes_back_when_the_last_targets_of_its_version_vanished() {
    let (fixture, [other, _third], engines) = fleet().await;
    let number = begin_at(&fixture.gateway, "v1", 1).await;
    fixture.store.delete("servers/i-1");
    fixture.store.delete("servers/i-3");
    let until = Instant::now() + Duration::from_secs(5);
    while take_up(&other, number).await.status == 200 {
        assert!(Instant::now() < until, "the engines are gone");
    }
    assert_away(&take_up(&other, number).await);
    fixture
        .store
        .put_target_version("i-5", "engines", engines[0].addr, "v1");
    while take_up(&other, number).await.status != 200 {
        assert!(Instant::now() < until, "an engine is back");
    }
    assert_goes_on(&take_up(&other, number).await, "v1");
}

/// An engine of v1 that refuses to resume streams for some time.
fn rests_from_resumed_streams(request: &ReceivedRequest) -> Vec<Step> {
    match request.header("last-event-id") {
        "" => breaks_new_streams("v1", request),
        _ => vec![Step::Write(backoff(1.5))],
    }
}

#[actix_rt::test]
async fn room_of_another_version_is_not_room_for_a_stream() {
    let fixture = Fixture::start(&deployment()).await;
    let resting = TargetStandin::start(rests_from_resumed_streams).await;
    let store = &fixture.store;
    store.put_target_version("i-1", "engines", resting.addr, "v1");
    let free = add_engine(store, "i-2", "v2").await;
    fixture.call(&stream("/broken/", 0)).await;
    let number = begin_at(&fixture.gateway, "v1", 1).await;
    let refused = take_up(&fixture.gateway, number).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    let retry_after = refused.header("Retry-After").expect("a time to come back");
    let retry_after: f64 = retry_after.parse().expect("seconds");
    assert!((1.0..=1.5).contains(&retry_after), "{retry_after}");
    assert_eq!(runs(&[free], &format!("{:016x}", number + 0x1000)), 0);
}

/// A peer that accepts connections but doesn't reply delays the first event only shortly.
#[actix_rt::test]
async fn silent_holders_neither_hold_streams_up_nor_let_them_be_guessed() {
    let fixture = Fixture::start(&deployment()).await;
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let silent = silent.expect("a loopback port is available");
    let addr = silent.local_addr().expect("the listener has an address");
    put_entry_record(
        &fixture.store,
        &(7, "host-7".into(), addr, "hall-b".into(), 200),
    );
    let _engines = add_engines(&fixture.store).await;
    fixture.call(&stream("/broken/", 0)).await;
    let began = Instant::now();
    begin(&fixture.gateway, 1).await;
    assert!(began.elapsed() < Duration::from_millis(400));
    let unknown = resuming("/broken/", 1, "ffffffffffffffff");
    assert_away(&unknown.send(fixture.gateway.addrs.callers).await);
}

/// The first stream that a version begins, by its number.
async fn begin_at(at: &Running, version: &str, mut number: usize) -> usize {
    while begin(at, number).await != version {
        number += 1;
    }
    number
}

#[actix_rt::test]
async fn stream_of_a_version_that_was_rolled_back_begins_anew() {
    let (fixture, [other, _third], _engines) = fleet().await;
    let old = begin_at(&fixture.gateway, "v1", 1).await;
    let new = begin_at(&fixture.gateway, "v2", 0x100).await;
    let order = json!({ "service": "engines", "target_version": "v2", "duration_s": 10.0 });
    let key = "op/rollout/engines";
    fixture.store.put(key, order.to_string().as_bytes());
    let until = Instant::now() + Duration::from_secs(5);
    while take_up(&other, new).await.status == 200 {
        assert!(Instant::now() < until, "the order isn't known");
    }
    assert_away(&take_up(&other, new).await);
    fixture.store.delete(key);
    while !take_up(&other, new)
        .await
        .body
        .starts_with("stream_version_gone")
    {
        assert!(Instant::now() < until, "the version isn't rolled back");
    }
    assert_gone(&take_up(&other, new).await);
    assert_goes_on(&take_up(&other, old).await, "v1");
}

/// How long callers take streams up after all gateways have started anew.
const TAKING_UP: Duration = Duration::from_secs(6);

/// Streams on one route that only their callers resume.
fn broken_deployment(version: u64, timeout_ms: u64) -> DeploymentJson {
    let fields = json!({ "stream_resume": true, "max_attempts": 1, "timeout_ms": timeout_ms });
    DeploymentJson::new(version)
        .engines("engines")
        .route("/broken/", "stream", "engines", fields)
}

/// Three gateways in three halls.
async fn three_gateways(store: &StoreStandin) -> [Running; 3] {
    let (first, second, third) = tokio::join!(
        gateway(store, "host-1", "hall-a"),
        gateway(store, "host-2", "hall-b"),
        gateway(store, "host-3", "hall-c"),
    );
    [first, second, third]
}

/// Take-ups that joined two versions: streams that v1 began before it went, and before all gateways
/// were replaced. The configuration may change between.
async fn joined_after_all_restarted(
    before: DeploymentJson,
    after: Option<DeploymentJson>,
) -> usize {
    let store = StoreStandin::start().await;
    store.put("op/config", &before.bytes());
    let old = add_engine(&store, "i-1", "v1").await;
    let gateways = three_gateways(&store).await;
    for at in &gateways {
        serving(at).await;
    }
    for number in 1..=STREAMS {
        assert_eq!(begin(&gateways[number % 3], number).await, "v1");
    }
    let _new = add_engine(&store, "i-2", "v2").await;
    store.delete("servers/i-1");
    drop(old);
    if let Some(after) = after {
        store.put("op/config", &after.bytes());
    }
    for at in gateways {
        at.stop().await;
    }
    let gateways = three_gateways(&store).await;
    for at in &gateways {
        serving(at).await;
    }
    let until = Instant::now() + TAKING_UP;
    let mut joined = 0;
    while Instant::now() < until {
        for number in 1..=STREAMS {
            let call = resuming("/broken/", number, &format!("{number:016x}"));
            let call = call.with("X-Deadline-Ms", "20000");
            let taken_up = call.send(gateways[number % 3].addrs.callers).await;
            joined += usize::from(versions(&taken_up.body).contains("v2"));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    joined
}

/// Guards against streams that are joined from two versions where callers wait longer than a route's
/// time limit.
#[actix_rt::test]
async fn stream_of_a_version_that_is_gone_is_not_joined_after_all_entries_restarted() {
    let joined = joined_after_all_restarted(broken_deployment(1, 400), None).await;
    assert_eq!(joined, 0, "take-ups that joined two versions");
}

/// Guards against the same where the time limit was longer while the streams ran.
#[actix_rt::test]
async fn stream_is_not_joined_after_its_time_limit_was_lowered_and_all_entries_restarted() {
    let (before, after) = (broken_deployment(1, 8_000), broken_deployment(2, 400));
    let joined = joined_after_all_restarted(before, Some(after)).await;
    assert_eq!(joined, 0, "take-ups that joined two versions");
}
