//! Time that workers are told that a piece may take, when they read it.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_platform_standins::target::results;
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::{json, Value};

use crate::fixture::{
    gateway, single_event_stream, stage_runs, staged_call, wait_for_entries, Fixture,
};

const DEADLINE_MS: u64 = 8_000;
/// How much later the time of a piece may end than that of the first one of its request, for what passes
/// on the way.
const ON_THE_WAY: Duration = Duration::from_millis(150);

fn staged_deployment(batch: u32, call_ms: f64) -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let route = json!({ "stages": stages, "target_latency_ms": 4000, "timeout_ms": 30000 });
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", batch, call_ms, 10.0)
        .route("/staged/", "stream", "engines", route)
}

fn name_of(piece: &Value) -> String {
    format!("{}/{}", piece["id"], piece["piece"])
}

/// When a piece was read, and until when it may take.
#[derive(Debug, Clone)]
struct ReadPiece {
    request: String,
    at: Instant,
    ends: Instant,
}

/// All pieces that workers read, in order.
fn read_pieces(workers: &[TargetStandin]) -> Vec<ReadPiece> {
    let calls = workers.iter().flat_map(stage_runs);
    let pieces = calls.flat_map(|call| {
        let at = call.received_at;
        let read = move |piece: Value| {
            let remaining_ms = piece["remaining_ms"].as_u64().expect("it has a time");
            ReadPiece {
                request: piece["id"].to_string(),
                at,
                ends: at + Duration::from_millis(remaining_ms),
            }
        };
        call.pieces().into_iter().map(read)
    });
    let mut pieces: Vec<ReadPiece> = pieces.collect();
    pieces.sort_by_key(|piece| piece.at);
    pieces
}

/// Longest time by which a piece may take longer than the first one of its request.
fn longest_excess(pieces: &[ReadPiece]) -> Duration {
    let mut first: HashMap<&str, Instant> = HashMap::new();
    let excess = pieces.iter().map(|piece| {
        let first = first.entry(&piece.request).or_insert(piece.ends);
        piece.ends.saturating_duration_since(*first)
    });
    excess.max().unwrap_or_default()
}

// Guards against pieces that are sent once more with the time that was left for their first send.
#[actix_rt::test]
async fn pieces_of_calls_that_break_late_are_given_only_what_remains() {
    let fixture = Fixture::start(&staged_deployment(4, 20.0)).await;
    let seen: Rc<RefCell<HashSet<String>>> = Rc::default();
    let mut workers = Vec::new();
    for number in 0..12 {
        let seen = seen.clone();
        let breaks_first = move |request: &ReceivedRequest| {
            let mut seen = seen.borrow_mut();
            let pieces = request.pieces();
            let new = pieces.iter().filter(|piece| seen.insert(name_of(piece)));
            match new.count() {
                0 => vec![Step::Write(results(request, "producer"))],
                _ => vec![Step::Wait(Duration::from_millis(1_200)), Step::Reset],
            }
        };
        let worker = TargetStandin::start(breaks_first).await;
        fixture.add(&format!("i-{number}"), "encoders", &worker);
        workers.push(worker);
    }
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let callers = fixture.gateway.addrs.callers;
    let calls = (0..8).map(|number| async move {
        let call = staged_call(&format!("{number:016x}"), DEADLINE_MS);
        call.send(callers).await
    });
    join_all(calls).await;
    let pieces = read_pieces(&workers);
    assert!(pieces.len() > seen.borrow().len(), "none was sent again");
    let excess = longest_excess(&pieces);
    assert!(excess < ON_THE_WAY, "{excess:?} beyond what remains");
}

// Guards against pieces that lose none of their time while they wait in the queue of their owner.
#[actix_rt::test]
async fn pieces_that_wait_at_their_owner_are_given_only_what_remains() {
    let store = StoreStandin::start().await;
    store.put("op/config", &staged_deployment(1, 300.0).bytes());
    let worker = TargetStandin::start(|request| {
        vec![
            Step::Wait(Duration::from_millis(300)),
            Step::Write(results(request, "producer")),
        ]
    })
    .await;
    let engine = TargetStandin::start(single_event_stream).await;
    store.put_target("i-encoder", "encoders", worker.addr, "hall-a", "ready");
    store.put_target("i-engine", "engines", engine.addr, "hall-a", "ready");
    let mut hosts = Vec::new();
    for number in 0..3 {
        hosts.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
        wait_for_entries("the host is recorded", &store, number + 1).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for (number, host) in hosts.iter().enumerate() {
        let call = staged_call(&format!("{number:016x}"), DEADLINE_MS);
        call.send(host.addrs.callers).await;
    }
    let pieces = read_pieces(&[worker]);
    assert!(pieces.len() >= 3 * 4, "{pieces:?}");
    let excess = longest_excess(&pieces);
    assert!(excess < ON_THE_WAY, "{excess:?} beyond what remains");
}
