//! What a service gets more than once, by what its targets receive, against what the settings allow.

use std::collections::HashMap;
use std::time::Duration;

use hollowsail_platform_standins::target::{answer, failures, results};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway, single_event_stream, stage_runs, Call, Fixture};

/// What the fixture's settings allow in a window.
const RATIO: f64 = 0.2;
const EXTRA: f64 = 50.0;

/// Arrivals beyond the first of each, by what identifies them.
fn count_repeats(arrivals: impl Iterator<Item = String>) -> usize {
    let mut counts: HashMap<String, usize> = HashMap::new();
    arrivals.for_each(|work| *counts.entry(work).or_default() += 1);
    counts.values().map(|count| count - 1).sum()
}

pub fn repeated_requests(targets: &[TargetStandin]) -> usize {
    let received = targets.iter().flat_map(TargetStandin::received);
    count_repeats(received.map(|request| request.request_id().to_string()))
}

fn repeated_pieces(workers: &[TargetStandin]) -> usize {
    let pieces = workers.iter().flat_map(stage_runs);
    let pieces = pieces.flat_map(|call| call.pieces());
    count_repeats(
        pieces.map(|piece| format!("{}/{}/{}", piece["id"], piece["stage"], piece["piece"])),
    )
}

pub fn allowed(requests: usize) -> f64 {
    RATIO * requests as f64 + EXTRA
}

fn staged_deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let route = json!({ "stages": stages, "target_latency_ms": 1000, "timeout_ms": 30000 });
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 4, 20.0, 10.0)
        .route("/staged/", "stream", "engines", route)
}

fn staged_request(number: usize) -> Call {
    Call::new("POST", "/staged/")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Deadline-Ms", "10000")
        .with("X-Pieces", "4")
        .with("X-Piece-Key", "the-key")
        .body("prompt")
}

/// A route whose requests may be sent to five targets.
fn safe_deployment() -> DeploymentJson {
    DeploymentJson::new(1).service("plain").route(
        "/safe/",
        "safe",
        "plain",
        json!({ "max_attempts": 5 }),
    )
}

/// Targets of the plain service that all do as `script` says.
async fn plain_targets(
    store: &StoreStandin,
    script: fn(&ReceivedRequest) -> Vec<Step>,
) -> Vec<TargetStandin> {
    let mut targets = Vec::new();
    for number in 0..6 {
        let target = TargetStandin::start(script).await;
        store.put_target(
            &format!("i-{number}"),
            "plain",
            target.addr,
            "hall-a",
            "ready",
        );
        targets.push(target);
    }
    targets
}

async fn send_safe(callers: std::net::SocketAddr, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let call = Call::new("GET", "/safe/x").with("X-Request-Id", &format!("{number:016x}"));
        call.send(callers).await;
    }
}

// Guards against pieces that are sent again without end to workers that have no room for them.
#[actix_rt::test]
async fn pieces_without_room_are_not_sent_beyond_the_allowance() {
    let fixture = Fixture::start(&staged_deployment()).await;
    let full = |request: &ReceivedRequest| {
        vec![
            Step::Wait(Duration::from_millis(5)),
            Step::Write(failures(request, "room")),
        ]
    };
    let worker = TargetStandin::start(full).await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-encoder", "encoders", &worker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let callers = fixture.gateway.addrs.callers;
    let calls = (0..10).map(|number| async move { staged_request(number).send(callers).await });
    futures_util::future::join_all(calls).await;
    let repeats = repeated_pieces(&[worker]);
    assert!(repeats as f64 <= EXTRA, "{repeats} repeats of 40 pieces");
}

// Guards against pieces of failed calls that no budget counts.
#[actix_rt::test]
async fn pieces_of_failed_calls_are_not_sent_beyond_the_allowance() {
    let fixture = Fixture::start(&staged_deployment()).await;
    let mut workers = Vec::new();
    for number in 0..12 {
        let worker = TargetStandin::start(|_| vec![Step::Reset]).await;
        fixture.add(&format!("i-{number}"), "encoders", &worker);
        workers.push(worker);
    }
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let callers = fixture.gateway.addrs.callers;
    let calls = (0..30).map(|number| async move { staged_request(number).send(callers).await });
    futures_util::future::join_all(calls).await;
    let repeats = repeated_pieces(&workers);
    assert!(repeats as f64 <= EXTRA, "{repeats} repeats of 120 pieces");
}

// Guards against a full share of the repeats for each process that starts on a host.
#[actix_rt::test]
async fn restarts_give_a_service_no_further_share_of_repeats() {
    let store = StoreStandin::start().await;
    store.put("op/config", &safe_deployment().bytes());
    let fails = |request: &ReceivedRequest| vec![Step::Write(answer(request, 500, "failed"))];
    let targets = plain_targets(&store, fails).await;
    for start in 0..4 {
        let gateway = gateway(&store, "host-1", "hall-a").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        send_safe(gateway.addrs.callers, start * 60..(start + 1) * 60).await;
        gateway.stop().await;
    }
    let repeats = repeated_requests(&targets);
    assert!(
        repeats as f64 <= allowed(240),
        "{repeats} repeats of 240 requests"
    );
}

// Guards against attempts that count as unsent although a target has read their head.
#[actix_rt::test]
async fn attempts_that_a_target_read_before_it_broke_the_connection_are_charged() {
    for script in [
        (|_| vec![Step::Reset]) as fn(&ReceivedRequest) -> Vec<Step>,
        |_| vec![Step::Close],
        |request| {
            vec![
                Step::Write(answer(request, 200, "ok")[..9].to_vec()),
                Step::Reset,
            ]
        },
    ] {
        let fixture = Fixture::start(&safe_deployment()).await;
        let targets = plain_targets(&fixture.store, script).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        send_safe(fixture.gateway.addrs.callers, 0..60).await;
        let repeats = repeated_requests(&targets);
        assert!(
            repeats as f64 <= allowed(60),
            "{repeats} repeats of 60 requests"
        );
    }
}

// Guards against a budget that refuses the repeats of the few requests that fail on a usual day.
#[actix_rt::test]
async fn single_failures_are_repeated_on_a_host_that_has_just_started() {
    let fixture = Fixture::start(&staged_deployment()).await;
    let failed = std::cell::Cell::new(0);
    let fails_once = move |request: &ReceivedRequest| {
        failed.set(failed.get() + 1);
        match failed.get() {
            1 => vec![Step::Reset],
            _ => vec![Step::Write(results(request, "producer"))],
        }
    };
    let worker = TargetStandin::start(fails_once).await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-encoder", "encoders", &worker);
    fixture.add("i-engine", "engines", &engine);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = staged_request(1).send(fixture.gateway.addrs.callers).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
}
