//! Planned stops of the gateway.

use std::time::{Duration, Instant};

use hollowsail_gateway::{start, Mechanisms, Running};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin,
};

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{
    plain_deployment, ready_status, settings, wait_for_entries, Answer, Call, Fixture,
};

/// A gateway with one target, which answers after `after`.
async fn serving(after: Duration) -> (Running, TargetStandin) {
    let script = move |request: &ReceivedRequest| {
        vec![
            Step::Wait(after),
            Step::Write(answer(request, 200, "whole")),
        ]
    };
    let (fixture, target) = Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    (fixture.gateway, target)
}

#[actix_rt::test]
async fn requests_late_in_a_stop_are_refused() {
    let (gateway, target) = serving(Duration::from_millis(1_900)).await;
    let addrs = gateway.addrs.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let long = actix_rt::spawn(async move { Call::new("GET", "/safe/").send(addrs.callers).await });
    // Past half of the grace period of three seconds.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let before = target.received().len();
    let late = Call::new("GET", "/safe/").send(addrs.callers).await;
    assert_eq!(
        late.status, 503,
        "it cannot finish before the process exits"
    );
    assert!(late.header("retry-after").is_some());
    assert_eq!(target.received().len(), before);
    assert!(long.await.expect("the request is answered").is_whole);
    stopping.await.expect("the stop ends");
}

#[actix_rt::test]
async fn stop_is_unready_and_serves_early_requests() {
    let (gateway, _target) = serving(Duration::from_millis(900)).await;
    let addrs = gateway.addrs.clone();
    let early =
        actix_rt::spawn(async move { Call::new("GET", "/safe/").send(addrs.callers).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let addrs = gateway.addrs.clone();
    let stopping = actix_rt::spawn(gateway.stop());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(ready_status(addrs.readiness).await, 503);
    let late = Call::new("GET", "/safe/").send(addrs.callers).await;
    assert_eq!(
        (late.status, late.is_whole),
        (200, true),
        "the load balancer may still send connections"
    );
    let early = early.await.expect("the request is answered");
    assert_eq!((early.status, early.is_whole), (200, true));
    stopping.await.expect("the stop ends");
}

#[actix_rt::test]
async fn stop_during_registration_removes_the_record() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    store.set_mode(StoreMode::Slow);
    let gateway = start(
        settings("host-1", "hall-a", store.addr),
        Mechanisms::default(),
    )
    .await
    .expect("the gateway starts");
    wait_for_entries("the record is written", &store, 1).await;
    let stopping = actix_rt::spawn(gateway.stop());
    let started = Instant::now();
    wait_for_entries("the record is gone", &store, 0).await;
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "long before its lease expires"
    );
    stopping.await.expect("the stop ends");
}

/// A request during a planned stop, with times from its begin on.
struct LateRequest {
    path: &'static str,
    head_at: Duration,
    body_at: Duration,
}

impl LateRequest {
    fn at(path: &'static str, at: Duration) -> Self {
        LateRequest {
            path,
            head_at: at,
            body_at: at,
        }
    }

    /// Sends the request and reads until the connection closes.
    async fn send(&self, addr: std::net::SocketAddr, begun: Instant, number: usize) -> Vec<u8> {
        tokio::time::sleep_until((begun + self.head_at).into()).await;
        let mut stream = TcpStream::connect(addr).await.expect("the server listens");
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {number:016x}\r\n\
             X-Deadline-Ms: 9000\r\nContent-Length: 4\r\nConnection: close\r\n\r\n",
            self.path
        );
        stream.write_all(head.as_bytes()).await.expect("it reads");
        tokio::time::sleep_until((begun + self.body_at).into()).await;
        stream.write_all(b"body").await.expect("it reads");
        let mut all = Vec::new();
        let _ended = stream.read_to_end(&mut all).await;
        all
    }
}

/// Plays requests beside a planned stop; returns their answers. An answer that isn't there when the
/// process may exit is `None`.
async fn answers_in_stop(gateway: Running, requests: &[LateRequest]) -> Vec<Option<Answer>> {
    let begun = Instant::now();
    let callers = gateway.addrs.callers;
    let (exits, has_exited) = tokio::sync::watch::channel(false);
    let stopping = actix_rt::spawn(async move {
        gateway.stop().await;
        exits.send_replace(true);
    });
    let sending = requests.iter().enumerate().map(|(number, request)| {
        let mut has_exited = has_exited.clone();
        async move {
            tokio::select! {
                bytes = request.send(callers, begun, number) => Answer::parse(&bytes),
                _exited = has_exited.wait_for(|exited| *exited) => None,
            }
        }
    });
    let answers = futures_util::future::join_all(sending).await;
    stopping.await.expect("the stop ends");
    answers
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A route for requests that may run only once, and one for others, to a service whose targets accept
/// a number of connections. The target has answered one request after the time `known`; others take
/// `after`.
async fn serving_late_requests(
    connections: u32,
    known: Duration,
    after: Duration,
) -> (Running, TargetStandin) {
    let fields = json!({ "timeout_ms": 9000, "target_latency_ms": 9000 });
    let deployment = DeploymentJson::new(1)
        .service_with_connections("plain", connections)
        .route("/safe/", "safe", "plain", fields.clone())
        .route("/unsafe/", "unsafe", "plain", fields.clone());
    let script = move |request: &ReceivedRequest| {
        let time = match request.earlier_requests {
            0 => known,
            _ => after,
        };
        vec![Step::Wait(time), Step::Write(answer(request, 200, "whole"))]
    };
    let (fixture, target) = Fixture::serving(&deployment, "plain", script).await;
    let call = Call::new("GET", "/safe/").with("X-Deadline-Ms", "9000");
    assert_eq!(fixture.call(&call).await.status, 200);
    (fixture.gateway, target)
}

// Guards against requests that are sent late in a stop, and cut when the process exits.
#[actix_rt::test]
async fn bodies_that_come_late_in_a_stop_are_not_sent() {
    let (gateway, target) = serving_late_requests(100, ms(1_500), ms(1_500)).await;
    let before = target.received().len();
    let late = |body_at| LateRequest {
        path: "/unsafe/",
        head_at: ms(1_200),
        body_at,
    };
    for answer in answers_in_stop(gateway, &[late(ms(1_700)), late(ms(2_000))]).await {
        let answer = answer.expect("it is answered before the process exits");
        assert!(answer.status == 503 && answer.is_whole, "{answer:?}");
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(target.received().len(), before);
}

#[actix_rt::test]
async fn bodies_that_come_in_time_for_a_short_answer_are_served() {
    let (gateway, _target) = serving_late_requests(100, ms(100), ms(100)).await;
    let late = |path| LateRequest {
        path,
        head_at: ms(1_200),
        body_at: ms(1_700),
    };
    for answer in answers_in_stop(gateway, &[late("/safe/"), late("/unsafe/")]).await {
        let answer = answer.expect("it is answered before the process exits");
        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
}

// Guards against requests that wait for a connection until the process exits.
#[actix_rt::test]
async fn requests_that_wait_for_a_connection_in_a_stop_are_refused() {
    let (gateway, target) = serving_late_requests(1, ms(1_500), ms(1_500)).await;
    let before = target.received().len();
    let requests = ["/safe/", "/safe/", "/unsafe/"].map(|path| LateRequest::at(path, ms(100)));
    let answers = answers_in_stop(gateway, &requests).await;
    let answers = answers.into_iter().map(|answer| {
        let answer = answer.expect("it is answered before the process exits");
        assert!(answer.is_whole, "{answer:?}");
        answer.status
    });
    let mut statuses: Vec<u16> = answers.collect();
    statuses.sort();
    assert_eq!(statuses, [200, 503, 503]);
    assert_eq!(target.received().len(), before + 1);
}

// Guards against a connection that closes without an answer while the target still works.
#[actix_rt::test]
async fn requests_that_outlast_a_stop_get_an_answer() {
    let (gateway, _target) = serving_late_requests(100, ms(100), ms(4_000)).await;
    let requests = ["/safe/", "/unsafe/"].map(|path| LateRequest::at(path, ms(100)));
    for answer in answers_in_stop(gateway, &requests).await {
        let answer = answer.expect("it is answered before the process exits");
        assert!(answer.is_whole, "{answer:?}");
        assert!(
            [502, 504].contains(&answer.status),
            "it may have run: {answer:?}"
        );
    }
}
