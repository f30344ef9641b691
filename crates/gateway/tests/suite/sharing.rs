//! Several gateways that share targets: one owner batches or schedules for all of them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_fleet::rendezvous;
use hollowsail_platform_standins::target::results;
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, put_entry_record, single_event_stream, stage_runs, wait_for_entries, Call,
    EntryRecord,
};

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, 150.0, 10.0)
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
}

fn request(number: usize) -> Call {
    Call::new("POST", "/staged/")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Pieces", "1")
        .with("X-Piece-Key", "the-key")
        .body("prompt")
}

/// Has three gateways share a worker; `edit_store` runs before the calls.
async fn check_shared_worker(edit_store: impl Fn(&StoreStandin)) {
    check_shared_worker_in_fleet(0, edit_store).await;
}

/// A worker that takes 150 ms for each call and counts calls that overlap.
struct SharedWorker {
    target: TargetStandin,
    overlaps: Rc<Cell<usize>>,
}

impl SharedWorker {
    async fn start() -> Self {
        let active = Rc::new(Cell::new(0));
        let overlaps = Rc::new(Cell::new(0));
        let (busy, overlap_count) = (active.clone(), overlaps.clone());
        let target = TargetStandin::start(move |request| {
            if request.path != "/-/stage-run" {
                return vec![Step::Write(results(request, "producer"))];
            }
            busy.set(busy.get() + 1);
            if busy.get() > 1 {
                overlap_count.set(overlap_count.get() + 1);
            }
            let (busy, answer) = (busy.clone(), results(request, "producer"));
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(140)).await;
                busy.set(busy.get() - 1);
            });
            vec![Step::Wait(Duration::from_millis(150)), Step::Write(answer)]
        })
        .await;
        SharedWorker { target, overlaps }
    }

    /// Number of calls with pieces so far.
    fn calls(&self) -> usize {
        stage_runs(&self.target).len()
    }
}

/// Starts a store with a worker, an engine and `others` recorded entries on small hosts.
async fn store_with_worker(others: usize) -> (StoreStandin, SharedWorker, TargetStandin) {
    let store = StoreStandin::start().await;
    (0..others).for_each(|number| put_small_entry(&store, number));
    store.put("op/config", &deployment().bytes());
    let worker = SharedWorker::start().await;
    let engine = TargetStandin::start(single_event_stream).await;
    store.put_target(
        "i-worker",
        "encoders",
        worker.target.addr,
        "hall-a",
        "ready",
    );
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    (store, worker, engine)
}

/// Has three gateways share a worker in a fleet with `others` more entries on small hosts.
async fn check_shared_worker_in_fleet(others: usize, edit_store: impl Fn(&StoreStandin)) {
    let (store, worker, _engine) = store_with_worker(others).await;
    let [first, second, owner] = hosts_owner_last("encoders/0");
    let mut gateways = Vec::new();
    for (host, hall) in [(first, "hall-a"), (second, "hall-b"), (owner, "hall-c")] {
        gateways.push(gateway(&store, host, hall).await);
        wait_for_entries("the entry is recorded", &store, others + gateways.len()).await;
        // Lets it receive its own record first.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    edit_store(&store);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let calls = (0..12).map(|number| {
        let addr = gateways[number % 3].addrs.callers;
        async move { request(number).send(addr).await }
    });
    for got in join_all(calls).await {
        assert!(got.is_whole, "{got:?}");
    }
    assert_eq!(
        worker.overlaps.get(),
        0,
        "one owner makes one call at a time"
    );
    assert!(worker.calls() <= 5, "12 pieces in {} calls", worker.calls());
}

#[actix_rt::test]
async fn new_gateway_waits_for_peers() {
    let (store, worker, _engine) = store_with_worker(0).await;
    let [first, _, owner] = hosts_owner_last("encoders/0");
    let one = gateway(&store, first, "hall-a").await;
    let early = request(1);
    let addr = one.addrs.callers;
    let early_response = actix_rt::spawn(async move { early.send(addr).await });
    let other = gateway(&store, owner, "hall-b").await;
    let late = request(2).send(other.addrs.callers).await;
    assert!(late.is_whole, "{late:?}");
    assert!(
        early_response
            .await
            .expect("the request is answered")
            .is_whole
    );
    assert_eq!(
        worker.overlaps.get(),
        0,
        "both requests must go to one owner"
    );
}

#[actix_rt::test]
async fn gateway_waits_for_list_of_entries() {
    let (store, worker, _engine) = store_with_worker(0).await;
    (0..9).for_each(|number| put_entry(&store, "host-1", number));
    store.set_page_delay(Duration::from_millis(350));
    let one = gateway(&store, "host-1", "hall-a").await;
    let addr = one.addrs.callers;
    let early = request(1).with("X-Deadline-Ms", "8000");
    let early_response = actix_rt::spawn(async move { early.send(addr).await });
    eventually("a call is sent", || worker.calls() > 0).await;
    let calls = store.calls();
    let is_page = |call: &&String| call.contains("kv-range") && call.contains("peers/");
    let pages = calls.iter().filter(is_page).count();
    assert!(
        pages >= 3,
        "{pages} pages of the list of entries read before the first call"
    );
    assert!(
        early_response
            .await
            .expect("the request is answered")
            .is_whole
    );
}

/// Returns three hosts, the owner of a queue last, so that the others start without it.
fn hosts_owner_last(queue: &str) -> [&'static str; 3] {
    let mut hosts = ["host-1", "host-2", "host-3"];
    hosts.sort_by_key(|host| rendezvous::score(queue, *host));
    hosts
}

/// Records an entry that doesn't listen, on a host too small to own anything.
fn put_small_entry(store: &StoreStandin, number: usize) {
    put_entry(store, &format!("small-{number}"), number);
}

/// Records a run that has ended, of a host with little capacity.
fn put_entry(store: &StoreStandin, host: &str, run: usize) {
    let addr = SocketAddr::from(([127, 0, 0, 1], 9));
    put_entry_record(
        store,
        &(run as u64 + 1, host.to_string(), addr, "hall-a".into(), 1),
    );
}

#[actix_rt::test]
async fn large_fleet_starting_shares_calls() {
    check_shared_worker_in_fleet(100, |_| {}).await;
}

#[actix_rt::test]
async fn records_of_earlier_runs_keep_calls_shared() {
    check_shared_worker(|store| {
        for key in store.keys("hollowsail/peers/") {
            let value = store.value(&key).expect("the key has a value");
            let mut record: EntryRecord = rmp_serde::from_slice(&value).expect("a record");
            record.0 ^= 1;
            let stale = rmp_serde::to_vec(&record).expect("the record encodes");
            store.put(&format!("{key}-before"), &stale);
        }
    })
    .await;
}

#[actix_rt::test]
async fn stopping_gateway_gets_no_pieces() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let worker =
        TargetStandin::start(|request| vec![Step::Write(results(request, "producer"))]).await;
    let engine = TargetStandin::start(single_event_stream).await;
    store.put_target("i-worker", "encoders", worker.addr, "hall-a", "ready");
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    let remaining = gateway(&store, "host-1", "hall-a").await;
    let stopping_gateway = gateway(&store, "host-2", "hall-a").await;
    wait_for_entries("both entries are recorded", &store, 2).await;
    let stopping = actix_rt::spawn(stopping_gateway.stop());
    wait_for_entries("its record is removed", &store, 1).await;
    for number in 0..6 {
        let got = request(number).send(remaining.addrs.callers).await;
        assert!(got.is_whole, "{got:?}");
    }
    stopping.await.expect("the gateway stops");
}

#[actix_rt::test]
async fn engine_load_of_all_gateways_counts() {
    let store = StoreStandin::start().await;
    let deployment =
        DeploymentJson::new(1)
            .engines("engines")
            .route("/plain/", "stream", "engines", json!({}));
    store.put("op/config", &deployment.bytes());
    let slow = |request: &ReceivedRequest| {
        let mut steps = vec![Step::Wait(Duration::from_millis(600))];
        steps.extend(single_event_stream(request));
        steps
    };
    let mut engines = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let target = TargetStandin::start(slow).await;
        store.put_target(id, "engines", target.addr, "hall-a", "ready");
        engines.push(target);
    }
    let gateways = [
        gateway(&store, "host-1", "hall-a").await,
        gateway(&store, "host-2", "hall-a").await,
        gateway(&store, "host-3", "hall-a").await,
    ];
    wait_for_entries("all entries are recorded", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    // All prompts share a prefix: each gateway alone would choose the same engine.
    let calls = (0..12).map(|number| {
        let addr = gateways[number % 3].addrs.callers;
        let call = Call::new("POST", "/plain/")
            .with("X-Request-Id", &format!("{number:016x}"))
            .with("X-Token-Counts", "9000,10")
            .with("X-Prompt-Prefix", "aa:300,bb:8700")
            .body("prompt");
        async move { call.send(addr).await }
    });
    for got in join_all(calls).await {
        assert!(got.is_whole, "{got:?}");
    }
    let spread: Vec<usize> = engines
        .iter()
        .map(|target| target.received().len())
        .collect();
    assert!(
        spread.iter().all(|count| (2..=6).contains(count)),
        "requests by engine: {spread:?}"
    );
}

#[actix_rt::test]
async fn call_at_stopping_gateway_is_not_repeated() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let worker = TargetStandin::start(|request| {
        let work = Duration::from_millis(if request.path == "/-/stage-run" {
            300
        } else {
            0
        });
        vec![Step::Wait(work), Step::Write(results(request, "producer"))]
    })
    .await;
    let engine = TargetStandin::start(single_event_stream).await;
    store.put_target("i-worker", "encoders", worker.addr, "hall-a", "ready");
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    let one = gateway(&store, "host-1", "hall-a").await;
    let two = gateway(&store, "host-2", "hall-a").await;
    wait_for_entries("both entries are recorded", &store, 2).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let calls = [one.addrs.callers, two.addrs.callers]
        .map(|addr| actix_rt::spawn(async move { request(addr.port().into()).send(addr).await }));
    let calls_made = || stage_runs(&worker).len();
    eventually("a call is in progress", || calls_made() > 0).await;
    let before = calls_made();
    // Both stop, so the owner of the queue does, whichever it is.
    let stopping = [actix_rt::spawn(one.stop()), actix_rt::spawn(two.stop())];
    for call in calls {
        assert!(call.await.expect("the request is answered").is_whole);
    }
    assert!(
        calls_made() <= before + 1,
        "a call in progress must not be repeated"
    );
    for stop in stopping {
        stop.await.expect("the gateway stops");
    }
}
