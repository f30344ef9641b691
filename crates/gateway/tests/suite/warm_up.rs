//! Rate limits of targets that are warming up.

use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{gateway, wait_for_entries, Call};

/// Requests per second that a target may get while it is warming up.
const PER_S: f64 = 10.0;

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .service_with_warm_up("plain", PER_S)
        .route("/a/", "safe", "plain", json!({}))
}

async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |request| vec![Step::Write(answer(request, 200, body))]).await
}

#[actix_rt::test]
async fn warm_up_target_gets_limited_share() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let (warm, warming_up) = (target("warm").await, target("warming_up").await);
    store.put_target("i-1", "plain", warm.addr, "hall-a", "ready");
    let gateway = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is recorded", &store, 1).await;
    store.put_warming_up_target("i-2", "plain", warming_up.addr, Duration::from_secs(9));
    for _ in 0..400 {
        Call::new("GET", "/a/").send(gateway.addrs.callers).await;
        if !warming_up.received().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (before, started) = (warming_up.received().len(), Instant::now());
    while started.elapsed() < Duration::from_secs(1) {
        let got = Call::new("GET", "/a/").send(gateway.addrs.callers).await;
        assert_eq!(got.status, 200);
    }
    let received = warming_up.received().len() - before;
    assert!(
        (3..=9).contains(&received),
        "got {received} requests in a second of warm-up"
    );
    store.put_target("i-2", "plain", warming_up.addr, "hall-a", "ready");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let before = warming_up.received().len();
    // With the better of two random targets chosen, the slower one gets about a quarter.
    for _ in 0..300 {
        Call::new("GET", "/a/").send(gateway.addrs.callers).await;
    }
    let used = warming_up.received().len() - before;
    assert!(used > 50, "got {used} of 300 requests after its warm-up");
}

#[actix_rt::test]
async fn all_warming_up_refuses_excess_at_once() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let warming_up = target("warming_up").await;
    store.put_warming_up_target("i-1", "plain", warming_up.addr, Duration::from_secs(9));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is recorded", &store, 1).await;
    let mut refused = 0;
    for _ in 0..100 {
        let sent = Instant::now();
        let got = Call::new("GET", "/a/").send(gateway.addrs.callers).await;
        assert!(sent.elapsed() < Duration::from_millis(150));
        refused += u32::from(got.status == 503 && got.header("Retry-After").is_some());
    }
    assert!(refused > 50, "{refused} of 100 requests refused");
    assert_eq!(warming_up.received().len() as u32, 100 - refused);
}

/// Guards against idle entries that each use an unspent share of the limit at the same time,
/// which would add up to more than the limit.
#[actix_rt::test]
async fn idle_entries_send_no_burst_in_warm_up() {
    const PER_S: f64 = 2.0;
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1)
        .service_with_warm_up("plain", PER_S)
        .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let mut entries = Vec::new();
    for number in 0..16 {
        entries.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    wait_for_entries("all are recorded", &store, 16).await;
    let warming_up = target("warming_up").await;
    store.put_warming_up_target("i-1", "plain", warming_up.addr, Duration::from_secs(60));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let call_all = || {
        futures_util::future::join_all(entries.iter().map(|entry| {
            let addr = entry.addrs.callers;
            async move { Call::new("GET", "/a/").send(addr).await }
        }))
    };
    call_all().await;
    // Long enough for each entry to have an unspent share.
    tokio::time::sleep(Duration::from_secs(13)).await;
    let before = warming_up.received().len();
    call_all().await;
    let got = warming_up.received().len() - before;
    assert!(
        (1..=(PER_S * 1.5 + 5.0) as usize).contains(&got),
        "{got} requests in a burst"
    );
}
