//! What callers may not do, and that it harms nobody else.

use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Seen, Step, StoreStandin, TargetStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{exchange, plain_deployment, ready_status, settings, Call, Fixture};

async fn serving() -> (Fixture, TargetStandin) {
    let script = |seen: &Seen| vec![Step::Write(answer(seen, 200, "ok"))];
    let (fixture, target) = Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    (fixture, target)
}

async fn still_serves(fixture: &Fixture) {
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
}

#[actix_rt::test]
async fn a_body_over_the_limit_is_413() {
    let (fixture, target) = serving().await;
    let before = target.seen().len();
    let body = "x".repeat(70_000);
    let got = fixture.call(&Call::new("POST", "/safe/").body(&body)).await;
    assert_eq!(got.status, 413);
    let head = "POST /safe/ HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 1\r\n\
                Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let got = exchange(
        fixture.gateway.at.callers,
        (head.to_string() + &chunk).as_bytes(),
    )
    .await;
    assert!(String::from_utf8_lossy(&got).starts_with("HTTP/1.1 413"));
    assert_eq!(target.seen().len(), before, "none of it was sent");
    still_serves(&fixture).await;
}

#[actix_rt::test]
async fn a_head_over_the_limit_is_431() {
    let (fixture, _target) = serving().await;
    let long = "x".repeat(40_000);
    let bytes = Call::new("GET", "/safe/").with("X-Long", &long).bytes();
    let got = exchange(fixture.gateway.at.callers, &bytes).await;
    assert!(String::from_utf8_lossy(&got).starts_with("HTTP/1.1 431"));
    still_serves(&fixture).await;
}

#[actix_rt::test]
async fn a_head_that_comes_too_slowly_ends_its_connection() {
    let (fixture, _target) = serving().await;
    let mut slow = TcpStream::connect(fixture.gateway.at.callers)
        .await
        .expect("it listens");
    slow.write_all(b"GET /safe/ HTTP/1.1\r\nHost: ")
        .await
        .expect("it reads");
    let begun = Instant::now();
    let mut buf = [0; 64];
    let read = tokio::time::timeout(Duration::from_secs(3), slow.read(&mut buf)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "it is closed");
    assert!(
        begun.elapsed() >= Duration::from_millis(350),
        "after its 400 ms"
    );
    still_serves(&fixture).await;
}

#[actix_rt::test]
async fn a_request_without_an_id_or_with_a_bad_deadline_is_400() {
    let (fixture, target) = serving().await;
    let before = target.seen().len();
    let mut nameless = Call::new("GET", "/safe/");
    nameless.headers.retain(|(name, _)| name != "X-Request-Id");
    let got = fixture.call(&nameless).await;
    assert_eq!(got.status, 400);
    assert!(
        got.body.contains("X-Request-Id"),
        "it names the place: {}",
        got.body
    );
    let odd = Call::new("GET", "/safe/").with("X-Deadline-Ms", "soon");
    assert_eq!(fixture.call(&odd).await.status, 400);
    assert_eq!(target.seen().len(), before);
}

#[actix_rt::test]
async fn without_a_configuration_it_is_not_ready_and_promises_that_nothing_ran() {
    let store = StoreStandin::start().await;
    let gateway = hollowsail_gateway::start(settings("host-1", "hall-a", store.addr))
        .await
        .expect("it starts");
    assert_eq!(ready_status(gateway.at.readiness).await, 503);
    let got = Call::new("GET", "/safe/").send(gateway.at.callers).await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}
