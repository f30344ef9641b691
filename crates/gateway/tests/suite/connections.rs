//! Services whose targets accept few connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{answer as target_answer, ReceivedRequest, Step};
use hollowsail_platform_standins::{DeploymentJson, TargetStandin};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use crate::fixture::{eventually, exchange, gateway, wait_for_entries, Answer, Call, Fixture};

/// A configuration with one route for requests that may not be repeated, to a service whose
/// targets accept `max_connections`.
fn once_deployment(max_connections: u32) -> DeploymentJson {
    DeploymentJson::new(1)
        .service_with_connections("plain", max_connections)
        .route(
            "/once/",
            "unsafe",
            "plain",
            json!({ "target_latency_ms": 1000 }),
        )
}

fn once(number: usize) -> Call {
    Call::new("POST", "/once/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .body("work")
}

/// A target that answers after a moment.
async fn target() -> TargetStandin {
    TargetStandin::answering("served", Duration::from_millis(5)).await
}

/// A target that accepts every connection and resets it at once, as one over its limit does. Has
/// a thread of its own: on the thread of the test, resets could come too late.
struct FullTarget {
    addr: SocketAddr,
    resets: Arc<AtomicUsize>,
    /// Ends the thread when dropped.
    _stop: oneshot::Sender<()>,
}

impl FullTarget {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
        let addr = listener.local_addr().expect("a local address");
        let resets = Arc::new(AtomicUsize::new(0));
        let counter = resets.clone();
        let (stop, stopped) = oneshot::channel();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async {
                listener.set_nonblocking(true).expect("loopback");
                let listener = TcpListener::from_std(listener).expect("a runtime");
                let accepting = async {
                    while let Ok((stream, _)) = listener.accept().await {
                        drop(stream.set_zero_linger());
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                };
                tokio::select! {
                    () = accepting => {}
                    _ = stopped => {}
                }
            });
        });
        FullTarget {
            addr,
            resets,
            _stop: stop,
        }
    }

    fn resets(&self) -> usize {
        self.resets.load(Ordering::Relaxed)
    }

    fn add_to(&self, fixture: &Fixture, id: &str) {
        fixture
            .store
            .put_target(id, "plain", self.addr, "hall-a", "ready");
    }
}

/// Sends requests at the same time.
async fn burst(fixture: &Fixture, count: usize) -> Vec<Answer> {
    let calls: Vec<Call> = (0..count).map(once).collect();
    join_all(
        calls
            .iter()
            .map(|call| call.send(fixture.gateway.addrs.callers)),
    )
    .await
}

fn assert_served(answers: &[Answer]) {
    for answer in answers {
        assert_eq!(answer.status, 200, "{} {}", answer.head, answer.body);
    }
}

/// Guards against an entry that takes the connections of others: with 3 connections, the only
/// entry may use 2.
#[actix_rt::test]
async fn burst_uses_no_more_than_the_share() {
    let fixture = Fixture::start(&once_deployment(3)).await;
    let target = target().await;
    target.set_max_connections(3);
    fixture.add("i-1", "plain", &target);
    assert_eq!(fixture.call(&once(99)).await.status, 200);
    assert_served(&burst(&fixture, 20).await);
    assert_eq!(target.received().len(), 21);
    assert!(target.most_open_connections() <= 2);
    assert_eq!(target.resets(), 0);
}

/// Guards against entries whose shares exceed the connections of a target together.
#[actix_rt::test]
async fn entries_share_the_connections_of_a_target() {
    let fixture = Fixture::start(&once_deployment(6)).await;
    let second = gateway(&fixture.store, "host-2", "hall-a").await;
    wait_for_entries("both entries have records", &fixture.store, 2).await;
    let target = target().await;
    fixture.add("i-1", "plain", &target);
    assert_eq!(fixture.call(&once(99)).await.status, 200);
    eventually_served(&second, 98).await;
    // Until they know each other, each assumes that it has all connections.
    let until = Instant::now() + Duration::from_secs(10);
    while burst_at_both(&fixture, &second, &target).await > 4 {
        assert!(
            Instant::now() < until,
            "the entries use too many connections"
        );
    }
    for _ in 0..3 {
        let most_open = burst_at_both(&fixture, &second, &target).await;
        assert!(most_open <= 4, "{most_open} of 6 connections in use");
    }
}

/// Sends 24 requests through two entries at the same time. Returns the largest number of
/// connections that the target had meanwhile.
async fn burst_at_both(fixture: &Fixture, second: &Running, target: &TargetStandin) -> usize {
    target.reset_most_open();
    let calls: Vec<Call> = (0..24).map(once).collect();
    let entries = [fixture.gateway.addrs.callers, second.addrs.callers];
    let sent = calls
        .iter()
        .enumerate()
        .map(|(index, call)| call.send(entries[index % 2]));
    assert_served(&join_all(sent).await);
    target.most_open_connections()
}

async fn eventually_served(gateway: &Running, number: usize) {
    loop {
        let answer = once(number).send(gateway.addrs.callers).await;
        if !answer.body.starts_with("no_target") {
            assert_eq!(answer.status, 200, "{}", answer.body);
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against requests that end as "may have run" because a full target reset their
/// connection: another target serves them.
#[actix_rt::test]
async fn full_target_loses_no_request_that_may_not_be_repeated() {
    let fixture = Fixture::start(&once_deployment(3)).await;
    let (full, free) = (FullTarget::start(), target().await);
    full.add_to(&fixture, "i-1");
    fixture.add("i-2", "plain", &free);
    assert_eq!(fixture.call(&once(99)).await.status, 200);
    for round in 0..20 {
        assert_served(&burst(&fixture, 1 + round % 3).await);
    }
    eventually("the full target was tried", || full.resets() > 0).await;
}

/// Guards against 502 for a request that no target received, and against dialling full targets
/// in a loop.
#[actix_rt::test]
async fn full_targets_end_in_a_refusal_with_a_retry_time() {
    let fixture = Fixture::start(&once_deployment(3)).await;
    let targets = [FullTarget::start(), FullTarget::start()];
    targets[0].add_to(&fixture, "i-1");
    targets[1].add_to(&fixture, "i-2");
    let first = fixture.call(&once(99)).await;
    let mut answers = burst(&fixture, 30).await;
    answers.push(first);
    for answer in &answers {
        assert_eq!(answer.status, 503, "{} {}", answer.head, answer.body);
        let retry_after = answer
            .header("Retry-After")
            .and_then(|after| after.parse().ok());
        let retry_after: f64 = retry_after.expect("a Retry-After header");
        assert!(
            retry_after > 0.0 && retry_after <= 1.0,
            "Retry-After: {retry_after}"
        );
    }
    let dials: usize = targets.iter().map(FullTarget::resets).sum();
    // Within the two seconds until the deadline, backoffs leave room for 6 dials of each target.
    assert!((2..=14).contains(&dials), "{dials} dials for 31 requests");
    let scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let addr = fixture.gateway.addrs.metrics.expect("metrics are enabled");
    let text = String::from_utf8(exchange(addr, scrape).await).expect("metrics are UTF-8");
    for name in [
        "hollowsail_connection_resets_total{service=\"plain\"}",
        "hollowsail_connections_waiting{service=\"plain\"}",
    ] {
        assert!(text.contains(name), "{name} is missing from\n{text}");
    }
}

/// Guards against losing requests after all entries were killed: the connections of the dead
/// fill the target for a while. A request waits for a connection while it can be in time.
#[actix_rt::test]
async fn connections_of_killed_entries_delay_requests_but_lose_none() {
    let fixture = Fixture::start(&once_deployment(3)).await;
    let target = target().await;
    target.set_max_connections(3);
    let mut dead = Vec::new();
    for _ in 0..3 {
        dead.push(TcpStream::connect(target.addr).await.expect("it listens"));
    }
    eventually("the target is full", || target.open_connections() == 3).await;
    fixture.add("i-1", "plain", &target);
    let call = once(99);
    let callers = fixture.gateway.addrs.callers;
    let early = fixture.call(&call);
    let free = async {
        eventually("the entry was turned away", || target.resets() > 0).await;
        dead.clear();
    };
    let (early, ()) = futures_util::join!(early, free);
    // The request waits out the first backoffs, as far as its target latency allows.
    assert_eq!(early.status, 200, "{} {}", early.head, early.body);
    assert_eq!(once(100).send(callers).await.status, 200);
    assert_eq!(target.received().len(), 2);
}

/// Guards against requests that wait for the only connection to one target, which is in use for
/// longer than expected, while another target serves all others.
#[actix_rt::test]
async fn waiting_requests_go_to_the_first_target_with_a_free_connection() {
    let fixture = Fixture::start(&once_deployment(2)).await;
    let script = |request: &ReceivedRequest| {
        let is_long = request.body.as_slice() == b"long";
        let ms = if is_long { 900 } else { 20 };
        let served = target_answer(request, 200, "served");
        vec![Step::Wait(Duration::from_millis(ms)), Step::Write(served)]
    };
    let targets = [
        TargetStandin::start(script).await,
        TargetStandin::start(script).await,
    ];
    fixture.add("i-1", "plain", &targets[0]);
    fixture.add("i-2", "plain", &targets[1]);
    assert_eq!(fixture.call(&once(99)).await.status, 200);
    while targets.iter().any(|target| target.received().is_empty()) {
        assert_served(&burst(&fixture, 2).await);
    }
    let received = || targets.iter().map(|target| target.received().len()).sum();
    let before: usize = received();
    let long = once(98).body("long");
    let long = fixture.call(&long);
    let short = async {
        eventually("the long request is sent", || received() > before).await;
        let started = Instant::now();
        assert_served(&burst(&fixture, 8).await);
        started.elapsed()
    };
    let (long, took) = futures_util::join!(long, short);
    assert_eq!(long.status, 200);
    assert!(took < Duration::from_millis(600), "{took:?}");
}

/// Guards against callers that wait for their deadline when the connections are in use for longer
/// than they can wait.
#[actix_rt::test]
async fn request_without_a_connection_in_time_is_refused_before_the_target_latency() {
    let fixture = Fixture::start(&once_deployment(2)).await;
    let slow = TargetStandin::answering("served", Duration::from_millis(1_500)).await;
    fixture.add("i-1", "plain", &slow);
    let callers = fixture.gateway.addrs.callers;
    let call = once(1);
    let first = fixture.call(&call);
    let second = async {
        eventually("the first request uses the connection", || {
            slow.received().len() == 1
        })
        .await;
        let answer = once(2).send(callers).await;
        // The first request is still in progress, so the refusal came before its end.
        assert_eq!(slow.open_connections(), 1);
        answer
    };
    let (first, second) = futures_util::join!(first, second);
    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(second.status, 503, "{}", second.body);
    assert!(second.header("Retry-After").is_some());
    assert_eq!(slow.received().len(), 1);
    assert_eq!(slow.most_open_connections(), 1);
}

/// Deadline and target latency of requests that may wait for long, in milliseconds.
const LONG_MS: u64 = 8_000;

/// Guards against sending a request to the target for whose connection it waits, after that left.
#[actix_rt::test]
async fn request_waiting_for_a_connection_goes_to_no_target_that_left() {
    let fields = json!({ "target_latency_ms": LONG_MS, "timeout_ms": LONG_MS });
    let deployment = DeploymentJson::new(1)
        .service_with_connections("plain", 2)
        .route("/once/", "unsafe", "plain", fields);
    let fixture = Fixture::start(&deployment).await;
    let slow = TargetStandin::answering("served", Duration::from_millis(1_700)).await;
    fixture.add("i-1", "plain", &slow);
    let calls: Vec<Call> = (0..3)
        .map(|number| once(number).with("X-Deadline-Ms", &LONG_MS.to_string()))
        .collect();
    assert_eq!(fixture.call(&calls[0]).await.status, 200);
    let callers = fixture.gateway.addrs.callers;
    let sending = join_all(calls.iter().map(|call| call.send(callers)));
    let other = target().await;
    let leaving = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let addr = slow.addr;
        let store = &fixture.store;
        store.put_target("i-1", "plain", addr, "hall-a", "draining");
        fixture.add("i-2", "plain", &other);
        Instant::now()
    };
    let (answers, left_at) = futures_util::join!(sending, leaving);
    // Until its record has arrived at the entry.
    let arrived = left_at + Duration::from_millis(500);
    let late = slow.received().into_iter();
    let late = late.filter(|request| request.received_at > arrived);
    let late: Vec<Duration> = late.map(|request| request.received_at - left_at).collect();
    assert!(late.is_empty(), "sent after the target left: {late:?}");
    assert_served(&answers);
}

/// Guards against refusing or delaying requests that wait for a connection because targets change
/// that don't serve them, or come and go.
#[actix_rt::test]
async fn changes_of_targets_cost_waiting_requests_nothing() {
    let fixture = Fixture::start(&once_deployment(2)).await;
    let busy = TargetStandin::answering("served", Duration::from_millis(150)).await;
    fixture.add("i-1", "plain", &busy);
    assert_eq!(fixture.call(&once(99)).await.status, 200);
    let passing = target().await;
    let changing = async {
        for state in ["ready", "draining"] {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let store = &fixture.store;
            store.put_target("i-2", "plain", passing.addr, "hall-a", state);
            store.put_target("i-3", "unknown", passing.addr, "hall-a", state);
        }
    };
    let (answers, ()) = futures_util::join!(burst(&fixture, 4), changing);
    assert_served(&answers);
    let runs = busy.received().len() + passing.received().len();
    assert_eq!(runs, 5, "each request runs once");
}
