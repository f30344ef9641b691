//! Requests whose heads can be read in two ways: none of them may reach a target.

use std::net::SocketAddr;
use std::time::Duration;

use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, TargetStandin};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{eventually, exchange, Answer, Call, Fixture};

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .service("plain")
        .route("/once/", "unsafe", "plain", json!({}))
}

async fn fixture() -> (Fixture, TargetStandin) {
    let script = |request: &_| vec![Step::Write(answer(request, 200, "served"))];
    let (fixture, target) = Fixture::serving(&deployment(), "plain", script).await;
    let got = fixture.call(&Call::new("POST", "/once/x")).await;
    assert_eq!(got.status, 200);
    (fixture, target)
}

const FIRST: &str = "POST /once/x HTTP/1.1\r\nHost: host.example\r\n\
                     X-Request-Id: 0000000000000001\r\nX-Deadline-Ms: 2000\r\n";
const CHUNKS: &str = "6\r\nprompt\r\n0\r\n\r\n";

/// Requests with these lines, and this body.
fn ambiguous() -> Vec<String> {
    let with = |lines: &str, body: &str| format!("{FIRST}{lines}\r\n{body}");
    let chunked = [
        "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: \"chunked\"\r\n",
        "Transfer-Encoding: chunked;q=1\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding\t: chunked\r\n",
        "Transfer-Encoding: chunked\nX: y\r\n",
        "X: y\nTransfer-Encoding: chunked\r\n",
        "X: y\r\n Transfer-Encoding: chunked\r\n",
    ];
    let counted = [
        "Content-Length: 6\r\nContent-Length: 6\r\n",
        "Content-Length: 6\r\nContent-Length: 0\r\n",
        "Content-Length: 6, 6\r\n",
        "Content-Length: +6\r\n",
        "Content-Length: 0x6\r\n",
        "Content-Length: 6 6\r\n",
        "Content-Length:\r\n",
        "Content-Length : 6\r\n",
        "Content-Length: 6\n",
        "Content-Length: 6\r\nX Name: y\r\n",
        "Content-Length: 6\r\nX\tName: y\r\n",
        "Content-Length: 6\r\nX\u{1}Name: y\r\n",
        "Content-Length: 6\r\n: y\r\n",
        "Content-Length: 6\r\nno colon\r\n",
        "Content-Length: 6\r\nX: y\r\n z\r\n",
        "Content-Length: 6\r\nX: y\0z\r\n",
        "Content-Length: 6\r\nX: y\rz\r\n",
        "Content-Length: 6\r\nX: y\u{1}z\r\n",
        "Content-Length: 6\r\nHost: other.example\r\n",
    ];
    let chunked = chunked.map(|lines| with(lines, CHUNKS));
    let counted = counted.map(|lines| with(lines, "prompt"));
    let fields = "Host: host.example\r\nX-Request-Id: 0000000000000001\r\nX-Deadline-Ms: 2000\r\n";
    let lines = [
        "POST /once/x HTTP/1.1\n",
        "POST  /once/x HTTP/1.1\r\n",
        "POST /once/x y HTTP/1.1\r\n",
        "POST /once/x\tHTTP/1.1\r\n",
        "POST /once/x HTTP/1.1 \r\n",
        "POST /once/\0x HTTP/1.1\r\n",
        "POST /once/x HTTP/2.0\r\n",
        "PO ST /once/x HTTP/1.1\r\n",
        "POST /once/x HTTP/1.1\r\n folded\r\n",
    ];
    let lines = lines.map(|line| format!("{line}{fields}Content-Length: 6\r\n\r\nprompt"));
    let old =
        format!("POST /once/x HTTP/1.0\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{CHUNKS}");
    let all = chunked.into_iter().chain(counted).chain(lines);
    all.chain([old]).collect()
}

// Guards against a request that callers and this system read in two ways.
#[actix_rt::test]
async fn requests_with_ambiguous_heads_reach_no_target() {
    let (fixture, target) = fixture().await;
    let mut wrong = Vec::new();
    let all = ambiguous();
    for request in &all {
        let before = target.received().len();
        let bytes = exchange(fixture.gateway.addrs.callers, request.as_bytes()).await;
        let status = Answer::parse(&bytes).map_or(0, |got| got.status);
        let reached = target.received().len() - before;
        if reached > 0 || status != 400 {
            wrong.push((request, status, reached));
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of {}: {wrong:#?}",
        wrong.len(),
        all.len()
    );
}

// Guards against what a bad request hides behind it on the same connection.
#[actix_rt::test]
async fn connection_carries_no_request_after_an_ambiguous_one() {
    let (fixture, target) = fixture().await;
    let next = format!("{FIRST}Content-Length: 0\r\n\r\n").replace("0001", "0002");
    for request in ambiguous() {
        let before = target.received().len();
        let both = format!("{request}{next}");
        let bytes = exchange(fixture.gateway.addrs.callers, both.as_bytes()).await;
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(target.received().len(), before, "{both:?}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{both:?}: {text}");
    }
}

// Guards against sound requests that are lost since the one behind them is malformed.
#[actix_rt::test]
async fn requests_before_an_ambiguous_one_are_served() {
    let (fixture, target) = fixture().await;
    let sound = format!("{FIRST}Content-Length: 6\r\n\r\nprompt");
    let bad = format!("{FIRST}Content-Length: 6, 6\r\n\r\nprompt");
    for cut in [sound.len() + 20, 2 * sound.len(), 2 * sound.len() + 40] {
        let before = target.received().len();
        let all = [sound.as_str(), &sound, &bad].concat();
        let (first, last) = all.as_bytes().split_at(cut);
        let mut caller = TcpStream::connect(fixture.gateway.addrs.callers)
            .await
            .expect("the gateway listens");
        caller.write_all(first).await.expect("the gateway reads");
        tokio::time::sleep(Duration::from_millis(20)).await;
        caller.write_all(last).await.expect("the gateway reads");
        let mut got = String::new();
        caller
            .read_to_string(&mut got)
            .await
            .expect("it closes in good order");
        let answers = got.split("HTTP/1.1 ").skip(1);
        let statuses: Vec<&str> = answers.filter_map(|answer| answer.get(..3)).collect();
        assert_eq!(statuses, ["200", "200", "400"], "cut at {cut}: {got}");
        assert_eq!(target.received().len() - before, 2);
    }
}

// Guards against a run under an id that the caller doesn't mean.
#[actix_rt::test]
async fn request_with_two_ids_reaches_no_target() {
    let (fixture, target) = fixture().await;
    let before = target.received().len();
    let call = format!(
        "{FIRST}X-Request-Id: 0000000000000002\r\nConnection: close\r\nContent-Length: 6\r\n\r\nprompt"
    );
    let bytes = exchange(fixture.gateway.addrs.callers, call.as_bytes()).await;
    let status = Answer::parse(&bytes).map(|got| got.status);
    assert_eq!((status, target.received().len()), (Some(400), before));
}

// Guards against an answer that nobody waits for, behind the one that closes the connection.
#[actix_rt::test]
async fn bytes_behind_the_last_request_of_a_connection_get_no_answer() {
    let (fixture, _target) = fixture().await;
    for behind in ["\n", "x\n", "GET / HTTP/1.1\n"] {
        let request =
            format!("{FIRST}Connection: close\r\nContent-Length: 6\r\n\r\nprompt{behind}");
        let bytes = exchange(fixture.gateway.addrs.callers, request.as_bytes()).await;
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{behind:?}: {text}");
        assert!(text.ends_with("served"), "{behind:?}: {text}");
    }
}

// Guards against work that goes on after its caller has left behind a malformed request.
#[actix_rt::test]
async fn caller_that_leaves_behind_a_malformed_request_is_noticed() {
    let script = |_: &_| vec![Step::Wait(Duration::from_secs(2)), Step::Close];
    let (fixture, target) = Fixture::serving(&deployment(), "plain", script).await;
    let sound = format!("{FIRST}Content-Length: 6\r\n\r\nprompt");
    let callers = fixture.gateway.addrs.callers;
    eventually_received(&target, callers, &sound).await;
    let before = target.disconnects();
    let mut caller = TcpStream::connect(callers)
        .await
        .expect("the gateway listens");
    let both = sound + "GET / HTTP/1.1\nX: y\r\n\r\n";
    caller
        .write_all(both.as_bytes())
        .await
        .expect("the gateway reads");
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    eventually("the target's work ends", || target.disconnects() > before).await;
}

/// Sends a request until the target has got it once, and leaves.
async fn eventually_received(target: &TargetStandin, callers: SocketAddr, request: &str) {
    while target.received().is_empty() {
        let mut caller = TcpStream::connect(callers)
            .await
            .expect("the gateway listens");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("the gateway reads");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    eventually("it has left", || target.disconnects() > 0).await;
}

#[actix_rt::test]
async fn sound_requests_are_served_however_they_are_written() {
    let (fixture, target) = fixture().await;
    let sound = [
        format!("{FIRST}Content-Length: 6\r\n\r\nprompt"),
        format!("{FIRST}content-length:6\r\n\r\nprompt"),
        format!("{FIRST}Content-Length: \t6 \t\r\n\r\nprompt"),
        format!("{FIRST}Transfer-Encoding: chunked\r\n\r\n{CHUNKS}"),
        format!("{FIRST}TRANSFER-ENCODING:Chunked \r\n\r\n{CHUNKS}"),
        format!("{FIRST}Transfer-Encoding: chunked\r\n\r\n006;a=b\r\nprompt\r\n00\r\nX: y\r\n\r\n"),
        format!("{FIRST}X-Empty:\r\nX-Text: \u{e9} a\tb \"c\"\r\nContent-Length: 6\r\n\r\nprompt"),
        format!("{FIRST}X-y!#$%&'*+.^_`|~0: z\r\nContent-Length: 6\r\n\r\nprompt"),
        format!("\r\n\r\n{FIRST}Content-Length: 6\r\n\r\nprompt"),
        format!("{FIRST}Content-Length: 6\r\nConnection: keep-alive\r\n\r\nprompt\r\n"),
        format!("{FIRST}Content-Length: 6\r\n\r\nprompt").replace("HTTP/1.1", "HTTP/1.0"),
    ];
    for request in &sound {
        let with_close = request.replacen("X-Deadline", "Connection: close\r\nX-Deadline", 1);
        let bytes = exchange(fixture.gateway.addrs.callers, with_close.as_bytes()).await;
        let got = Answer::parse(&bytes).map(|got| (got.status, got.body));
        assert_eq!(got, Some((200, "served".to_string())), "{request:?}");
        let received = target.received();
        let body = received.last().map(|request| request.body.clone());
        assert_eq!(body.as_deref(), Some(b"prompt".as_slice()), "{request:?}");
    }
    // All at once on one connection.
    let before = target.received().len();
    let last = sound[0].replacen("X-Deadline", "Connection: close\r\nX-Deadline", 1);
    let all = sound[..4].concat() + &last;
    let bytes = exchange(fixture.gateway.addrs.callers, all.as_bytes()).await;
    let text = String::from_utf8_lossy(&bytes);
    assert_eq!(text.matches("HTTP/1.1 200 OK").count(), 5, "{text}");
    assert_eq!(target.received().len() - before, 5);
}
