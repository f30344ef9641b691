//! Halls that operators evacuate: their targets get no new work.

use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreMode, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, gateway_at, plain_deployment, settings, wait_for_entries, Call,
};

/// Requests that must all avoid a hall.
const TRIES: usize = 12;

/// A plain target in each of two halls.
struct Halls {
    store: StoreStandin,
    a: TargetStandin,
    b: TargetStandin,
}

impl Halls {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/a/").bytes());
        let target = |body| {
            TargetStandin::start(move |request| vec![Step::Write(answer(request, 200, body))])
        };
        let (a, b) = (target("a").await, target("b").await);
        store.put_target("i-a", "plain", a.addr, "hall-a", "ready");
        store.put_target("i-b", "plain", b.addr, "hall-b", "ready");
        Halls { store, a, b }
    }

    fn evacuate(&self, hall: &str) {
        self.store.put(&format!("op/evacuate/{hall}"), b"{}");
    }

    fn reinstate(&self, hall: &str) {
        self.store.delete(&format!("op/evacuate/{hall}"));
    }
}

/// Sends requests until the named target serves one.
async fn until_served_by(gateway: &Running, name: &str) {
    for _ in 0..400 {
        if Call::new("GET", "/a/")
            .send(gateway.addrs.callers)
            .await
            .body
            == name
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("target {name} never served");
}

/// Expects the named target to serve all of [`TRIES`] requests.
async fn expect_only(gateway: &Running, name: &str) {
    for _ in 0..TRIES {
        let got = Call::new("GET", "/a/").send(gateway.addrs.callers).await;
        assert_eq!(got.body, name);
    }
}

#[actix_rt::test]
async fn evacuated_hall_is_unused_until_reinstated() {
    let halls = Halls::start().await;
    let gateway = gateway(&halls.store, "host-1", "hall-a").await;
    until_served_by(&gateway, "a").await;
    halls.evacuate("hall-a");
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_only(&gateway, "b").await;
    halls.reinstate("hall-a");
    until_served_by(&gateway, "a").await;
}

#[actix_rt::test]
async fn evacuation_moves_to_another_hall() {
    let halls = Halls::start().await;
    let gateway = gateway(&halls.store, "host-1", "hall-a").await;
    until_served_by(&gateway, "a").await;
    halls.evacuate("hall-a");
    tokio::time::sleep(Duration::from_millis(500)).await;
    halls.evacuate("hall-b");
    halls.reinstate("hall-a");
    until_served_by(&gateway, "a").await;
    expect_only(&gateway, "a").await;
}

#[actix_rt::test]
async fn new_entry_avoids_evacuated_hall() {
    let halls = Halls::start().await;
    halls.evacuate("hall-a");
    let gateway = gateway(&halls.store, "host-1", "hall-a").await;
    until_served_by(&gateway, "b").await;
    expect_only(&gateway, "b").await;
    assert!(halls.a.received().is_empty());
}

#[actix_rt::test]
async fn evacuation_is_learned_from_peers() {
    let halls = Halls::start().await;
    let endpoint = halls.store.add_endpoint().await;
    let _other = gateway(&halls.store, "host-1", "hall-a").await;
    let cut_off = gateway_at(settings("host-2", "hall-a", endpoint.addr)).await;
    wait_for_entries("both entries", &halls.store, 2).await;
    until_served_by(&cut_off, "a").await;
    endpoint.set_mode(StoreMode::Refusing);
    halls.evacuate("hall-a");
    // Two renewals of the lease, and a query to the peer.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    expect_only(&cut_off, "b").await;
    halls.reinstate("hall-a");
    until_served_by(&cut_off, "a").await;
}

#[actix_rt::test]
async fn evacuation_survives_lost_history() {
    let halls = Halls::start().await;
    let gateway = gateway(&halls.store, "host-1", "hall-a").await;
    until_served_by(&gateway, "a").await;
    halls.evacuate("hall-b");
    halls.reinstate("hall-b");
    halls.evacuate("hall-a");
    halls.store.compact_history();
    tokio::time::sleep(Duration::from_millis(900)).await;
    expect_only(&gateway, "b").await;
    let before = halls.a.received().len();
    expect_only(&gateway, "b").await;
    assert_eq!(halls.a.received().len(), before);
}

#[actix_rt::test]
async fn request_fails_fast_if_all_halls_evacuated() {
    let halls = Halls::start().await;
    let gateway = gateway(&halls.store, "host-1", "hall-a").await;
    until_served_by(&gateway, "a").await;
    halls.evacuate("hall-a");
    halls.evacuate("hall-b");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = (halls.a.received().len(), halls.b.received().len());
    let sent = Instant::now();
    let got = Call::new("GET", "/a/").send(gateway.addrs.callers).await;
    assert!(sent.elapsed() < Duration::from_millis(100));
    assert_eq!(got.status, 503);
    assert!(got.body.starts_with("no_target"), "{}", got.body);
    assert!(got.header("Retry-After").is_some());
    assert_eq!((halls.a.received().len(), halls.b.received().len()), before);
}

#[actix_rt::test]
async fn pieces_fail_fast_if_hall_is_evacuated() {
    let store = StoreStandin::start().await;
    let stages = json!({ "stages": [{ "service": "encoders", "after": [], "bytes": 8000 }] });
    let deployment = DeploymentJson::new(1)
        .stage_service("encoders", 8, 20.0, 39.0)
        .service("plain")
        .route("/a/", "unsafe", "plain", stages);
    store.put("op/config", &deployment.bytes());
    let plain =
        TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "done"))]).await;
    store.put_target("i-1", "plain", plain.addr, "hall-b", "ready");
    let encoder = TargetStandin::start(|_| vec![Step::Wait(Duration::from_secs(9))]).await;
    store.put_target("e-a", "encoders", encoder.addr, "hall-a", "ready");
    let gateway = gateway(&store, "host-1", "hall-a").await;
    let call = Call::new("GET", "/a/")
        .with("X-Pieces", "1")
        .with("X-Piece-Key", "k");
    let _pending = call.begin(gateway.addrs.callers).await;
    eventually("a call for a piece", || !encoder.received().is_empty()).await;
    store.put("op/evacuate/hall-a", b"{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = encoder.received().len();
    let sent = Instant::now();
    let got = call.send(gateway.addrs.callers).await;
    assert!(sent.elapsed() < Duration::from_millis(100));
    assert_eq!(got.status, 503);
    assert_eq!(encoder.received().len(), before);
}
