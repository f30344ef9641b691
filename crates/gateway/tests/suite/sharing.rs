//! Several gateways that share the targets of a stage service.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_fleet::rendezvous;
use hollowsail_platform_standins::target::results;
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, one_event, put_entry_record, runs, until_entries, Call, EntryRecord,
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

/// Lets three gateways share a worker; `before` changes what they know first.
async fn share_a_worker(before: impl Fn(&StoreStandin)) {
    share_a_worker_in_a_fleet(0, before).await;
}

/// A worker that works 150 ms on each call, and counts calls that come meanwhile.
struct SharedWorker {
    target: TargetStandin,
    overlaps: Rc<Cell<usize>>,
}

impl SharedWorker {
    async fn start() -> Self {
        let at_work = Rc::new(Cell::new(0));
        let overlaps = Rc::new(Cell::new(0));
        let (busy, crossed) = (at_work.clone(), overlaps.clone());
        let target = TargetStandin::start(move |seen| {
            if seen.path != "/-/stage-run" {
                return vec![Step::Write(results(seen, "maker"))];
            }
            busy.set(busy.get() + 1);
            if busy.get() > 1 {
                crossed.set(crossed.get() + 1);
            }
            let (busy, answer) = (busy.clone(), results(seen, "maker"));
            actix_rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(140)).await;
                busy.set(busy.get() - 1);
            });
            vec![Step::Wait(Duration::from_millis(150)), Step::Write(answer)]
        })
        .await;
        SharedWorker { target, overlaps }
    }

    /// Calls with pieces so far.
    fn calls(&self) -> usize {
        runs(&self.target).len()
    }
}

/// A store with a worker and an engine, and so many entries of small hosts.
async fn store_with_a_worker(others: usize) -> (StoreStandin, SharedWorker, TargetStandin) {
    let store = StoreStandin::start().await;
    (0..others).for_each(|number| put_small_entry(&store, number));
    store.put("op/config", &deployment().bytes());
    let worker = SharedWorker::start().await;
    let engine = TargetStandin::start(one_event).await;
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

/// The same beside so many entries of small hosts.
async fn share_a_worker_in_a_fleet(others: usize, before: impl Fn(&StoreStandin)) {
    let (store, worker, _engine) = store_with_a_worker(others).await;
    let [first, second, owner] = hosts_with_the_owner_last("encoders/0");
    let mut gateways = Vec::new();
    for (host, hall) in [(first, "hall-a"), (second, "hall-b"), (owner, "hall-c")] {
        gateways.push(gateway(&store, host, hall).await);
        until_entries("it is recorded", &store, others + gateways.len()).await;
        // Its own record is the first change that it hears of.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    before(&store);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let calls = (0..12).map(|number| {
        let at = gateways[number % 3].at.callers;
        async move { request(number).send(at).await }
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
async fn a_gateway_that_has_just_started_waits_to_hear_of_those_that_start_with_it() {
    let (store, worker, _engine) = store_with_a_worker(0).await;
    let [first, _, owner] = hosts_with_the_owner_last("encoders/0");
    let one = gateway(&store, first, "hall-a").await;
    let early = request(1);
    let at = one.at.callers;
    let asked = actix_rt::spawn(async move { early.send(at).await });
    let other = gateway(&store, owner, "hall-b").await;
    let late = request(2).send(other.at.callers).await;
    assert!(late.is_whole, "{late:?}");
    assert!(asked.await.expect("it is answered").is_whole);
    assert_eq!(worker.overlaps.get(), 0, "both went to one owner");
}

#[actix_rt::test]
async fn a_gateway_without_a_list_of_entries_waits_for_it() {
    let (store, worker, _engine) = store_with_a_worker(0).await;
    (0..9).for_each(|number| put_entry(&store, "host-1", number));
    store.set_page_time(Duration::from_millis(350));
    let one = gateway(&store, "host-1", "hall-a").await;
    let at = one.at.callers;
    let patient = request(1).with("X-Deadline-Ms", "8000");
    let asked = actix_rt::spawn(async move { patient.send(at).await });
    eventually("a call is made", || worker.calls() > 0).await;
    let calls = store.calls();
    let is_page = |call: &&String| call.contains("kv-range") && call.contains("peers/");
    let pages = calls.iter().filter(is_page).count();
    assert!(pages >= 3, "{pages} pages of nine runs before by then");
    assert!(asked.await.expect("it is answered").is_whole);
}

/// Three hosts, the one that owns a queue last: the others start without it.
fn hosts_with_the_owner_last(queue: &str) -> [&'static str; 3] {
    let mut hosts = ["host-1", "host-2", "host-3"];
    hosts.sort_by_key(|host| rendezvous::score(queue, *host));
    hosts
}

/// Records an entry of a host too small to own anything; nobody listens there.
fn put_small_entry(store: &StoreStandin, number: usize) {
    put_entry(store, &format!("small-{number}"), number);
}

/// Records a run of a host that has ended, and whose capacity is small.
fn put_entry(store: &StoreStandin, host: &str, run: usize) {
    let at = SocketAddr::from(([127, 0, 0, 1], 9));
    put_entry_record(
        store,
        &(run as u64 + 1, host.to_string(), at, "hall-a".into(), 1),
    );
}

#[actix_rt::test]
async fn gateways_of_a_large_fleet_that_start_together_share_calls() {
    share_a_worker_in_a_fleet(100, |_| {}).await;
}

#[actix_rt::test]
async fn gateways_known_by_their_run_before_share_calls_all_the_same() {
    share_a_worker(|store| {
        for key in store.keys("hollowsail/peers/") {
            let value = store.value(&key).expect("it is there");
            let mut record: EntryRecord = rmp_serde::from_slice(&value).expect("a record");
            record.0 ^= 1;
            let stale = rmp_serde::to_vec(&record).expect("it encodes");
            store.put(&format!("{key}-before"), &stale);
        }
    })
    .await;
}

#[actix_rt::test]
async fn a_gateway_that_leaves_is_passed_over_at_once() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let worker = TargetStandin::start(|seen| vec![Step::Write(results(seen, "maker"))]).await;
    let engine = TargetStandin::start(one_event).await;
    store.put_target("i-worker", "encoders", worker.addr, "hall-a", "ready");
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    let stays = gateway(&store, "host-1", "hall-a").await;
    let leaves = gateway(&store, "host-2", "hall-a").await;
    until_entries("both are recorded", &store, 2).await;
    let stopping = actix_rt::spawn(leaves.stop());
    until_entries("its record is gone", &store, 1).await;
    for number in 0..6 {
        let got = request(number).send(stays.at.callers).await;
        assert!(got.is_whole, "{got:?}");
    }
    stopping.await.expect("it stops");
}

#[actix_rt::test]
async fn engines_are_placed_with_what_all_gateways_have_there() {
    let store = StoreStandin::start().await;
    let deployment =
        DeploymentJson::new(1)
            .engines("engines")
            .route("/plain/", "stream", "engines", json!({}));
    store.put("op/config", &deployment.bytes());
    let slow = |seen: &Seen| {
        let mut steps = vec![Step::Wait(Duration::from_millis(600))];
        steps.extend(one_event(seen));
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
    until_entries("all are recorded", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    // All share one part: each alone would choose the same engine.
    let calls = (0..12).map(|number| {
        let at = gateways[number % 3].at.callers;
        let call = Call::new("POST", "/plain/")
            .with("X-Request-Id", &format!("{number:016x}"))
            .with("X-Token-Counts", "9000,10")
            .with("X-Prompt-Prefix", "aa:300,bb:8700")
            .body("prompt");
        async move { call.send(at).await }
    });
    for got in join_all(calls).await {
        assert!(got.is_whole, "{got:?}");
    }
    let spread: Vec<usize> = engines.iter().map(|target| target.seen().len()).collect();
    assert!(
        spread.iter().all(|seen| (2..=6).contains(seen)),
        "{spread:?}"
    );
}

#[actix_rt::test]
async fn a_call_under_way_at_a_gateway_that_leaves_counts() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let worker = TargetStandin::start(|seen| {
        let work = Duration::from_millis(if seen.path == "/-/stage-run" { 300 } else { 0 });
        vec![Step::Wait(work), Step::Write(results(seen, "maker"))]
    })
    .await;
    let engine = TargetStandin::start(one_event).await;
    store.put_target("i-worker", "encoders", worker.addr, "hall-a", "ready");
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    let one = gateway(&store, "host-1", "hall-a").await;
    let two = gateway(&store, "host-2", "hall-a").await;
    until_entries("both are recorded", &store, 2).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let calls = [one.at.callers, two.at.callers]
        .map(|at| actix_rt::spawn(async move { request(at.port().into()).send(at).await }));
    let calls_made = || runs(&worker).len();
    eventually("a call is under way", || calls_made() > 0).await;
    let before = calls_made();
    // Whichever owns the queue leaves; the other asked it, or is asked anew.
    let stopping = [actix_rt::spawn(one.stop()), actix_rt::spawn(two.stop())];
    for call in calls {
        assert!(call.await.expect("it is answered").is_whole);
    }
    assert!(
        calls_made() <= before + 1,
        "nothing that is under way is made again"
    );
    for stop in stopping {
        stop.await.expect("it ends");
    }
}
