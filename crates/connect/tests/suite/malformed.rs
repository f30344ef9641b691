//! Answers that break a rule, and what comes behind answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_connect::{BodyError, CompleteAnswer, End, Pool, PoolRules, Reuse, SendError};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::server::eventually;

const RULES: PoolRules = PoolRules {
    dial_timeout: Duration::from_millis(500),
    max_idle: 4,
    idle_timeout: Duration::from_secs(5),
};
const MAX_BODY: usize = 1 << 20;

/// Answers each request with these bytes, and counts connections.
async fn server(answer: Vec<u8>) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let addr = listener.local_addr().expect("a local address");
    let accepted = Rc::new(Cell::new(0));
    let count = accepted.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let answer = answer.clone();
            actix_rt::spawn(async move {
                let mut buf = [0; 1024];
                while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, accepted)
}

fn get() -> Request<Full<Bytes>> {
    let req = Request::get("/").header("host", "x");
    req.body(Full::default()).expect("a valid request")
}

async fn call(pool: &Rc<Pool>) -> Result<CompleteAnswer, SendError> {
    pool.call(get(), MAX_BODY).await
}

fn with_length(stated: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

#[actix_rt::test]
async fn malformed_head_fails_the_request_and_closes_its_connection() {
    for answer in [
        "HTTP/1.1 200 OK\r\nX: a\n\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\na",
        "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab",
        "HTTP/1.1 200 OK\r\n\r\n",
    ] {
        let (addr, accepted) = server(answer.into()).await;
        let pool = Pool::new(addr, RULES);
        for number in 1..=2 {
            let err = call(&pool).await.expect_err("it is malformed");
            assert!(err.is_malformed(), "{answer:?}: {err}");
            assert!(!err.nothing_sent(), "the peer has the request");
            assert_eq!(accepted.get(), number, "{answer:?}");
        }
    }
}

// Guards against work that counts as lost though its target has answered it.
#[actix_rt::test]
async fn request_with_a_malformed_answer_has_ended_at_its_peer() {
    let (addr, _) = server(b"HTTP/1.1 200 OK\n".to_vec()).await;
    let pool = Pool::new(addr, RULES);
    let connection = pool.connect(Reuse::Any, None).await.expect("it listens");
    let end = Rc::new(Cell::new(None));
    let ended = end.clone();
    let on_end = Rc::new(move |end: End| ended.set(Some(end)));
    let sent = connection.send_if(get(), Reuse::Any, || true, Some(on_end));
    assert!(sent.await.is_err_and(|err| err.is_malformed()));
    eventually("the end is reported", || end.get().is_some()).await;
    assert_eq!(end.get(), Some(End::ByPeer));
}

// Guards against a body that is cut where the buffer of a read ends.
#[actix_rt::test]
async fn rest_of_a_body_with_too_small_a_length_is_noticed_wherever_a_read_ends() {
    let head = with_length(10_000, b"").len();
    for stated in (8_192 - head - 3..8_192 - head + 4).chain([16_384 - head, 30_000, 60_000]) {
        let body = vec![b'a'; stated + 5];
        let (addr, _) = server(with_length(stated, &body)).await;
        let result = call(&Pool::new(addr, RULES)).await;
        let is_malformed = match result {
            Err(err) => err.is_malformed(),
            Ok(answer) => matches!(answer.body, Err(BodyError::Malformed { .. })),
        };
        assert!(is_malformed, "{stated} bytes are stated");
    }
}

#[actix_rt::test]
async fn second_answer_leaves_the_first_whole_and_ends_its_connection() {
    for body in [vec![b'a'; 3], vec![b'a'; 8_192 - 43], vec![b'a'; 20_000]] {
        let first = with_length(body.len(), &body);
        let (addr, accepted) = server([first, with_length(1, b"b")].concat()).await;
        let pool = Pool::new(addr, RULES);
        for number in 1..=2 {
            let answer = call(&pool).await.expect("it is sound");
            let got = answer.body.expect("it is whole");
            assert_eq!(got.as_deref(), Some(body.as_slice()));
            assert_eq!(accepted.get(), number, "the connection isn't used again");
        }
    }
}

#[actix_rt::test]
async fn connection_of_sound_answers_is_used_again() {
    for answer in [
        with_length(3, b"abc"),
        b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n".to_vec(),
    ] {
        let (addr, accepted) = server(answer).await;
        let pool = Pool::new(addr, RULES);
        for _ in 0..5 {
            let answer = call(&pool).await.expect("it is sound");
            answer.body.expect("it is whole");
        }
        assert_eq!(accepted.get(), 1);
    }
}
