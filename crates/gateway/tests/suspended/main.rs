//! Tests of a host that was suspended. A separate program, since the simulated suspension
//! holds for the whole process.

#[path = "../suite/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hollowsail_clock::simulated::suspend;
use hollowsail_platform_standins::target::{answer, results};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin,
};
use hollowsail_streams::RETENTION_MS;
use serde_json::json;
use tokio::sync::Mutex;

use fixture::{plain_deployment, single_event_stream, stage_runs, Call, Fixture};

/// Duration of the suspension: longer than any deadline here.
const SUSPENSION: Duration = Duration::from_secs(10);

/// Runs one test at a time, since a suspension affects all.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn call(path: &str) -> Call {
    Call::new("GET", path).with("X-Deadline-Ms", "3000")
}

/// Guards against retrying a request whose deadline passed during the suspension.
#[actix_rt::test]
async fn expired_request_is_not_retried_after_resume() {
    let _one = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let suspends_and_resets = |request: &ReceivedRequest| {
        if request.earlier_requests > 0 {
            return vec![Step::Write(answer(request, 200, "again"))];
        }
        suspend(SUSPENSION);
        vec![Step::Reset]
    };
    let one = TargetStandin::start(suspends_and_resets).await;
    fixture.add("i-1", "plain", &one);
    let got = fixture.call(&call("/a/x")).await;
    assert_eq!((got.status, one.received().len()), (504, 1), "{got:?}");
}

/// Guards against using a connection from before the suspension, which the other end may have
/// closed.
#[actix_rt::test]
async fn unsafe_request_uses_new_connection_on_resume() {
    let _one = ONE_AT_A_TIME.lock().await;
    let deployment =
        DeploymentJson::new(1)
            .service("plain")
            .route("/once/", "unsafe", "plain", json!({}));
    let fixture = Fixture::start(&deployment).await;
    let target = TargetStandin::answering("good", Duration::ZERO).await;
    fixture.add("i-1", "plain", &target);
    fixture.call(&call("/once/x")).await;
    fixture.call(&call("/once/x")).await;
    assert_eq!(target.connections(), 1, "the connection is reused");
    suspend(SUSPENSION);
    assert!(fixture.call(&call("/once/x")).await.is_whole);
    assert_eq!(target.connections(), 2);
}

/// Guards against running pieces that expired in the owner's queue during the suspension, and
/// against refusing later ones.
#[actix_rt::test]
async fn expired_pieces_are_not_run_after_resume() {
    let _one = ONE_AT_A_TIME.lock().await;
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let deployment = DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 1, 300.0, 10.0)
        .route(
            "/staged/",
            "stream",
            "engines",
            json!({
                "stages": stages, "target_latency_ms": 2000,
            }),
        );
    let fixture = Fixture::start(&deployment).await;
    let worker = TargetStandin::start(|request| {
        let work = Step::Wait(Duration::from_millis(300));
        vec![work, Step::Write(results(request, "producer"))]
    })
    .await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-worker", "encoders", &worker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let staged = |id: &str| {
        call("/staged/x")
            .with("X-Request-Id", id)
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "aa:60,bb:40")
            .with("X-Pieces", "1")
            .with("X-Piece-Key", "the-key")
    };
    let addr = fixture.gateway.addrs.callers;
    let (first, waiting) = (staged("00000000000000f1"), staged("00000000000000f2"));
    let _first = first.begin(addr).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let _waiting = waiting.begin(addr).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    suspend(SUSPENSION);
    let started = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let pieces = stage_runs(&worker);
    let pieces = pieces.iter().flat_map(ReceivedRequest::pieces);
    let ran: Vec<String> = pieces.map(|piece| piece["id"].to_string()).collect();
    assert!(ran[0].contains("f1"), "{ran:?}");
    assert!(!ran.iter().any(|id| id.contains("f2")), "{ran:?}");
    let after = staged("00000000000000f3").send(addr).await;
    assert!(after.is_whole, "{after:?} after {:?}", started.elapsed());
}

/// A fixture that has known only v1 of its engines for as long as callers may come back.
async fn fixture_with_one_version() -> (Fixture, TargetStandin) {
    let fields = json!({ "stream_resume": true, "max_attempts": 1 });
    let deployment =
        DeploymentJson::new(1)
            .engines("engines")
            .route("/streams/", "stream", "engines", fields);
    let fixture = Fixture::start(&deployment).await;
    let engine = TargetStandin::start(single_event_stream).await;
    let store = &fixture.store;
    store.put_target_version("i-1", "engines", engine.addr, "v1");
    fixture.call(&unknown_stream()).await;
    suspend(Duration::from_millis(RETENTION_MS) + SUSPENSION);
    (fixture, engine)
}

/// A request that takes up a stream of which no entry has a record: another one each time.
fn unknown_stream() -> Call {
    static LAST: AtomicUsize = AtomicUsize::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Call::new("POST", "/streams/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("Resumes", &format!("ffff{number:012x}"))
        .with("Last-Event-Id", "2")
        .body("prompt")
}

/// Number of take-ups in some time that go on.
async fn taken_up_within(fixture: &Fixture, time: Duration) -> usize {
    let until = Instant::now() + time;
    let mut taken_up = 0;
    while Instant::now() < until {
        let call = unknown_stream();
        let answer = call.send(fixture.gateway.addrs.callers).await;
        taken_up += usize::from(answer.status == 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    taken_up
}

async fn add_new_version(store: &StoreStandin) -> TargetStandin {
    let engine = TargetStandin::start(single_event_stream).await;
    store.put_target_version("i-2", "engines", engine.addr, "v2");
    engine
}

// Guards against streams of a new version that go on at the old one, at an entry that doesn't know yet
// that the store is silent.
#[actix_rt::test]
async fn streams_are_not_taken_up_as_the_only_version_s_after_the_store_falls_silent() {
    let _one = ONE_AT_A_TIME.lock().await;
    let (fixture, _engine) = fixture_with_one_version().await;
    let until = Instant::now() + Duration::from_secs(5);
    while taken_up_within(&fixture, Duration::from_millis(100)).await == 0 {
        assert!(Instant::now() < until, "only one version ever served");
    }
    fixture.store.set_mode(StoreMode::Silent);
    let _new = add_new_version(&fixture.store).await;
    let joined = taken_up_within(&fixture, Duration::from_secs(4)).await;
    assert_eq!(joined, 0, "take-ups that may join two versions");
}

// Guards against a version that comes and goes between two lists of an entry that follows no changes
// meanwhile.
#[actix_rt::test]
async fn streams_are_not_taken_up_as_the_only_version_s_after_changes_were_missed() {
    let _one = ONE_AT_A_TIME.lock().await;
    let (fixture, _engine) = fixture_with_one_version().await;
    let store = &fixture.store;
    store.set_mode(StoreMode::Silent);
    let _new = add_new_version(store).await;
    store.delete("servers/i-2");
    store.compact_history();
    tokio::time::sleep(Duration::from_millis(200)).await;
    store.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let joined = taken_up_within(&fixture, Duration::from_secs(2)).await;
    assert_eq!(joined, 0, "take-ups that may join two versions");
}
