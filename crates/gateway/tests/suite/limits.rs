//! Limits on callers: sizes, header timeouts, idle connections and malformed headers.
//!
//! After each violation the gateway has to keep serving other requests.

use std::time::{Duration, Instant};

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{ReceivedRequest, Step, StoreStandin, TargetStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{exchange, plain_deployment, ready_status, settings, Call, Fixture};

async fn serving() -> (Fixture, TargetStandin) {
    let script = |request: &ReceivedRequest| vec![Step::Write(answer(request, 200, "ok"))];
    let (fixture, target) = Fixture::serving(&plain_deployment(1, "/safe/"), "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    (fixture, target)
}

async fn assert_still_serves(fixture: &Fixture) {
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
}

#[actix_rt::test]
async fn body_over_the_limit_is_413() {
    let (fixture, target) = serving().await;
    let before = target.received().len();
    let body = "x".repeat(70_000);
    let got = fixture.call(&Call::new("POST", "/safe/").body(&body)).await;
    assert_eq!(got.status, 413);
    let head = "POST /safe/ HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 1\r\n\
                Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    let chunk = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let got = exchange(
        fixture.gateway.addrs.callers,
        (head.to_string() + &chunk).as_bytes(),
    )
    .await;
    assert!(String::from_utf8_lossy(&got).starts_with("HTTP/1.1 413"));
    assert_eq!(target.received().len(), before, "none of it was sent");
    assert_still_serves(&fixture).await;
}

#[actix_rt::test]
async fn headers_over_the_limit_are_431() {
    let (fixture, _target) = serving().await;
    let long = "x".repeat(40_000);
    let bytes = Call::new("GET", "/safe/").with("X-Long", &long).bytes();
    let got = exchange(fixture.gateway.addrs.callers, &bytes).await;
    assert!(String::from_utf8_lossy(&got).starts_with("HTTP/1.1 431"));
    assert_still_serves(&fixture).await;
}

#[actix_rt::test]
async fn slow_headers_close_the_connection() {
    let (fixture, _target) = serving().await;
    let mut slow = TcpStream::connect(fixture.gateway.addrs.callers)
        .await
        .expect("it listens");
    slow.write_all(b"GET /safe/ HTTP/1.1\r\nHost: ")
        .await
        .expect("it reads");
    let started = Instant::now();
    let mut buf = [0; 64];
    let read = tokio::time::timeout(Duration::from_secs(3), slow.read(&mut buf)).await;
    assert!(matches!(read, Ok(Ok(0) | Err(_))), "it is closed");
    assert!(
        started.elapsed() >= Duration::from_millis(350),
        "not before its 400 ms"
    );
    assert_still_serves(&fixture).await;
}

#[actix_rt::test]
async fn missing_id_or_bad_deadline_is_400() {
    let (fixture, target) = serving().await;
    let before = target.received().len();
    let mut without_id = Call::new("GET", "/safe/");
    without_id
        .headers
        .retain(|(name, _)| name != "X-Request-Id");
    let got = fixture.call(&without_id).await;
    assert_eq!(got.status, 400);
    assert!(
        got.body.contains("X-Request-Id"),
        "it names the header: {}",
        got.body
    );
    let malformed = Call::new("GET", "/safe/").with("X-Deadline-Ms", "soon");
    assert_eq!(fixture.call(&malformed).await.status, 400);
    assert_eq!(target.received().len(), before);
}

#[actix_rt::test]
async fn no_configuration_is_not_ready_and_503() {
    let store = StoreStandin::start().await;
    let gateway = hollowsail_gateway::start(
        settings("host-1", "hall-a", store.addr),
        hollowsail_gateway::Mechanisms::default(),
    )
    .await
    .expect("it starts");
    assert_eq!(ready_status(gateway.addrs.readiness).await, 503);
    let got = Call::new("GET", "/safe/").send(gateway.addrs.callers).await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

/// Reads one complete answer with the body `ok` from a connection that stays open.
async fn read_answer(caller: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let mut buf = [0; 1024];
    while !String::from_utf8_lossy(&all).contains("\r\n\r\nok") {
        let read = caller.read(&mut buf).await.expect("it is open");
        assert!(read > 0, "closed too soon");
        all.extend_from_slice(&buf[..read]);
    }
    String::from_utf8_lossy(&all).to_string()
}

#[actix_rt::test]
async fn idle_connection_closes_at_the_idle_timeout() {
    const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
    let deployment = plain_deployment(1, "/safe/").limit("idle_timeout_ms", 1_000);
    let script = |request: &ReceivedRequest| vec![Step::Write(answer(request, 200, "ok"))];
    let (fixture, _target) = Fixture::serving(&deployment, "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    let request = b"GET /safe/ HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 5\r\n\r\n";
    let mut caller = TcpStream::connect(fixture.gateway.addrs.callers)
        .await
        .expect("it listens");
    for _ in 0..2 {
        caller.write_all(request).await.expect("it is open");
        assert!(read_answer(&mut caller).await.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(IDLE_TIMEOUT.mul_f64(0.8)).await;
    }
    caller.write_all(request).await.expect("it is open");
    assert!(read_answer(&mut caller).await.starts_with("HTTP/1.1 200"));
    let started = Instant::now();
    let mut buf = [0; 64];
    let read = tokio::time::timeout(3 * IDLE_TIMEOUT, caller.read(&mut buf)).await;
    assert!(
        matches!(read, Ok(Ok(0))),
        "it is closed without an error: {read:?}"
    );
    assert!(
        started.elapsed() >= IDLE_TIMEOUT.mul_f64(0.9),
        "not before the idle timeout"
    );
}

#[actix_rt::test]
async fn early_answer_passes_and_next_request_works() {
    const BODY: usize = 60_000;
    let listener = small_listener();
    let addr = listener.local_addr().expect("bound");
    let fixture = Fixture::start(&plain_deployment(1, "/safe/")).await;
    fixture
        .store
        .put_target("i-1", "plain", addr, "hall-a", "ready");
    let target = actix_rt::spawn(answer_early_then_read(listener, BODY));
    let body = "y".repeat(BODY);
    let early = Call::new("POST", "/safe/")
        .with("X-Request-Id", "a1")
        .body(&body);
    let got = fixture.call(&early).await;
    assert_eq!((got.status, got.body.as_str()), (403, "early"));
    let next = Call::new("GET", "/safe/").with("X-Request-Id", "a2");
    let got = fixture.call(&next).await;
    assert_eq!(
        (got.status, got.body.as_str()),
        (200, "good"),
        "{}",
        got.head
    );
    assert!(
        target.await.expect("it ran"),
        "the first request is followed by its body only"
    );
}

/// A listener whose connections have a small receive buffer.
fn small_listener() -> tokio::net::TcpListener {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let loopback = "127.0.0.1:0".parse().expect("an address");
    socket.bind(loopback).expect("loopback can be bound");
    socket.listen(16).expect("it listens")
}

/// Answers the first request after its headers, and reads its body later; then answers one more
/// request on either connection. True when the first headers were followed only by that
/// request's body, complete or not.
async fn answer_early_then_read(listener: tokio::net::TcpListener, body: usize) -> bool {
    let (mut first, _) = listener.accept().await.expect("a connection");
    let (_, mut after_head) = read_head(&mut first).await;
    first
        .write_all(&sealed("a1", "403 Forbidden", "early"))
        .await
        .expect("it is read");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut buf = vec![0; 8192];
    while after_head.len() < body {
        match first.read(&mut buf).await {
            Ok(read) if read > 0 => after_head.extend_from_slice(&buf[..read]),
            _ => break,
        }
    }
    let (expected, extra) = after_head.split_at(after_head.len().min(body));
    let only_body = expected.iter().all(|byte| *byte == b'y');
    let first_is_reusable = expected.len() == body;
    let (mut connection, head) = tokio::select! {
        accepted = listener.accept() => {
            let (mut other, _) = accepted.expect("a connection");
            let (head, _) = read_head(&mut other).await;
            (other, head)
        }
        (head, _) = read_head_after(&mut first, extra.to_vec()), if first_is_reusable => (first, head),
    };
    connection
        .write_all(&sealed("a2", "200 OK", "good"))
        .await
        .expect("it is read");
    tokio::time::sleep(Duration::from_millis(100)).await;
    only_body && head.starts_with("GET /safe/ ")
}

fn sealed(id: &str, status: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Seal: seal\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

async fn read_head(stream: &mut TcpStream) -> (String, Vec<u8>) {
    read_head_after(stream, Vec::new()).await
}

/// Reads to the end of the headers; returns them and the bytes after them.
async fn read_head_after(stream: &mut TcpStream, mut all: Vec<u8>) -> (String, Vec<u8>) {
    let mut buf = [0; 1024];
    loop {
        if let Some(end) = all.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = all.split_off(end + 4);
            return (String::from_utf8_lossy(&all).to_string(), rest);
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => all.extend_from_slice(&buf[..read]),
            _ => std::future::pending().await,
        }
    }
}
