//! A store that is restored from a copy some seconds old.
//!
//! Later writes are lost, their revisions are assigned again, and a new epoch begins.
//! Operators and targets write their keys again on their own; entries must rewrite theirs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreMode, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, gateway_at, plain_deployment, settings, wait_for_entries, Call,
};

/// Length of the lost history: shorter than the time before a test's first change.
pub const LOST_HISTORY: Duration = Duration::from_millis(900);
/// Time within which entries must have rewritten their keys.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which draining must take effect, as in the settings.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

pub async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |request| vec![Step::Write(answer(request, 200, body))]).await
}

pub fn call() -> Call {
    Call::new("GET", "/a/x")
}

/// A store with a configuration and a target in each of two halls, all older than the lost
/// history, and an entry that uses them.
pub struct Fleet {
    pub store: StoreStandin,
    targets: [TargetStandin; 2],
    entry: Running,
}

const HALLS: [&str; 2] = ["hall-a", "hall-b"];

impl Fleet {
    pub async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/a/").bytes());
        let targets = [target("first").await, target("second").await];
        let fleet = Fleet {
            entry: gateway(&store, "host-1", "hall-a").await,
            store,
            targets,
        };
        fleet.put(0, "ready");
        fleet.put(1, "ready");
        wait_for_entries("the entry is registered", &fleet.store, 1).await;
        tokio::time::sleep(LOST_HISTORY + Duration::from_millis(300)).await;
        fleet
    }

    pub fn put(&self, number: usize, state: &str) {
        let id = format!("i-{number}");
        let addr = self.targets[number].addr;
        self.store
            .put_target(&id, "plain", addr, HALLS[number], state);
    }

    /// Writes unrelated keys, so that the lost history has many revisions.
    pub fn write_unrelated_keys(&self) {
        (0..40).for_each(|number| self.store.put(&format!("other/{number}"), b"x"));
    }

    pub fn callers_addr(&self) -> SocketAddr {
        self.entry.addrs.callers
    }

    /// Sends requests and returns how many each target received.
    pub async fn requests_per_target(&self, requests: usize) -> [usize; 2] {
        let before = self.received();
        for _ in 0..requests {
            call().send(self.callers_addr()).await;
        }
        let after = self.received();
        [after[0] - before[0], after[1] - before[1]]
    }

    pub fn received(&self) -> [usize; 2] {
        [
            self.targets[0].received().len(),
            self.targets[1].received().len(),
        ]
    }
}

pub async fn wait_for_propagation() {
    tokio::time::sleep(Duration::from_millis(600)).await;
}

#[actix_rt::test]
async fn drain_after_restore_takes_effect() {
    let fleet = Fleet::start().await;
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    fleet.put(0, "draining");
    wait_for_propagation().await;
    let [draining, other] = fleet.requests_per_target(24).await;
    assert_eq!(
        (draining, other),
        (0, 24),
        "draining takes effect despite the lower revision"
    );
}

#[actix_rt::test]
async fn target_added_after_restore_is_used() {
    let fleet = Fleet::start().await;
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    let third = target("third").await;
    fleet
        .store
        .put_target("i-3", "plain", third.addr, "hall-a", "ready");
    let started = Instant::now();
    while third.received().is_empty() && started.elapsed() < Duration::from_secs(4) {
        call().send(fleet.callers_addr()).await;
    }
    assert!(
        started.elapsed() < Duration::from_secs(2),
        "the new target is used too late"
    );
}

/// The watch is open during the restore, and its revision is assigned again.
#[actix_rt::test]
async fn watch_across_epochs_misses_no_change() {
    let fleet = Fleet::start().await;
    fleet.store.put("servers/malformed", b"malformed");
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    // As many changes as were lost, and one more, so that the watch's revision exists
    // again.
    fleet.put(0, "draining");
    fleet.store.put("other/x", b"x");
    fleet.store.put("other/y", b"y");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let [draining, _] = fleet.requests_per_target(24).await;
    assert_eq!(draining, 0);
}

#[actix_rt::test]
async fn drain_lost_by_restore_stays_in_effect() {
    let fleet = Fleet::start().await;
    fleet.put(0, "draining");
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    wait_for_propagation().await;
    let [draining, other] = fleet.requests_per_target(24).await;
    assert_eq!(
        (draining, other),
        (0, 24),
        "the copy has the target as ready"
    );
}

#[actix_rt::test]
async fn restored_record_of_gone_target_is_unused() {
    let fleet = Fleet::start().await;
    fleet.store.delete("servers/i-0");
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    wait_for_propagation().await;
    let [gone, other] = fleet.requests_per_target(24).await;
    assert_eq!((gone, other), (0, 24), "the copy still has the record");
    fleet.put(0, "ready");
    wait_for_propagation().await;
    let [again, _] = fleet.requests_per_target(300).await;
    assert!(again > 50, "after the rewrite: {again} of 300");
}

/// The target rewrites its record within two seconds after the restore.
#[actix_rt::test]
async fn target_with_lost_record_stays_in_use() {
    let fleet = Fleet::start().await;
    let third = target("third").await;
    let put = || {
        fleet
            .store
            .put_target("i-3", "plain", third.addr, "hall-a", "ready");
    };
    put();
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    wait_for_propagation().await;
    let before = third.received().len();
    fleet.requests_per_target(60).await;
    assert!(third.received().len() > before, "no delete was reported");
    put();
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let before = third.received().len();
    fleet.requests_per_target(60).await;
    assert!(third.received().len() > before);
}

#[actix_rt::test]
async fn evacuation_lost_by_restore_stays_in_force() {
    let fleet = Fleet::start().await;
    fleet.store.put("op/evacuate/hall-a", b"");
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    let [evacuated, _] = fleet.requests_per_target(24).await;
    wait_for_propagation().await;
    let [still, other] = fleet.requests_per_target(24).await;
    assert_eq!((evacuated, still, other), (0, 0, 24));
    fleet.store.put("op/evacuate/hall-a", b"");
    wait_for_propagation().await;
    fleet.store.delete("op/evacuate/hall-a");
    wait_for_propagation().await;
    let [again, _] = fleet.requests_per_target(300).await;
    assert!(again > 50, "reinstated in the new epoch: {again} of 300");
}

#[actix_rt::test]
async fn lost_configuration_stays_in_force() {
    let fleet = Fleet::start().await;
    let newer = plain_deployment(2, "/b/").bytes();
    fleet.store.put("op/config", &newer);
    wait_for_propagation().await;
    assert_eq!(
        Call::new("GET", "/b/x")
            .send(fleet.callers_addr())
            .await
            .status,
        200
    );
    fleet.store.restore(LOST_HISTORY);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let reply = Call::new("GET", "/b/x").send(fleet.callers_addr()).await;
        assert_eq!(reply.status, 200, "the older configuration must not return");
    }
    fleet.store.put("op/config", &newer);
    wait_for_propagation().await;
    assert_eq!(
        Call::new("GET", "/b/x")
            .send(fleet.callers_addr())
            .await
            .status,
        200
    );
    let newest = plain_deployment(3, "/c/").bytes();
    fleet.store.put("op/config", &newest);
    wait_for_propagation().await;
    assert_eq!(
        Call::new("GET", "/c/x")
            .send(fleet.callers_addr())
            .await
            .status,
        200
    );
}

#[actix_rt::test]
async fn entries_rewrite_lost_records() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut entries = Vec::new();
    for number in 0..6 {
        entries.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    wait_for_entries("all entries are registered", &store, 6).await;
    let before = store.keys("hollowsail/peers/");
    store.restore(Duration::from_secs(30));
    assert_eq!(
        store.keys("hollowsail/peers/").len(),
        0,
        "all records are lost"
    );
    let started = Instant::now();
    wait_for_entries("all entries are registered again", &store, 6).await;
    assert!(
        started.elapsed() < REWRITE_TIMEOUT,
        "{:?}",
        started.elapsed()
    );
    assert_eq!(
        store.keys("hollowsail/peers/"),
        before,
        "the runs are the same"
    );
}

/// Lease numbers are assigned again, so an entry's old number may belong to another entry.
#[actix_rt::test]
async fn stop_after_restore_keeps_other_leases() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let first = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is registered", &store, 1).await;
    let second = gateway(&store, "host-2", "hall-a").await;
    wait_for_entries("both entries are registered", &store, 2).await;
    store.restore(Duration::from_secs(30));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    wait_for_entries("both entries are registered again", &store, 2).await;
    first.stop().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let left = store.keys("hollowsail/peers/");
    assert_eq!(left.len(), 1, "only the second entry's record: {left:?}");
    let _second = second;
}

#[actix_rt::test]
async fn two_restores_in_a_second_lose_nothing() {
    let fleet = Fleet::start().await;
    fleet.store.put("op/evacuate/hall-a", b"");
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    fleet.store.restore(LOST_HISTORY);
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.store.restore(LOST_HISTORY);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let [evacuated, _] = fleet.requests_per_target(4).await;
        assert_eq!(evacuated, 0);
    }
    wait_for_entries("the entry is registered again", &fleet.store, 1).await;
}

/// The first call in the new epoch is a write whose response is lost.
#[actix_rt::test]
async fn restore_is_noticed_after_a_lost_response() {
    let fleet = Fleet::start().await;
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    fleet.store.set_mode(StoreMode::LosingAnswers);
    fleet.store.restore(LOST_HISTORY);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.put(0, "draining");
    let until = Instant::now() + Duration::from_secs(4);
    loop {
        let [draining, _] = fleet.requests_per_target(12).await;
        if draining == 0 {
            break;
        }
        assert!(
            Instant::now() < until,
            "the draining target still gets requests"
        );
    }
}

/// The store is silent for less time than an outage needs to be detected, and targets
/// unknown to the copy start meanwhile.
#[actix_rt::test]
async fn restore_during_silence_and_rack_start() {
    let fleet = Fleet::start().await;
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    let rack = [target("third").await, target("fourth").await];
    let put = || {
        for (number, target) in rack.iter().enumerate() {
            let id = format!("i-rack-{number}");
            fleet
                .store
                .put_target(&id, "plain", target.addr, "hall-a", "ready");
        }
    };
    put();
    fleet.put(0, "draining");
    wait_for_propagation().await;
    fleet.store.set_mode(StoreMode::Silent);
    fleet.store.restore(LOST_HISTORY);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Up);
    put();
    let started = Instant::now();
    while started.elapsed() < DRAIN_TIMEOUT {
        let [draining, _] = fleet.requests_per_target(4).await;
        assert_eq!(draining, 0, "it was draining before the restore");
    }
    let before: Vec<usize> = rack.iter().map(|target| target.received().len()).collect();
    fleet.requests_per_target(60).await;
    for (target, before) in rack.iter().zip(before) {
        assert!(target.received().len() > before, "the new targets serve");
    }
    wait_for_entries("the entry is registered again", &fleet.store, 1).await;
}

/// One entry is cut off from the store during the restore and knows only the old epoch.
#[actix_rt::test]
async fn entry_that_missed_restore_catches_up() {
    let fleet = Fleet::start().await;
    let endpoint = fleet.store.add_endpoint().await;
    let other = gateway_at(settings("host-2", "hall-a", endpoint.addr)).await;
    wait_for_entries("both entries are registered", &fleet.store, 2).await;
    tokio::time::sleep(LOST_HISTORY + Duration::from_millis(300)).await;
    fleet.write_unrelated_keys();
    wait_for_propagation().await;
    endpoint.set_mode(StoreMode::Silent);
    fleet.store.restore(LOST_HISTORY);
    fleet.put(0, "draining");
    fleet.store.put("op/evacuate/hall-b", b"");
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let before = fleet.received();
    for _ in 0..12 {
        let refused = call().send(other.addrs.callers).await;
        assert_eq!(
            refused.status, 503,
            "the cut-off entry has the other's state"
        );
        let refused = call().send(fleet.callers_addr()).await;
        assert_eq!(
            refused.status, 503,
            "no old state spread to the first entry"
        );
    }
    assert_eq!(fleet.received(), before);
    endpoint.set_mode(StoreMode::Up);
    fleet.store.delete("op/evacuate/hall-b");
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    assert_eq!(call().send(other.addrs.callers).await.status, 200);
}

/// The entry that wrote a lost refusal writes it again with the remaining time.
#[actix_rt::test]
async fn refusal_survives_restore() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut targets = Vec::new();
    for number in 0..5 {
        let target = TargetStandin::start(|_| vec![Step::Crash]).await;
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
        targets.push(target);
    }
    let entry = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is registered", &store, 1).await;
    wait_for_propagation().await;
    let fatal = call().body("fatal");
    let refused = || store.keys("hollowsail/refused/").len();
    for _ in 0..8 {
        fatal.send(entry.addrs.callers).await;
    }
    eventually("the request is refused", || refused() == 1).await;
    let crashed = targets.iter().filter(|target| target.has_crashed()).count();
    store.restore(Duration::from_secs(30));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    for (number, target) in targets.iter().enumerate() {
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
    }
    eventually("the refusal is written again", || refused() == 1).await;
    for _ in 0..8 {
        assert_eq!(fatal.send(entry.addrs.callers).await.status, 503);
    }
    let after = targets.iter().filter(|target| target.has_crashed()).count();
    assert_eq!(after, crashed, "no other target crashes");
}

/// Run-once requests must not depend on state in the store.
#[actix_rt::test]
async fn run_once_request_is_sent_once_over_restore() {
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1).service("plain").route(
        "/once/",
        "unsafe",
        "plain",
        json!({ "max_attempts": 3 }),
    );
    store.put("op/config", &deployment.bytes());
    let silent = TargetStandin::start(|_| vec![Step::Wait(Duration::from_secs(1)), Step::Reset]);
    let (first, second) = (silent.await, target("second").await);
    store.put_target("i-0", "plain", first.addr, "hall-a", "ready");
    let entry = gateway(&store, "host-1", "hall-a").await;
    wait_for_entries("the entry is registered", &store, 1).await;
    wait_for_propagation().await;
    let addr = entry.addrs.callers;
    let sent = actix_rt::spawn(async move {
        let once = Call::new("POST", "/once/x").with("X-Deadline-Ms", "4000");
        once.body("pay").send(addr).await
    });
    eventually("the request reached its target", || {
        first.received().len() == 1
    })
    .await;
    store.put_target("i-1", "plain", second.addr, "hall-a", "ready");
    store.restore(Duration::from_secs(30));
    store.put("op/config", &deployment.bytes());
    store.put_target("i-1", "plain", second.addr, "hall-a", "ready");
    let reply = sent.await.expect("request task completes");
    assert!(
        reply.status >= 500 && reply.status != 503,
        "the request may have run: {reply:?}"
    );
    assert_eq!((first.received().len(), second.received().len()), (1, 0));
}

#[actix_rt::test]
async fn fleet_records_are_back_in_two_seconds() {
    const ENTRIES: usize = 24;
    /// Limit of calls per entry within the two seconds: a lease, a record and the pages of
    /// three lists, before watches and renewals.
    const MAX_CALLS_PER_ENTRY: usize = 24;
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let hall = HALLS[number % 2];
        entries.push(gateway(&store, &format!("host-{number}"), hall).await);
    }
    wait_for_entries("all entries are registered", &store, ENTRIES).await;
    wait_for_propagation().await;
    store.restore(Duration::from_secs(60));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let (started, calls) = (Instant::now(), store.calls().len());
    wait_for_entries("all entries are registered again", &store, ENTRIES).await;
    let took = started.elapsed();
    tokio::time::sleep(REWRITE_TIMEOUT.saturating_sub(took)).await;
    let all = store.calls();
    let since = &all[calls..];
    let writes = since
        .iter()
        .filter(|call| call.contains("kv-txn") || call.contains("kv-lease"));
    let writes = writes.count();
    println!(
        "{ENTRIES} entries: registered again after {took:?}, {} calls, {writes} writes",
        since.len()
    );
    assert!(took < REWRITE_TIMEOUT, "{took:?}");
    assert!(writes <= 3 * ENTRIES, "{writes} writes");
    assert!(
        since.len() <= MAX_CALLS_PER_ENTRY * ENTRIES,
        "{} calls",
        since.len()
    );
}

/// Without epochs, changes are ordered by revision alone.
#[actix_rt::test]
async fn store_without_epochs_is_followed() {
    let store = StoreStandin::start().await;
    store.omit_epoch();
    let deployment =
        DeploymentJson::new(1)
            .service("plain")
            .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let target = target("served").await;
    let entry = gateway(&store, "host-1", "hall-a").await;
    store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
    eventually("the entry is registered", || {
        store.keys("hollowsail/peers/").len() == 1
    })
    .await;
    wait_for_propagation().await;
    assert_eq!(call().send(entry.addrs.callers).await.status, 200);
    store.put_target("i-1", "plain", target.addr, "hall-a", "draining");
    wait_for_propagation().await;
    assert_eq!(call().send(entry.addrs.callers).await.status, 503);
}
