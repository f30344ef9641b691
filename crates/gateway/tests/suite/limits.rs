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
    let gateway = hollowsail_gateway::start(
        settings("host-1", "hall-a", store.addr),
        hollowsail_gateway::Mechanisms::default(),
    )
    .await
    .expect("it starts");
    assert_eq!(ready_status(gateway.at.readiness).await, 503);
    let got = Call::new("GET", "/safe/").send(gateway.at.callers).await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

/// Reads one whole answer with a length from a connection that stays open.
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
async fn a_connection_at_rest_is_closed_after_its_time_and_not_before() {
    const REST: Duration = Duration::from_millis(1_000);
    let deployment = plain_deployment(1, "/safe/").limit("idle_timeout_ms", 1_000);
    let script = |seen: &Seen| vec![Step::Write(answer(seen, 200, "ok"))];
    let (fixture, _target) = Fixture::serving(&deployment, "plain", script).await;
    assert_eq!(fixture.call(&Call::new("GET", "/safe/")).await.status, 200);
    let request = b"GET /safe/ HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 5\r\n\r\n";
    let mut caller = TcpStream::connect(fixture.gateway.at.callers)
        .await
        .expect("it listens");
    for _ in 0..2 {
        caller.write_all(request).await.expect("it is open");
        assert!(read_answer(&mut caller).await.starts_with("HTTP/1.1 200"));
        tokio::time::sleep(REST.mul_f64(0.8)).await;
    }
    caller.write_all(request).await.expect("it is open");
    assert!(read_answer(&mut caller).await.starts_with("HTTP/1.1 200"));
    let begun = Instant::now();
    let mut buf = [0; 64];
    let read = tokio::time::timeout(3 * REST, caller.read(&mut buf)).await;
    assert!(matches!(read, Ok(Ok(0))), "it is closed in order: {read:?}");
    assert!(begun.elapsed() >= REST.mul_f64(0.9), "after its time");
}

#[actix_rt::test]
async fn an_answer_before_the_body_was_read_passes_and_harms_nobody() {
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
        "only the body came where it was due"
    );
}

/// A listener whose connections take few bytes before they are read.
fn small_listener() -> tokio::net::TcpListener {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let loopback = "127.0.0.1:0".parse().expect("an address");
    socket.bind(loopback).expect("loopback can be bound");
    socket.listen(16).expect("it listens")
}

/// Answers the first request from its head alone, and reads its body later;
/// answers one more, on whichever connection it comes. True when the bytes after
/// the first head were that request's body, as far as they came, and nothing
/// else.
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
    let (due, beyond) = after_head.split_at(after_head.len().min(body));
    let only_the_body = due.iter().all(|byte| *byte == b'y');
    let on_first = due.len() == body;
    let (mut connection, head) = tokio::select! {
        accepted = listener.accept() => {
            let (mut other, _) = accepted.expect("a connection");
            let (head, _) = read_head(&mut other).await;
            (other, head)
        }
        (head, _) = read_head_after(&mut first, beyond.to_vec()), if on_first => (first, head),
    };
    connection
        .write_all(&sealed("a2", "200 OK", "good"))
        .await
        .expect("it is read");
    tokio::time::sleep(Duration::from_millis(100)).await;
    only_the_body && head.starts_with("GET /safe/ ")
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

/// Reads up to the end of a head; tells it and what came after it.
async fn read_head_after(stream: &mut TcpStream, mut all: Vec<u8>) -> (String, Vec<u8>) {
    let mut buf = [0; 1024];
    loop {
        if let Some(at) = all.windows(4).position(|window| window == b"\r\n\r\n") {
            let rest = all.split_off(at + 4);
            return (String::from_utf8_lossy(&all).to_string(), rest);
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => all.extend_from_slice(&buf[..read]),
            _ => std::future::pending().await,
        }
    }
}
