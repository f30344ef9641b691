//! Versions that operators roll out: a few requests try them, and versions that do worse
//! than the old one are rolled back.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Step, StoreMode, StoreStandin, TargetStandin};
use serde_json::{json, Value};

use crate::fixture::{eventually, gateway, plain_deployment, Call};

const TARGETS: usize = 4;

/// A plain service with targets of two versions; the new ones appear with the order.
struct Site {
    store: StoreStandin,
    old: Vec<TargetStandin>,
    new: Vec<TargetStandin>,
}

/// Starts a target that answers with its version; every `fails`th request fails.
async fn target(version: &'static str, fails: usize) -> TargetStandin {
    TargetStandin::start(move |request| {
        let status = match fails > 0 && request.earlier_requests % fails == 0 {
            true => 500,
            false => 200,
        };
        vec![Step::Write(answer(request, status, version))]
    })
    .await
}

impl Site {
    async fn start(new_fails: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/a/").bytes());
        let (mut old, mut new) = (Vec::new(), Vec::new());
        for index in 0..TARGETS {
            old.push(target("v1", 0).await);
            new.push(target("v2", new_fails).await);
            store.put_target_version(&format!("old-{index}"), "plain", old[index].addr, "v1");
        }
        Site { store, old, new }
    }

    /// Orders the new version and adds its targets.
    fn order(&self, within_s: f64) {
        self.order_version("v2", within_s);
        for (index, target) in self.new.iter().enumerate() {
            self.store
                .put_target_version(&format!("new-{index}"), "plain", target.addr, "v2");
        }
    }

    fn order_version(&self, version: &str, within_s: f64) {
        let order = json!({
            "service": "plain", "target_version": version, "duration_s": within_s,
        });
        let order = order.to_string();
        self.store.put("op/rollout/plain", order.as_bytes());
    }

    /// State and version of the status that operators read.
    fn status(&self) -> Option<(String, String)> {
        let status = self.store.value("status/rollout/plain")?;
        let status: Value = serde_json::from_slice(&status).expect("status is JSON");
        let field = |name: &str| status[name].as_str().unwrap_or_default().to_string();
        Some((field("state"), field("target_version")))
    }

    fn has_state(&self, state: &str) -> bool {
        self.status().is_some_and(|(known, _)| known == state)
    }

    fn received_by_new(&self) -> usize {
        self.new.iter().map(|target| target.received().len()).sum()
    }

    fn received_by_old(&self) -> usize {
        self.old.iter().map(|target| target.received().len()).sum()
    }
}

/// Sends batches of requests until `is_over`, at most for `timeout`. Returns how many were
/// sent.
async fn send_until(gateways: &[&Running], timeout: Duration, is_over: impl Fn() -> bool) -> usize {
    let until = Instant::now() + timeout;
    let sent = Rc::new(Cell::new(0));
    while !is_over() {
        assert!(Instant::now() < until, "not reached within {timeout:?}");
        let calls = gateways.iter().flat_map(|gateway| {
            let addr = gateway.addrs.callers;
            (0..4).map(move |_| async move { Call::new("GET", "/a/").send(addr).await })
        });
        let answers = futures_util::future::join_all(calls).await;
        sent.set(sent.get() + answers.len());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    sent.get()
}

async fn until_served(gateway: &Running) {
    for _ in 0..400 {
        if Call::new("GET", "/a/")
            .send(gateway.addrs.callers)
            .await
            .status
            == 200
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no request was served");
}

#[actix_rt::test]
async fn failing_version_is_rolled_back() {
    let site = Site::start(2).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    let before = site.received_by_old();
    site.order(10.0);
    let sent = send_until(&[&gateway], Duration::from_secs(10), || {
        site.has_state("rolled_back")
    })
    .await;
    let to_new = site.received_by_new();
    assert!(
        to_new * 10 <= sent + 500,
        "{to_new} of {sent} went to the new version"
    );
    assert!(site.received_by_old() - before > sent / 2);
    assert_eq!(site.status(), Some(("rolled_back".into(), "v2".into())));
    send_for(&gateway, Duration::from_millis(600)).await;
    assert_eq!(
        site.received_by_new(),
        to_new,
        "requests after the roll-back"
    );
}

async fn send_for(gateway: &Running, time: Duration) {
    let until = Instant::now() + time;
    send_until(&[gateway], time * 4, || Instant::now() > until).await;
}

#[actix_rt::test]
async fn healthy_version_completes_in_time() {
    let site = Site::start(0).await;
    let first = gateway(&site.store, "host-1", "hall-a").await;
    let second = gateway(&site.store, "host-2", "hall-a").await;
    until_served(&first).await;
    until_served(&second).await;
    let ordered = Instant::now();
    site.order(8.0);
    let both = [&first, &second];
    let completed = || site.has_state("completed");
    send_until(&both, Duration::from_secs(8), completed).await;
    assert!(ordered.elapsed() < Duration::from_secs(8));
    let to_old = site.received_by_old();
    send_for(&first, Duration::from_millis(300)).await;
    send_for(&second, Duration::from_millis(300)).await;
    assert_eq!(
        site.received_by_old(),
        to_old,
        "requests to the old version after completion"
    );
    assert!(site.received_by_new() > 0);
}

#[actix_rt::test]
async fn canary_gets_a_small_share() {
    let site = Site::start(0).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    site.order(60.0);
    eventually("the roll-out runs", || site.has_state("running")).await;
    let until = Instant::now() + Duration::from_secs(3);
    let sent = send_until(&[&gateway], Duration::from_secs(9), || {
        Instant::now() > until
    })
    .await;
    let to_new = site.received_by_new();
    assert!(to_new > 0, "no request reached the new version");
    assert!(to_new * 10 <= sent + 100, "{to_new} of {sent}");
}

#[actix_rt::test]
async fn late_entry_learns_the_verdict() {
    let site = Site::start(1).await;
    let first = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&first).await;
    site.order(10.0);
    let rolled_back = || site.has_state("rolled_back");
    send_until(&[&first], Duration::from_secs(10), rolled_back).await;
    let to_new = site.received_by_new();
    let second = gateway(&site.store, "host-2", "hall-a").await;
    until_served(&second).await;
    send_for(&second, Duration::from_millis(1_500)).await;
    assert_eq!(site.received_by_new(), to_new);
    assert!(site.has_state("rolled_back"));
}

#[actix_rt::test]
async fn withdrawn_order_is_rolled_back() {
    let site = Site::start(0).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    site.order(60.0);
    eventually("the roll-out runs", || site.has_state("running")).await;
    site.store.delete("op/rollout/plain");
    eventually("the roll-out is rolled back", || {
        site.has_state("rolled_back")
    })
    .await;
    let to_new = site.received_by_new();
    send_for(&gateway, Duration::from_millis(500)).await;
    assert_eq!(site.received_by_new(), to_new);
}

#[actix_rt::test]
async fn next_order_starts_over() {
    let site = Site::start(1).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    site.order(10.0);
    let rolled_back = || site.has_state("rolled_back");
    send_until(&[&gateway], Duration::from_secs(10), rolled_back).await;
    site.order_version("v3", 60.0);
    eventually("the next roll-out runs", || {
        site.status() == Some(("running".into(), "v3".into()))
    })
    .await;
}

#[actix_rt::test]
async fn malformed_order_is_ignored() {
    let site = Site::start(0).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    site.store
        .put("op/rollout/plain", b"{\"service\":\"plain\"}");
    send_for(&gateway, Duration::from_millis(800)).await;
    assert_eq!(site.status(), None);
}

#[actix_rt::test]
async fn rollback_does_not_wait_for_the_store() {
    let site = Site::start(1).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    site.order(20.0);
    eventually("the roll-out runs", || site.has_state("running")).await;
    send_until(&[&gateway], Duration::from_secs(5), || {
        site.received_by_new() > 0
    })
    .await;
    site.store.set_mode(StoreMode::Refusing);
    send_for(&gateway, Duration::from_millis(3_500)).await;
    let to_new = site.received_by_new();
    send_for(&gateway, Duration::from_millis(800)).await;
    assert_eq!(
        site.received_by_new(),
        to_new,
        "rolled back without the store"
    );
    site.store.set_mode(StoreMode::Up);
    eventually("the verdict is written", || site.has_state("rolled_back")).await;
}

#[actix_rt::test]
async fn unordered_version_is_held_back() {
    let site = Site::start(0).await;
    let gateway = gateway(&site.store, "host-1", "hall-a").await;
    until_served(&gateway).await;
    // The old version must have been known for a while.
    tokio::time::sleep(Duration::from_millis(900)).await;
    site.store
        .put_target_version("new-0", "plain", site.new[0].addr, "v2");
    send_for(&gateway, Duration::from_millis(500)).await;
    assert_eq!(site.received_by_new(), 0, "an order may still arrive");
    send_until(&[&gateway], Duration::from_secs(4), || {
        site.received_by_new() > 0
    })
    .await;
}
