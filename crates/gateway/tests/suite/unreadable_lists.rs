//! Lists in the store that can't be read to their end, since their pages repeat.

use std::time::Duration;

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::{StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{
    eventually_served, gateway, plain_deployment, ready_status, scrape, settings, Call,
};

/// Time in which a gateway has read each list again several times.
const PLAY: Duration = Duration::from_secs(4);
/// Tries in [`PLAY`] at the least, with pauses of up to 600 ms.
const MIN_TRIES: usize = 5;
/// Most calls for one list in [`PLAY`], at two for each read.
const MAX_CALLS: usize = 20;

fn call() -> Call {
    Call::new("GET", "/safe/x")
}

/// A store with one target; `keys_before` fill the operators' pages before the configuration.
async fn site(keys_before: &[&str]) -> (StoreStandin, TargetStandin) {
    let store = StoreStandin::start().await;
    let target = TargetStandin::answering("ok", Duration::ZERO).await;
    for key in keys_before {
        store.put(key, b"none");
    }
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    store.put_target("a-0", "plain", target.addr, "hall-a", "ready");
    (store, target)
}

/// Starts a gateway at an address of the store that repeats pages, and doesn't wait until it is ready.
async fn start_at_repeating(store: &StoreStandin, seeds: &[&Running]) -> Running {
    let endpoint = store.add_endpoint().await;
    endpoint.set_mode(StoreMode::RepeatingPages);
    let mut settings = settings("host-9", "hall-b", endpoint.addr);
    settings.seeds = seeds.iter().map(|seed| seed.addrs.peers).collect();
    let started = start(settings, Mechanisms::default()).await;
    started.expect("the gateway starts")
}

// Guards against a standing fault that leaves no line or count, and a loop of reads without a bound.
#[actix_rt::test]
async fn list_that_cannot_be_completed_is_counted_and_read_seldom() {
    let (store, _target) = site(&[]).await;
    for number in 1..6 {
        store.put(&format!("servers/b-{number}"), b"none");
    }
    let gateway = start_at_repeating(&store, &[]).await;
    eventually_served(gateway.addrs.callers, &call()).await;
    tokio::time::sleep(PLAY).await;
    let text = scrape(&gateway).await;
    let counter = "hollowsail_list_faults_total{list=\"targets\"}";
    assert!(text.contains(counter), "{counter} is missing from\n{text}");
    let calls = store.calls();
    let of_list = |call: &&String| call.contains("kv-range") && call.contains("=servers/");
    let reads = calls.iter().filter(of_list).count();
    assert!((4..=MAX_CALLS).contains(&reads), "{reads} calls");
}

// Guards against the long pauses of a standing fault after calls beyond the shared rate limit.
#[actix_rt::test]
async fn list_is_tried_often_while_the_rate_limit_is_exceeded() {
    let (store, target) = site(&[]).await;
    store.set_mode(StoreMode::Limiting);
    let started = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await;
    let gateway = started.expect("the gateway starts");
    let of_list = |call: &&String| call.contains("kv-range") && call.contains("=servers/");
    let reads = || store.calls().iter().filter(of_list).count();
    tokio::time::sleep(PLAY).await;
    let before = reads();
    tokio::time::sleep(PLAY).await;
    let tries = reads() - before;
    assert!(tries >= MIN_TRIES, "{tries} tries in {PLAY:?}");
    store.set_mode(StoreMode::Up);
    eventually_served(gateway.addrs.callers, &call()).await;
    assert!(!target.received().is_empty());
}

// Guards against a gateway that is never ready, since the list of its configuration can't be completed.
#[actix_rt::test]
async fn configuration_in_list_that_cannot_be_completed_is_in_force() {
    let (store, _target) = site(&["op/a"]).await;
    for number in 0..3 {
        store.put(&format!("op/x{number}"), b"none");
    }
    let gateway = start_at_repeating(&store, &[]).await;
    eventually_served(gateway.addrs.callers, &call()).await;
    assert_eq!(ready_status(gateway.addrs.readiness).await, 200);
}

// Guards against a gateway that knows less than its peers while a list can't be completed.
#[actix_rt::test]
async fn peers_are_asked_while_a_list_cannot_be_completed() {
    let (store, _target) = site(&["op/a", "op/b", "op/c"]).await;
    let peer = gateway(&store, "host-1", "hall-a").await;
    let starting = start_at_repeating(&store, &[&peer]).await;
    eventually_served(starting.addrs.callers, &call()).await;
}
