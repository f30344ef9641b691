//! Targets that are cold: they get no more than they bear.

use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{gateway, until_entries, Call};

/// Requests a second that a cold target bears here.
const PER_S: f64 = 10.0;

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .service_with_cold_targets("plain", PER_S)
        .route("/a/", "safe", "plain", json!({}))
}

async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |seen| vec![Step::Write(answer(seen, 200, body))]).await
}

#[actix_rt::test]
async fn a_cold_target_gets_a_share_and_a_warm_one_the_rest() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let (warm, cold) = (target("warm").await, target("cold").await);
    store.put_target("i-1", "plain", warm.addr, "hall-a", "ready");
    let gateway = gateway(&store, "host-1", "hall-a").await;
    until_entries("the entry", &store, 1).await;
    store.put_cold_target("i-2", "plain", cold.addr, Duration::from_secs(9));
    for _ in 0..400 {
        Call::new("GET", "/a/").send(gateway.at.callers).await;
        if !cold.seen().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (before, begun) = (cold.seen().len(), Instant::now());
    while begun.elapsed() < Duration::from_secs(1) {
        let got = Call::new("GET", "/a/").send(gateway.at.callers).await;
        assert_eq!(got.status, 200);
    }
    let given = cold.seen().len() - before;
    assert!((3..=9).contains(&given), "{given} in a second");
    store.put_target("i-2", "plain", cold.addr, "hall-a", "ready");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = cold.seen().len();
    // So many that the better of two drawn at random shows: a target that seems a little
    // slower than the other gets a quarter of them.
    for _ in 0..300 {
        Call::new("GET", "/a/").send(gateway.at.callers).await;
    }
    let used = cold.seen().len() - before;
    assert!(used > 50, "it is used like any other: {used} of 300");
}

#[actix_rt::test]
async fn where_all_are_cold_and_have_had_their_share_a_request_is_refused_at_once() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let cold = target("cold").await;
    store.put_cold_target("i-1", "plain", cold.addr, Duration::from_secs(9));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    until_entries("the entry", &store, 1).await;
    let mut refused = 0;
    for _ in 0..100 {
        let asked = Instant::now();
        let got = Call::new("GET", "/a/").send(gateway.at.callers).await;
        assert!(asked.elapsed() < Duration::from_millis(150));
        refused += u32::from(got.status == 503 && got.header("Retry-After").is_some());
    }
    assert!(refused > 50, "{refused}");
    assert_eq!(cold.seen().len() as u32, 100 - refused);
}

/// Sixteen entries that had nothing to send are asked at the same moment. Each kept to a
/// share of its own, and shares that lie idle add up: the target got a request of each, where
/// eight are allowed. Cause: what binds all entries together was kept to by each alone, and
/// past a desk that had just said that the target had had its share. Evidence: with one
/// entry, or none idle, it got what it bears.
#[actix_rt::test]
async fn entries_that_were_all_idle_send_no_burst_to_a_cold_target() {
    const PER_S: f64 = 2.0;
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1)
        .service_with_cold_targets("plain", PER_S)
        .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let mut entries = Vec::new();
    for number in 0..16 {
        entries.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    until_entries("all are recorded", &store, 16).await;
    let cold = target("cold").await;
    store.put_cold_target("i-1", "plain", cold.addr, Duration::from_secs(60));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let ask_all = || {
        futures_util::future::join_all(entries.iter().map(|entry| {
            let at = entry.at.callers;
            async move { Call::new("GET", "/a/").send(at).await }
        }))
    };
    ask_all().await;
    // Longer than any entry has to wait for its share.
    tokio::time::sleep(Duration::from_secs(13)).await;
    let before = cold.seen().len();
    ask_all().await;
    let got = cold.seen().len() - before;
    assert!((1..=(PER_S * 1.5 + 5.0) as usize).contains(&got), "{got}");
}
