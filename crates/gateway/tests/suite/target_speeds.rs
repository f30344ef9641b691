//! Targets that report how long their work takes.

use std::time::Duration;

use hollowsail_platform_standins::target::{answer, loaded, results};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::json;

use crate::all_kinds::staged;
use crate::fixture::{eventually, single_event_stream, stage_runs, Call, Fixture};

/// Requests of one test, sent one after the other.
const REQUESTS: usize = 30;
/// A load report of a target whose work takes nine times as long as usual.
const SLOW: &str = "0,0,8,900";
const USUAL: &str = "0,0,8,100";

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 1, 20.0, 10.0)
        .service("plain")
        .route("/a/", "safe", "plain", json!({}))
        .route(
            "/staged/",
            "stream",
            "engines",
            json!({ "stages": stages, "timeout_ms": 30_000 }),
        )
}

fn serving(load: &'static str) -> impl Fn(&ReceivedRequest) -> Vec<Step> {
    move |request| vec![Step::Write(loaded(answer(request, 200, "served"), load))]
}

/// Numbers of requests that two plain targets with these reports get.
async fn shares(loads: [&'static str; 2]) -> [usize; 2] {
    let fixture = Fixture::start(&deployment()).await;
    let first = TargetStandin::start(serving(loads[0])).await;
    let second = TargetStandin::start(serving(loads[1])).await;
    fixture.add("i-1", "plain", &first);
    fixture.add("i-2", "plain", &second);
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..REQUESTS {
        let got = fixture.call(&Call::new("GET", "/a/x")).await;
        assert!(got.status == 200 && got.is_whole, "{got:?}");
    }
    [first.received().len(), second.received().len()]
}

/// Guards against requests to a target that reports that it is slow while another is free.
#[actix_rt::test]
async fn plain_requests_avoid_a_slow_target() {
    let [slow, usual] = shares([SLOW, USUAL]).await;
    assert!(
        slow < REQUESTS / 4,
        "{slow} at the slow target, {usual} at the other"
    );
}

/// Guards against choices by a malformed report, which is ignored as a whole.
#[actix_rt::test]
async fn malformed_speed_is_ignored() {
    let [first, second] = shares(["0,0,8,0", "0,0,8,10001"]).await;
    assert!(first > 0 && second > 0, "{first} and {second} requests");
}

/// Guards against pieces for a worker that reports that it is slow while another is free.
#[actix_rt::test]
async fn pieces_avoid_a_slow_worker() {
    let working = |name: &'static str, load: &'static str| {
        move |request: &ReceivedRequest| {
            vec![
                Step::Wait(Duration::from_millis(20)),
                Step::Write(loaded(results(request, name), load)),
            ]
        }
    };
    let fixture = Fixture::start(&deployment()).await;
    let slow = TargetStandin::start(working("slow", SLOW)).await;
    let usual = TargetStandin::start(working("usual", USUAL)).await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-slow", "encoders", &slow);
    fixture.add("i-usual", "encoders", &usual);
    fixture.add("i-engine", "engines", &engine);
    for number in 0..REQUESTS {
        // As long as the route allows: the usual deadline leaves stages 0.9 s.
        let req = staged(number).with("X-Deadline-Ms", "30000");
        let got = fixture.call(&req).await;
        assert!(got.status == 200 && got.is_whole, "{got:?}");
    }
    eventually("all pieces were produced", || {
        stage_runs(&slow).len() + stage_runs(&usual).len() >= REQUESTS
    })
    .await;
    let at_slow = stage_runs(&slow).len();
    assert!(
        at_slow < REQUESTS / 4,
        "{at_slow} of {REQUESTS} at the slow worker"
    );
}
