//! Configuration and targets through the store's troubles.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Seen, Step, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{
    gateway, plain_deployment, ready_status, settings, until_entries, Call, Fixture,
};

async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |seen| vec![Step::Write(answer(seen, 200, body))]).await
}

/// A gateway that serves a path by one target.
async fn serving(version: u64, prefix: &str) -> (Fixture, TargetStandin) {
    let script = |seen: &Seen| vec![Step::Write(answer(seen, 200, "one"))];
    let (fixture, one) =
        Fixture::serving(&plain_deployment(version, prefix), "plain", script).await;
    until_status(&fixture, prefix, 200).await;
    (fixture, one)
}

async fn until_status(fixture: &Fixture, path: &str, status: u16) {
    until_status_at(fixture.gateway.at.callers, path, status).await;
}

/// Waits until a path is answered with a status.
async fn until_status_at(at: SocketAddr, path: &str, status: u16) {
    for _ in 0..400 {
        if Call::new("GET", path).send(at).await.status == status {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{path} was never answered with {status}");
}

#[actix_rt::test]
async fn a_new_version_is_in_force_soon_and_an_older_one_never_again() {
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
async fn a_configuration_that_cannot_be_read_changes_nothing() {
    let (fixture, _one) = serving(5, "/old/").await;
    fixture
        .store
        .put("op/config", b"{\"version\": 6, \"routes\": 3}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.call(&Call::new("GET", "/old/")).await.status, 200);
}

#[actix_rt::test]
async fn a_draining_target_gets_nothing_new() {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let (one, two) = (target("one").await, target("two").await);
    fixture.add("i-1", "plain", &one);
    fixture.add("i-2", "plain", &two);
    until_status(&fixture, "/a/", 200).await;
    fixture
        .store
        .put_target("i-1", "plain", one.addr, "hall-a", "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = one.seen().len();
    for _ in 0..12 {
        assert_eq!(fixture.call(&Call::new("GET", "/a/")).await.body, "two");
    }
    assert_eq!(one.seen().len(), before);
}

#[actix_rt::test]
async fn history_that_is_gone_is_read_anew() {
    let (fixture, _one) = serving(1, "/a/").await;
    fixture.store.delete("servers/i-1");
    fixture.store.forget_history();
    let two = target("two").await;
    fixture.add("i-2", "plain", &two);
    fixture
        .store
        .put("op/config", &plain_deployment(2, "/b/").bytes());
    fixture.store.forget_history();
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
    store.keep_old_reads();
    store.delete("servers/i-1");
    store.put_target("i-2", "plain", two.addr, "hall-a", "ready");
    (store, one, two)
}

/// Expects only the target `i-2` to be used, soon after a start.
async fn expect_the_newest_target(store: &StoreStandin, gone: &TargetStandin) {
    let gateway = gateway(store, "host-1", "hall-a").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = gone.seen().len();
    for _ in 0..8 {
        let got = Call::new("GET", "/a/").send(gateway.at.callers).await;
        assert_eq!(got.body, "two");
    }
    assert_eq!(gone.seen().len(), before);
}

#[actix_rt::test]
async fn lists_are_read_as_they_were_and_brought_up_to_date_at_once() {
    let (store, one, _two) = store_with_old_reads().await;
    expect_the_newest_target(&store, &one).await;
    let calls = store.calls();
    let lists = calls.iter().filter(|call| call.contains("kv-range"));
    let (old, fresh): (Vec<_>, Vec<_>) = lists.partition(|call| call.contains("stale_ok=1"));
    assert!(old.iter().any(|call| call.contains("servers/")));
    assert!(old
        .iter()
        .any(|call| call.contains("path_prefix=hollowsail/")));
    assert!(
        fresh.iter().all(|call| call.contains("path_prefix=op/")),
        "only the operators' keys, which must never go back: {fresh:?}"
    );
}

#[actix_rt::test]
async fn an_old_list_without_the_history_since_is_read_anew() {
    let (store, one, _two) = store_with_old_reads().await;
    store.forget_history();
    expect_the_newest_target(&store, &one).await;
}

#[actix_rt::test]
async fn targets_are_used_as_soon_as_their_page_of_the_list_is_there() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let one = target("one").await;
    for number in 0..18 {
        let id = format!("i-{number:02}");
        store.put_target(&id, "plain", one.addr, "hall-a", "ready");
    }
    store.set_page_time(Duration::from_millis(200));
    let gateway = gateway(&store, "host-1", "hall-a").await;
    until_status_at(gateway.at.callers, "/a/", 200).await;
    let calls = store.calls();
    let is_page = |call: &&String| call.contains("kv-range") && call.contains("servers/");
    let pages = calls.iter().filter(is_page).count();
    assert!(pages <= 4, "{pages} of six pages were asked for");
}

#[actix_rt::test]
async fn what_has_gone_does_not_come_back_by_an_old_list() {
    let (fixture, one) = serving(1, "/a/").await;
    fixture.store.keep_old_reads();
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
    let (seen, read) = (one.seen().len(), old_reads());
    fixture.store.forget_history();
    fixture
        .store
        .put("op/config", &plain_deployment(2, "/b/").bytes());
    fixture.store.forget_history();
    until_status(&fixture, "/b/", 200).await;
    for _ in 0..8 {
        assert_eq!(fixture.call(&Call::new("GET", "/b/")).await.body, "two");
    }
    assert_eq!(one.seen().len(), seen);
    assert_eq!(old_reads(), read, "the newest is read");
}

#[actix_rt::test]
async fn targets_whose_records_lapse_in_an_outage_serve_on() {
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
        "it may come back"
    );
    until_status(&fixture, "/a/", 503).await;
}

#[actix_rt::test]
async fn it_serves_on_while_the_store_is_silent() {
    let (fixture, _one) = serving(1, "/a/").await;
    fixture.store.set_mode(StoreMode::Silent);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(fixture.call(&Call::new("GET", "/a/")).await.status, 200);
    }
}

#[actix_rt::test]
async fn a_gateway_that_the_store_turns_away_learns_from_its_peers() {
    for mode in [StoreMode::Refusing, StoreMode::Silent] {
        let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
        let door = fixture.store.door().await;
        let away = hollowsail_gateway::start(
            settings("host-2", "hall-b", door.addr),
            Mechanisms::default(),
        )
        .await
        .expect("it starts");
        let (one, two) = (target("one").await, target("two").await);
        fixture.add("i-1", "plain", &one);
        until_status_at(away.at.callers, "/a/", 200).await;
        until_entries("both are recorded", &fixture.store, 2).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        door.set_mode(mode);
        fixture
            .store
            .put("op/config", &plain_deployment(2, "/b/").bytes());
        fixture.add("i-2", "plain", &two);
        fixture
            .store
            .put_target("i-1", "plain", one.addr, "hall-a", "draining");
        until_status_at(away.at.callers, "/b/", 200).await;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        for _ in 0..8 {
            let got = Call::new("GET", "/b/").send(away.at.callers).await;
            assert_eq!(got.body, "two", "{mode:?}");
        }
    }
}

#[actix_rt::test]
async fn a_gateway_that_starts_without_the_store_learns_from_its_seeds() {
    learns_from_its_seeds(1).await;
}

#[actix_rt::test]
async fn it_learns_a_configuration_of_version_0_too() {
    learns_from_its_seeds(0).await;
}

async fn learns_from_its_seeds(version: u64) {
    let (fixture, _one) = serving(version, "/a/").await;
    let door = fixture.store.door().await;
    door.set_mode(StoreMode::Refusing);
    let mut cold = settings("host-2", "hall-b", door.addr);
    cold.seeds = vec![fixture.gateway.at.peers];
    let cold = hollowsail_gateway::start(cold, Mechanisms::default())
        .await
        .expect("it starts");
    until_status_at(cold.at.callers, "/a/", 200).await;
    assert_eq!(ready_status(cold.at.readiness).await, 200);
}

#[actix_rt::test]
async fn two_gateways_before_one_store_both_serve() {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let one = target("one").await;
    fixture.add("i-1", "plain", &one);
    let second = gateway(&fixture.store, "host-2", "hall-b").await;
    until_status(&fixture, "/a/", 200).await;
    until_status_at(second.at.callers, "/a/", 200).await;
}

#[actix_rt::test]
async fn one_loop_asks_a_store_that_is_away_whether_it_is_back() {
    let (fixture, _one) = serving(5, "/a/").await;
    fixture.store.set_mode(StoreMode::Refusing);
    let before = fixture.store.calls().len();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let calls = fixture.store.calls();
    let asked = |what: &str| {
        let since = calls[before..].iter();
        since.filter(|call| call.contains(what)).count()
    };
    assert!(asked("kv-range?path_prefix=op/") >= 3, "{calls:?}");
    assert!(asked("kv-range?path_prefix=servers/") <= 1, "{calls:?}");
    assert!(asked("kv-range?path_prefix=hollowsail/") <= 1, "{calls:?}");
    fixture.store.set_mode(StoreMode::Up);
    let two = target("two").await;
    fixture.add("i-2", "plain", &two);
    for _ in 0..300 {
        if Call::new("GET", "/a/")
            .send(fixture.gateway.at.callers)
            .await
            .body
            == "two"
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the others go on once it is back");
}

/// A store that holds nothing, and a gateway before it.
async fn without_configuration() -> (StoreStandin, Running) {
    let store = StoreStandin::start().await;
    let running = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await
    .expect("it starts");
    (store, running)
}

#[actix_rt::test]
async fn a_request_waits_a_little_for_the_first_configuration() {
    let (store, running) = without_configuration().await;
    let at = running.at.callers;
    let early = actix_rt::spawn(async move { Call::new("GET", "/none/").send(at).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let got = early.await.expect("it is answered");
    assert_eq!(got.status, 404, "judged by the configuration: {got:?}");
}

#[actix_rt::test]
async fn a_request_is_refused_soon_when_no_configuration_comes() {
    let (_store, running) = without_configuration().await;
    let begun = Instant::now();
    let got = Call::new("GET", "/a/").send(running.at.callers).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.starts_with("no_configuration"), "{got:?}");
    assert!(got.header("retry-after").is_some());
    assert!(begun.elapsed() < Duration::from_secs(1));
}
