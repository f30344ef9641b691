//! A store that is restored from an older copy during an outage that the entries notice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway, gateway_at, settings, wait_for_entries, Call};
use crate::repeats::{allowed, repeated_requests};
use crate::store_restore::{
    call, target, wait_for_propagation, Fleet, DRAIN_TIMEOUT, LOST_HISTORY,
};

/// Longer than an outage needs to be noticed.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time after its return within which the store doesn't bind anyone yet.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Takes the store away for a while, and restores it meanwhile.
async fn restore_in_outage(store: &StoreStandin, mode: StoreMode, outage: Duration) {
    store.set_mode(mode);
    tokio::time::sleep(outage / 2).await;
    store.restore(LOST_HISTORY);
    tokio::time::sleep(outage / 2).await;
    store.set_mode(StoreMode::Up);
}

/// Adds a target, lets another one drain, and checks that the entry heeds both.
async fn check_that_targets_are_followed(fleet: &Fleet) {
    tokio::time::sleep(STABLE_AFTER).await;
    let third = target("third").await;
    let store = &fleet.store;
    store.put_target("i-3", "plain", third.addr, "hall-a", "ready");
    fleet.put(0, "draining");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let [draining, _] = fleet.requests_per_target(24).await;
    assert_eq!(draining, 0, "requests at the draining target");
    assert!(!third.received().is_empty(), "the new target serves");
}

// Guards against a list of targets that stands still after a restore has ended an outage.
#[actix_rt::test]
async fn targets_are_followed_after_a_restore_in_a_silent_outage() {
    let fleet = Fleet::start().await;
    restore_in_outage(&fleet.store, StoreMode::Silent, OUTAGE).await;
    check_that_targets_are_followed(&fleet).await;
}

// The same for a store that refuses calls.
#[actix_rt::test]
async fn targets_are_followed_after_a_restore_in_a_refusing_outage() {
    let fleet = Fleet::start().await;
    restore_in_outage(&fleet.store, StoreMode::Refusing, OUTAGE).await;
    check_that_targets_are_followed(&fleet).await;
}

// The same for two outages in a row.
#[actix_rt::test]
async fn targets_are_followed_after_two_restores_in_outages() {
    let fleet = Fleet::start().await;
    for _ in 0..2 {
        restore_in_outage(&fleet.store, StoreMode::Silent, OUTAGE).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    check_that_targets_are_followed(&fleet).await;
}

/// A route whose requests may be sent to five targets.
fn repeating_deployment() -> DeploymentJson {
    let route = json!({ "max_attempts": 5 });
    DeploymentJson::new(1)
        .service("plain")
        .route("/safe/", "safe", "plain", route)
}

/// Targets that fail all requests.
async fn failing_targets(store: &StoreStandin) -> Vec<TargetStandin> {
    let fails = |request: &ReceivedRequest| vec![Step::Write(answer(request, 500, "failed"))];
    let mut targets = Vec::new();
    for number in 0..6 {
        let target = TargetStandin::start(fails).await;
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
        targets.push(target);
    }
    targets
}

/// Checks that the targets got no more repeats than allowed, and some.
fn check_allowance(targets: &[TargetStandin], requests: usize) {
    let repeats = repeated_requests(targets);
    let allowed = allowed(requests);
    assert!(
        repeats as f64 <= allowed,
        "{repeats} repeats, {allowed:.0} allowed"
    );
    assert!(repeats > 0, "the targets fail requests");
}

/// Sends requests that fail at every target.
async fn send_failing(callers: SocketAddr, host: usize, requests: usize) {
    for number in 0..requests {
        let id = format!("{host:08x}{number:08x}");
        let call = Call::new("GET", "/safe/x").with("X-Request-Id", &id);
        call.send(callers).await;
    }
}

// Guards against shares of the repeats that are divided by a list of hosts that stands still.
#[actix_rt::test]
async fn hosts_that_start_between_restores_stay_within_the_allowance_of_repeats() {
    const HOSTS: usize = 6;
    const REQUESTS_PER_HOST: usize = 12;
    let store = StoreStandin::start().await;
    store.put("op/config", &repeating_deployment().bytes());
    let targets = failing_targets(&store).await;
    tokio::time::sleep(LOST_HISTORY).await;
    let mut hosts = Vec::new();
    for number in 1..=HOSTS {
        hosts.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
        wait_for_entries("the entries are registered", &store, number).await;
        wait_for_propagation().await;
        restore_in_outage(&store, StoreMode::Refusing, Duration::from_millis(600)).await;
        wait_for_entries("the entries are registered again", &store, number).await;
    }
    tokio::time::sleep(STABLE_AFTER).await;
    let calls = hosts
        .iter()
        .enumerate()
        .map(|(host, running)| send_failing(running.addrs.callers, host, REQUESTS_PER_HOST));
    futures_util::future::join_all(calls).await;
    check_allowance(&targets, HOSTS * REQUESTS_PER_HOST);
}

// Guards against a full share of the repeats for a process whose restored store doesn't tell of the
// runs before it.
#[actix_rt::test]
async fn restores_between_restarts_give_a_service_no_further_share_of_repeats() {
    const STARTS: usize = 4;
    const REQUESTS_PER_START: usize = 30;
    let store = StoreStandin::start().await;
    store.put("op/config", &repeating_deployment().bytes());
    let targets = failing_targets(&store).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    for start in 0..STARTS {
        let host = gateway(&store, "host-1", "hall-a").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        send_failing(host.addrs.callers, start, REQUESTS_PER_START).await;
        host.stop().await;
        store.restore(begun.elapsed());
        assert_eq!(store.keys("hollowsail/").len(), 0, "the runs left no trace");
    }
    check_allowance(&targets, STARTS * REQUESTS_PER_START);
}

// Guards against a process that starts after a restore and takes the copy's word for a target that
// the others know to drain.
#[actix_rt::test]
async fn process_that_starts_after_a_restore_keeps_off_a_draining_target() {
    let fleet = Fleet::start().await;
    fleet.put(0, "draining");
    check_that_a_new_process_keeps_off_the_first_target(&fleet).await;
}

// The same for a target whose record had gone.
#[actix_rt::test]
async fn process_that_starts_after_a_restore_keeps_off_a_target_that_was_gone() {
    let fleet = Fleet::start().await;
    fleet.store.delete("servers/i-0");
    check_that_a_new_process_keeps_off_the_first_target(&fleet).await;
    // The target writes its record after all.
    fleet.put(0, "ready");
    wait_for_propagation().await;
    let [again, _] = fleet.requests_per_target(300).await;
    assert!(again > 50, "after the rewrite: {again} of 300");
}

/// Restores the store from a copy that has the first target as ready, and starts another entry.
async fn check_that_a_new_process_keeps_off_the_first_target(fleet: &Fleet) {
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    fleet.put(1, "ready");
    wait_for_entries("the entry is registered again", &fleet.store, 1).await;
    let started = gateway_at(settings("host-2", "hall-a", fleet.store.addr)).await;
    wait_for_propagation().await;
    let before = fleet.received();
    for _ in 0..24 {
        call().send(started.addrs.callers).await;
    }
    let after = fleet.received();
    assert_eq!(
        (after[0] - before[0], after[1] - before[1]),
        (0, 24),
        "the copy has the target as ready"
    );
}
