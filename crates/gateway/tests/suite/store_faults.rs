//! Configuration and targets while the store fails, lags or loses its history.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{
    gateway, plain_deployment, ready_status, settings, wait_for_entries, Call, Fixture,
};

async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |request| vec![Step::Write(answer(request, 200, body))]).await
}

/// Starts a gateway that serves a path by one target.
async fn serving(version: u64, prefix: &str) -> (Fixture, TargetStandin) {
    let script = |request: &ReceivedRequest| vec![Step::Write(answer(request, 200, "one"))];
    let (fixture, one) =
        Fixture::serving(&plain_deployment(version, prefix), "plain", script).await;
    until_status(&fixture, prefix, 200).await;
    (fixture, one)
}

async fn until_status(fixture: &Fixture, path: &str, status: u16) {
    until_status_at(fixture.gateway.addrs.callers, path, status).await;
}

async fn until_status_at(addr: SocketAddr, path: &str, status: u16) {
    for _ in 0..400 {
        if Call::new("GET", path).send(addr).await.status == status {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{path} never returned status {status}");
}

#[actix_rt::test]
async fn newer_configuration_wins_older_is_ignored() {
    let (fixture, _one) = serving(5, "/old/").await;
    fixture
        .store
        .put("op/config", &plain_deployment(9, "/new/").bytes());
    until_status(&fixture, "/new/", 200).await;
    assert_eq!(fixture.call(&Call::new("GET", "/old/")).await.status, 404);
    fixture
        .store
        .put("op/config", &plain_deployment(6, "/old/").bytes());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.call(&Call::new("GET", "/new/")).await.status, 200);
}

#[actix_rt::test]
async fn malformed_configuration_is_ignored() {
    let (fixture, _one) = serving(5, "/old/").await;
    fixture
        .store
        .put("op/config", b"{\"version\": 6, \"routes\": 3}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.call(&Call::new("GET", "/old/")).await.status, 200);
}

#[actix_rt::test]
async fn draining_target_gets_no_requests() {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let (one, two) = (target("one").await, target("two").await);
    fixture.add("i-1", "plain", &one);
    fixture.add("i-2", "plain", &two);
    until_status(&fixture, "/a/", 200).await;
    fixture
        .store
        .put_target("i-1", "plain", one.addr, "hall-a", "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = one.received().len();
    for _ in 0..12 {
        assert_eq!(fixture.call(&Call::new("GET", "/a/")).await.body, "two");
    }
    assert_eq!(one.received().len(), before);
}

#[actix_rt::test]
async fn lost_history_triggers_a_fresh_read() {
    let (fixture, _one) = serving(1, "/a/").await;
    fixture.store.delete("servers/i-1");
    fixture.store.compact_history();
    let two = target("two").await;
    fixture.add("i-2", "plain", &two);
    fixture
        .store
        .put("op/config", &plain_deployment(2, "/b/").bytes());
    fixture.store.compact_history();
    until_status(&fixture, "/b/", 200).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&Call::new("GET", "/b/")).await.body, "two");
    }
}

/// A store whose old reads list the target `i-1`, while by now there is only `i-2`.
async fn store_with_old_reads() -> (StoreStandin, TargetStandin, TargetStandin) {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let (one, two) = (target("one").await, target("two").await);
    store.put_target("i-1", "plain", one.addr, "hall-a", "ready");
    store.freeze_stale_reads();
    store.delete("servers/i-1");
    store.put_target("i-2", "plain", two.addr, "hall-a", "ready");
    (store, one, two)
}

/// Starts a gateway and expects it to use only the target `i-2`.
async fn expect_only_newest_target(store: &StoreStandin, gone: &TargetStandin) {
    let gateway = gateway(store, "host-1", "hall-a").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = gone.received().len();
    for _ in 0..8 {
        let got = Call::new("GET", "/a/").send(gateway.addrs.callers).await;
        assert_eq!(got.body, "two");
    }
    assert_eq!(gone.received().len(), before);
}

#[actix_rt::test]
async fn stale_lists_are_updated_by_the_watch() {
    let (store, one, _two) = store_with_old_reads().await;
    expect_only_newest_target(&store, &one).await;
    let calls = store.calls();
    let lists = calls.iter().filter(|call| call.contains("kv-range"));
    let (old, fresh): (Vec<_>, Vec<_>) = lists.partition(|call| call.contains("stale_ok=1"));
    assert!(old.iter().any(|call| call.contains("servers/")));
    assert!(old
        .iter()
        .any(|call| call.contains("path_prefix=hollowsail/")));
    assert!(
        fresh.iter().all(|call| call.contains("path_prefix=op/")),
        "only the operators' keys need a fresh read: {fresh:?}"
    );
}

#[actix_rt::test]
async fn stale_list_without_history_is_reread() {
    let (store, one, _two) = store_with_old_reads().await;
    store.compact_history();
    expect_only_newest_target(&store, &one).await;
}

#[actix_rt::test]
async fn targets_are_used_page_by_page() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let one = target("one").await;
    for number in 0..18 {
        let id = format!("i-{number:02}");
        store.put_target(&id, "plain", one.addr, "hall-a", "ready");
    }
    store.set_page_delay(Duration::from_millis(200));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    until_status_at(gateway.addrs.callers, "/a/", 200).await;
    let calls = store.calls();
    let is_page = |call: &&String| call.contains("kv-range") && call.contains("servers/");
    let pages = calls.iter().filter(is_page).count();
    assert!(pages <= 4, "{pages} of six pages were requested");
}

#[actix_rt::test]
async fn stale_list_revives_no_deleted_target() {
    let (fixture, one) = serving(1, "/a/").await;
    fixture.store.freeze_stale_reads();
    let two = target("two").await;
    fixture.add("i-2", "plain", &two);
    fixture.store.delete("servers/i-1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old_reads = || {
        let calls = fixture.store.calls();
        calls
            .iter()
            .filter(|call| call.contains("stale_ok=1"))
            .count()
    };
    let (seen_before, reads_before) = (one.received().len(), old_reads());
    fixture.store.compact_history();
    fixture
        .store
        .put("op/config", &plain_deployment(2, "/b/").bytes());
    fixture.store.compact_history();
    until_status(&fixture, "/b/", 200).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&Call::new("GET", "/b/")).await.body, "two");
    }
    assert_eq!(one.received().len(), seen_before);
    assert_eq!(old_reads(), reads_before, "no stale read after startup");
}

#[actix_rt::test]
async fn records_expired_in_an_outage_stay_in_use() {
    let (fixture, _one) = serving(1, "/a/").await;
    fixture.store.set_mode(StoreMode::Refusing);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.store.delete("servers/i-1");
    assert_eq!(fixture.call(&Call::new("GET", "/a/")).await.status, 200);
    fixture.store.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(
        fixture.call(&Call::new("GET", "/a/")).await.status,
        200,
        "the record may reappear"
    );
    until_status(&fixture, "/a/", 503).await;
}

#[actix_rt::test]
async fn silent_store_does_not_stop_requests() {
    let (fixture, _one) = serving(1, "/a/").await;
    fixture.store.set_mode(StoreMode::Silent);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.call(&Call::new("GET", "/a/")).await.status, 200);
    }
}

#[actix_rt::test]
async fn gateway_without_store_learns_from_peers() {
    for mode in [StoreMode::Refusing, StoreMode::Silent] {
        let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
        let endpoint = fixture.store.add_endpoint().await;
        let cut_off = hollowsail_gateway::start(
            settings("host-2", "hall-b", endpoint.addr),
            Mechanisms::default(),
        )
        .await
        .expect("gateway starts");
        let (one, two) = (target("one").await, target("two").await);
        fixture.add("i-1", "plain", &one);
        until_status_at(cut_off.addrs.callers, "/a/", 200).await;
        wait_for_entries("both entries are registered", &fixture.store, 2).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        endpoint.set_mode(mode);
        fixture
            .store
            .put("op/config", &plain_deployment(2, "/b/").bytes());
        fixture.add("i-2", "plain", &two);
        fixture
            .store
            .put_target("i-1", "plain", one.addr, "hall-a", "draining");
        until_status_at(cut_off.addrs.callers, "/b/", 200).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        for _ in 0..8 {
            let got = Call::new("GET", "/b/").send(cut_off.addrs.callers).await;
            assert_eq!(got.body, "two", "{mode:?}");
        }
    }
}

#[actix_rt::test]
async fn start_without_store_learns_from_seeds() {
    expect_learned_from_seeds(1).await;
}

#[actix_rt::test]
async fn version_0_is_learned_from_seeds() {
    expect_learned_from_seeds(0).await;
}

async fn expect_learned_from_seeds(version: u64) {
    let (fixture, _one) = serving(version, "/a/").await;
    let endpoint = fixture.store.add_endpoint().await;
    endpoint.set_mode(StoreMode::Refusing);
    let mut starting = settings("host-2", "hall-b", endpoint.addr);
    starting.seeds = vec![fixture.gateway.addrs.peers];
    let starting = hollowsail_gateway::start(starting, Mechanisms::default())
        .await
        .expect("gateway starts");
    until_status_at(starting.addrs.callers, "/a/", 200).await;
    assert_eq!(ready_status(starting.addrs.readiness).await, 200);
}

#[actix_rt::test]
async fn two_gateways_share_one_store() {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let one = target("one").await;
    fixture.add("i-1", "plain", &one);
    let second = gateway(&fixture.store, "host-2", "hall-b").await;
    until_status(&fixture, "/a/", 200).await;
    until_status_at(second.addrs.callers, "/a/", 200).await;
}

#[actix_rt::test]
async fn only_one_loop_probes_unreachable_store() {
    let (fixture, _one) = serving(5, "/a/").await;
    fixture.store.set_mode(StoreMode::Refusing);
    let before = fixture.store.calls().len();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let calls = fixture.store.calls();
    let count = |text: &str| {
        let since = calls[before..].iter();
        since.filter(|call| call.contains(text)).count()
    };
    assert!(count("kv-range?path_prefix=op/") >= 3, "{calls:?}");
    assert!(count("kv-range?path_prefix=servers/") <= 1, "{calls:?}");
    assert!(count("kv-range?path_prefix=hollowsail/") <= 1, "{calls:?}");
    fixture.store.set_mode(StoreMode::Up);
    let two = target("two").await;
    fixture.add("i-2", "plain", &two);
    for _ in 0..300 {
        if Call::new("GET", "/a/")
            .send(fixture.gateway.addrs.callers)
            .await
            .body
            == "two"
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the other loops did not resume once the store was reachable");
}

/// Starts an empty store and a gateway that uses it.
async fn start_without_configuration() -> (StoreStandin, Running) {
    let store = StoreStandin::start().await;
    let running = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await
    .expect("gateway starts");
    (store, running)
}

#[actix_rt::test]
async fn request_waits_for_first_configuration() {
    let (store, running) = start_without_configuration().await;
    let addr = running.addrs.callers;
    let early = actix_rt::spawn(async move { Call::new("GET", "/none/").send(addr).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let got = early.await.expect("request task completes");
    assert_eq!(
        got.status, 404,
        "the configuration has no such route: {got:?}"
    );
}

#[actix_rt::test]
async fn request_without_configuration_gets_503() {
    let (_store, running) = start_without_configuration().await;
    let started = Instant::now();
    let got = Call::new("GET", "/a/").send(running.addrs.callers).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.starts_with("no_configuration"), "{got:?}");
    assert!(got.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_secs(1));
}
