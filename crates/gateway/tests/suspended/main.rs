//! Tests of a host that was suspended. A separate program, since the simulated suspension
//! holds for the whole process.

#[path = "../suite/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use std::time::{Duration, Instant};

use hollowsail_clock::simulated::suspend;
use hollowsail_platform_standins::target::{answer, results};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
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
