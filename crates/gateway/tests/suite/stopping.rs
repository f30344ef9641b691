//! A planned stop.

use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Seen, Step, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{plain_deployment, ready_status, settings, until_entries, Call, Fixture};

/// A gateway that knows one target, which answers after a time.
async fn serving(after: Duration) -> (Running, TargetStandin) {
    let script =
        move |seen: &Seen| vec![Step::Wait(after), Step::Write(answer(seen, 200, "whole"))];
    let (fixture, target) = Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    (fixture.gateway, target)
}

#[actix_rt::test]
async fn a_request_that_comes_when_the_balancer_has_long_been_told_is_refused_as_not_run() {
    let (gateway, target) = serving(Duration::from_millis(1_900)).await;
    let at = gateway.at.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let long = actix_rt::spawn(async move { Call::new("GET", "/safe/").send(at.callers).await });
    // Half of the grace of three seconds is over.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let before = target.seen().len();
    let late = Call::new("GET", "/safe/").send(at.callers).await;
    assert_eq!(late.status, 503, "it could not end before the process does");
    assert!(late.header("retry-after").is_some());
    assert_eq!(target.seen().len(), before);
    assert!(long.await.expect("it is answered").is_whole);
    stopping.await.expect("it ends");
}

#[actix_rt::test]
async fn a_stop_is_not_ready_at_once_takes_late_requests_and_cuts_none() {
    let (gateway, _target) = serving(Duration::from_millis(900)).await;
    let at = gateway.at.clone();
    let early = actix_rt::spawn(async move { Call::new("GET", "/safe/").send(at.callers).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let at = gateway.at.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(ready_status(at.readiness).await, 503);
    let late = Call::new("GET", "/safe/").send(at.callers).await;
    assert_eq!(
        (late.status, late.is_whole),
        (200, true),
        "the balancer lags"
    );
    let early = early.await.expect("it is answered");
    assert_eq!((early.status, early.is_whole), (200, true));
    stopping.await.expect("it ends");
}

#[actix_rt::test]
async fn a_stop_before_the_store_has_answered_for_the_record_leaves_none() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    store.set_mode(StoreMode::Slow);
    let gateway = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await
    .expect("it starts");
    until_entries("the record is written", &store, 1).await;
    let stopping = actix_rt::spawn(gateway.stop());
    let begun = Instant::now();
    until_entries("the record is gone", &store, 0).await;
    assert!(
        begun.elapsed() < Duration::from_secs(3),
        "long before its lease is over"
    );
    stopping.await.expect("it ends");
}
