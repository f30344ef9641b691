//! What becomes of requests that nobody waits for any more.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hollowsail_connect::{
    dial, relay, Dialer, End, OnEnd, Pool, PoolRules, ProcessState, RelayWay, RelayedPeer,
    RelayedStream, Reuse, Transport,
};
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const RULES: PoolRules = PoolRules {
    dial_timeout: Duration::from_secs(1),
    max_idle: 4,
    idle_timeout: Duration::from_secs(4),
};
/// Long enough for an end to be noticed.
const MOMENT: Duration = Duration::from_millis(200);

/// Sends a request and gives it up shortly after. Returns what its connection's end will be.
async fn abandon(pool: &Rc<Pool>) -> Rc<Cell<Option<End>>> {
    let end = Rc::new(Cell::new(None));
    let seen = end.clone();
    let on_end: OnEnd = Rc::new(move |end| seen.set(Some(end)));
    let connection = pool.connect(Reuse::Any, None).await.expect("it listens");
    let req = Request::new(Full::default());
    let sending = connection.send_if(req, Reuse::Any, || true, Some(on_end));
    let timeout = tokio::time::timeout(Duration::from_millis(50), sending);
    assert!(timeout.await.is_err(), "nothing answers");
    end
}

/// A listener that reads nothing until it accepts, as the kernel is for a process that stands still.
async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("loopback")
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("loopback").0
}

/// Has the peer read the request and then close the connection, which ends the request.
async fn assert_ends_when_peer_closes(listener: &TcpListener, end: &Cell<Option<End>>) {
    let mut peer = accept(listener).await;
    let mut read = Vec::new();
    // Ends since the other direction is closed.
    peer.read_to_end(&mut read).await.expect("it is readable");
    assert!(read.starts_with(b"GET /"));
    tokio::time::sleep(MOMENT).await;
    assert_eq!(end.get(), None);
    drop(peer);
    tokio::time::sleep(MOMENT).await;
    assert_eq!(end.get(), Some(End::ByPeer));
}

// Guards against requests that count as gone while their target may still read them.
#[actix_rt::test]
async fn abandoned_request_ends_when_its_peer_closes_the_connection() {
    let listener = listener().await;
    let addr = listener.local_addr().expect("a local address");
    let end = abandon(&Pool::new(addr, RULES)).await;
    tokio::time::sleep(MOMENT).await;
    assert_eq!(end.get(), None);
    assert_ends_when_peer_closes(&listener, &end).await;
}

#[actix_rt::test]
async fn answer_that_comes_after_a_request_was_given_up_ends_it() {
    let listener = listener().await;
    let addr = listener.local_addr().expect("a local address");
    let end = abandon(&Pool::new(addr, RULES)).await;
    let mut peer = accept(&listener).await;
    peer.write_all(b"HTTP/1.1 200 OK\r\n").await.expect("open");
    tokio::time::sleep(MOMENT).await;
    assert_eq!(end.get(), Some(End::ByPeer));
}

/// A pool whose connections pass through a relay, and the task of the relay's last connection.
async fn relayed_pool(peer: &TcpListener) -> (Rc<Pool>, Rc<Cell<Option<JoinHandle<()>>>>) {
    let relays = listener().await;
    let addr = relays.local_addr().expect("a local address");
    let peer_addr = peer.local_addr().expect("a local address");
    let task = Rc::new(Cell::new(None));
    let last = task.clone();
    actix_rt::spawn(async move {
        while let Ok((entry, _)) = relays.accept().await {
            let to_peer = TcpStream::connect(peer_addr).await.expect("it listens");
            let state = RelayedPeer {
                is_running: async { true },
                is_unwanted: std::future::pending(),
                may_retire: true,
            };
            let relaying = relay(entry, Bytes::new(), to_peer, state);
            last.set(Some(actix_rt::spawn(relaying)));
        }
    });
    let way = RelayWay {
        relay: 1,
        confirms_end: true,
    };
    let dialer = Dialer {
        dial: Box::new(move |timeout| {
            let dialled = async move {
                let stream = dial(addr, timeout).await?;
                Ok(Transport::relayed(
                    RelayedStream::new(stream, &[], true),
                    way,
                ))
            };
            dialled.boxed_local()
        }),
        may_reuse: Box::new(|_| true),
        confirm_state: Box::new(|_| async { ProcessState::Running }.boxed_local()),
    };
    (Pool::with_dialer(peer_addr, RULES, dialer), task)
}

// Guards against a relay that closes the connection of a request that its target hasn't read.
#[actix_rt::test]
async fn abandoned_request_through_a_relay_ends_when_its_peer_closes_the_connection() {
    let listener = listener().await;
    let (pool, _task) = relayed_pool(&listener).await;
    let end = abandon(&pool).await;
    assert_ends_when_peer_closes(&listener, &end).await;
}

#[actix_rt::test]
async fn end_of_a_relay_says_nothing_of_an_abandoned_request() {
    let listener = listener().await;
    let (pool, task) = relayed_pool(&listener).await;
    let end = abandon(&pool).await;
    task.take().expect("a connection is relayed").abort();
    tokio::time::sleep(MOMENT).await;
    assert_eq!(end.get(), Some(End::Unknown));
}
