//! Planned stops of the gateway.

use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{plain_deployment, ready_status, settings, wait_for_entries, Call, Fixture};

/// A gateway with one target, which answers after `after`.
async fn serving(after: Duration) -> (Running, TargetStandin) {
    let script = move |request: &ReceivedRequest| {
        vec![
            Step::Wait(after),
            Step::Write(answer(request, 200, "whole")),
        ]
    };
    let (fixture, target) = Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    (fixture.gateway, target)
}

#[actix_rt::test]
async fn requests_late_in_a_stop_are_refused() {
    let (gateway, target) = serving(Duration::from_millis(1_900)).await;
    let addrs = gateway.addrs.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let long = actix_rt::spawn(async move { Call::new("GET", "/safe/").send(addrs.callers).await });
    // Past half of the grace period of three seconds.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let before = target.received().len();
    let late = Call::new("GET", "/safe/").send(addrs.callers).await;
    assert_eq!(
        late.status, 503,
        "it cannot finish before the process exits"
    );
    assert!(late.header("retry-after").is_some());
    assert_eq!(target.received().len(), before);
    assert!(long.await.expect("the request is answered").is_whole);
    stopping.await.expect("the stop ends");
}

#[actix_rt::test]
async fn stop_is_unready_and_serves_early_requests() {
    let (gateway, _target) = serving(Duration::from_millis(900)).await;
    let addrs = gateway.addrs.clone();
    let early =
        actix_rt::spawn(async move { Call::new("GET", "/safe/").send(addrs.callers).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let addrs = gateway.addrs.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(ready_status(addrs.readiness).await, 503);
    let late = Call::new("GET", "/safe/").send(addrs.callers).await;
    assert_eq!(
        (late.status, late.is_whole),
        (200, true),
        "the load balancer may still send connections"
    );
    let early = early.await.expect("the request is answered");
    assert_eq!((early.status, early.is_whole), (200, true));
    stopping.await.expect("the stop ends");
}

#[actix_rt::test]
async fn stop_during_registration_removes_the_record() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    store.set_mode(StoreMode::Slow);
    let gateway = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await
    .expect("the gateway starts");
    wait_for_entries("the record is written", &store, 1).await;
    let stopping = actix_rt::spawn(gateway.stop());
    let started = Instant::now();
    wait_for_entries("the record is gone", &store, 0).await;
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "long before its lease expires"
    );
    stopping.await.expect("the stop ends");
}
