//! A host that was suspended. A program of its own: the whole process sleeps.

#[path = "../suite/fixture.rs"]
#[allow(dead_code)]
mod fixture;

use std::time::{Duration, Instant};

use hollowsail_clock::pretended::suspend;
use hollowsail_platform_standins::target::{answer, results};
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, TargetStandin};
use serde_json::json;
use tokio::sync::Mutex;

use fixture::{one_event, plain_deployment, runs, Call, Fixture};

/// How long the host sleeps: longer than any caller here waits.
const SLEEP: Duration = Duration::from_secs(10);

/// One test at a time: what one pretends holds for all.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn call(path: &str) -> Call {
    Call::new("GET", path).with("X-Deadline-Ms", "3000")
}

/// Its caller has given it up by then, so no other target is asked.
#[actix_rt::test]
async fn a_request_whose_time_passed_in_the_sleep_is_not_sent_again() {
    let _one = ONE_AT_A_TIME.lock().await;
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let sleeps_and_breaks = |seen: &Seen| {
        if seen.before > 0 {
            return vec![Step::Write(answer(seen, 200, "again"))];
        }
        suspend(SLEEP);
        vec![Step::Reset]
    };
    let one = TargetStandin::start(sleeps_and_breaks).await;
    fixture.add("i-1", "plain", &one);
    let got = fixture.call(&call("/a/x")).await;
    assert_eq!((got.status, one.seen().len()), (504, 1), "{got:?}");
}

/// A connection that rested through the sleep may be closed at the other end.
#[actix_rt::test]
async fn a_request_that_may_run_once_uses_no_connection_from_before_the_sleep() {
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
    assert_eq!(target.connections(), 1, "one is used again");
    suspend(SLEEP);
    assert!(fixture.call(&call("/once/x")).await.is_whole);
    assert_eq!(target.connections(), 2);
}

/// An owner of a queue wakes: the pieces that waited there are of no use any more, and
/// what comes then is made.
#[actix_rt::test]
async fn pieces_that_waited_through_the_sleep_are_not_made() {
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
    let worker = TargetStandin::start(|seen| {
        let work = Step::Wait(Duration::from_millis(300));
        vec![work, Step::Write(results(seen, "maker"))]
    })
    .await;
    let engine = TargetStandin::start(one_event).await;
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
    let at = fixture.gateway.at.callers;
    let (first, waiting) = (staged("00000000000000f1"), staged("00000000000000f2"));
    let _first = first.begin(at).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let _waiting = waiting.begin(at).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    suspend(SLEEP);
    let begun = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let pieces = runs(&worker);
    let pieces = pieces.iter().flat_map(Seen::pieces);
    let made: Vec<String> = pieces.map(|piece| piece["id"].to_string()).collect();
    assert!(made[0].contains("f1"), "{made:?}");
    assert!(!made.iter().any(|id| id.contains("f2")), "{made:?}");
    let after = staged("00000000000000f3").send(at).await;
    assert!(after.is_whole, "{after:?} after {:?}", begun.elapsed());
}
