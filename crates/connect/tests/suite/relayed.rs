//! Connections through a relay.

use std::time::Duration;

use bytes::Bytes;
use hollowsail_connect::{relay, RelayedPeer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Longer than a relay passes bytes to a peer that is to get no further request.
const AFTER_GRACE: Duration = Duration::from_millis(700);

/// Both ends of a connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let addr = listener.local_addr().expect("a local address");
    let (connected, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
    (
        connected.expect("it listens"),
        accepted.expect("loopback").0,
    )
}

/// Guards against passing requests of a host on that doesn't heed the end of a relay's service.
#[actix_rt::test]
async fn retired_connection_closes_instead_of_passing_a_request() {
    let (mut entry, relay_side) = connection().await;
    let (to_peer, mut peer) = connection().await;
    let (unwanted, is_unwanted) = oneshot::channel::<()>();
    let state = RelayedPeer {
        is_running: async { true },
        is_unwanted: async move { drop(is_unwanted.await) },
        may_retire: false,
    };
    actix_rt::spawn(relay(relay_side, Bytes::new(), to_peer, state));
    let mut received = [0; 5];
    entry.write_all(b"first").await.expect("it is open");
    peer.read_exact(&mut received).await.expect("it is passed");
    unwanted.send(()).expect("the relay runs");
    // The answer to a request from before still comes.
    tokio::time::sleep(AFTER_GRACE).await;
    peer.write_all(b"answer").await.expect("it is open");
    let mut frame = [0; 8];
    entry.read_exact(&mut frame).await.expect("it is passed");
    assert_eq!(&frame, b"\0\x06answer");
    entry.write_all(b"second").await.expect("it is open");
    let mut rest = Vec::new();
    // Ends with a reset, since the relay leaves bytes unread, or in good order.
    drop(peer.read_to_end(&mut rest).await);
    assert!(rest.is_empty(), "passed: {rest:?}");
}
